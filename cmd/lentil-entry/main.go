// Command lentil-entry is the daemon of an entry VM.
package main

import (
	"os"

	"github.com/lentilbridge/lentilbridge/internal/daemon/router"
)

func main() {
	os.Exit(router.Main(os.Args[1:]))
}
