// Command lentil-standin runs small stand-ins of the outside systems.
package main

import (
	"os"

	"github.com/lentilbridge/lentilbridge/pkg/emulator"
)

func main() {
	os.Exit(emulator.Main(os.Args[1:]))
}
