// Command lentil-platform runs the entry daemon or the agent on the users' platform.
package main

import (
	"os"

	"github.com/lentilbridge/lentilbridge/platform"
)

func main() {
	os.Exit(platform.Main(os.Args[1:]))
}
