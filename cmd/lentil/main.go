// Command lentil checks, publishes and reads the objects that operators declare.
package main

import (
	"os"

	"github.com/lentilbridge/lentilbridge/internal/operator/commander"
)

func main() {
	os.Exit(commander.Main(os.Args[1:]))
}
