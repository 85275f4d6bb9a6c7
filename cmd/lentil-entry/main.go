// Command lentil-entry runs the entry daemon, the daemon on each entry VM.
package main

import (
	"os"

	"github.com/lentilbridge/lentilbridge/internal/daemon/router"
)

func main() {
	os.Exit(router.Main(os.Args[1:]))
}
