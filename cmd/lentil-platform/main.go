// Command lentil-platform is the daemon on the users' platform.
package main

import (
	"os"

	"github.com/lentilbridge/lentilbridge/platform"
)

func main() {
	os.Exit(platform.Main(os.Args[1:]))
}
