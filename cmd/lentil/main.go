// Command lentil is the command-line tool with which operators validate, publish and
// inspect configuration objects.
package main

import (
	"os"

	"github.com/lentilbridge/lentilbridge/internal/operator/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:]))
}
