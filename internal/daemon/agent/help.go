package agent

import (
	"flag"
	"fmt"
	"io"

	"github.com/lentilbridge/lentilbridge/internal/shared/explainer"
)

const helpBefore = `lentil-agent is the daemon of a backend server VM. It fetches and serves model
weights, loads them into the engine, runs the attempts that entry daemons send
and reports load. Each agent has one model engine or one plain service.

Usage:
  lentil-agent FLAGS

Flags (--vm, --region, --failure-domain, --fleet, --entries and one of
--engine-address and --service-address are required):
`

const helpAfter = `
Each flag can be set by an environment variable: --rpc-address is
LENTIL_RPC_ADDRESS. A flag takes precedence over its variable. Addresses are
HOST:PORT; port 0 takes a free one. Durations are written like 500ms, 30s or 10m.

The first line of standard output is "listening on ADDRESS", the address of
--rpc-address. Logs are JSON lines on standard error. SIGTERM and SIGINT drain
the agent: it takes no new attempts and ends when the running ones have ended,
at most after --drain-timeout.

Exit codes:
  0  stopped after a signal, all attempts have ended
  1  failed, or attempts were still running after --drain-timeout
  2  wrong settings, or an address that cannot be listened on

Examples:
  lentil-agent --vm assistant-1 --region central --failure-domain central-1 \
    --fleet assistant --model assistant --engine-address 127.0.0.1:8000 \
    --weights-address 10.0.0.3:7001 --rpc-address 10.0.0.20:9090 \
    --entries 10.0.0.7:9090,10.0.0.8:9090
  lentil-agent --vm ledger-1 --region central --failure-domain central-1 \
    --fleet ledger --service-address 127.0.0.1:8000 \
    --rpc-address 10.0.0.30:9090 --entries 10.0.0.7:9090,10.0.0.8:9090
`

func writeHelp(w io.Writer, flags *flag.FlagSet) {
	fmt.Fprint(w, helpBefore)
	explainer.WriteFlags(w, flags)
	fmt.Fprint(w, helpAfter)
}
