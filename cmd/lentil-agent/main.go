// Command lentil-agent runs the agent, the daemon on each backend server VM.
package main

import (
	"os"

	"github.com/lentilbridge/lentilbridge/internal/daemon/agent"
)

func main() {
	os.Exit(agent.Main(os.Args[1:]))
}
