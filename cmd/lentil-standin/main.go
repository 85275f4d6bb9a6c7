// Command lentil-standin runs emulators of the external systems.
package main

import (
	"os"

	"github.com/lentilbridge/lentilbridge/pkg/emulator"
)

func main() {
	os.Exit(emulator.Main(os.Args[1:]))
}
