package router

import (
	"flag"
	"fmt"
	"io"

	"github.com/lentilbridge/lentilbridge/internal/shared/explainer"
)

const programName = "lentil-entry"

const helpBefore = `lentil-entry is the daemon of an entry VM. It admits and routes the requests of
callers, distributes the configuration and gives orders to the agents. It needs
the object API; agents connect to it by themselves.

Usage:
  lentil-entry FLAGS

Flags (--vm, --region, --failure-domain and --object-api are required):
`

const helpAfter = `
Each flag can be set by an environment variable: --rpc-address is
LENTIL_RPC_ADDRESS. A flag takes precedence over its variable. Addresses are
HOST:PORT; durations are written like 500ms, 30s or 10m.

Logs are JSON lines on standard error. SIGTERM and SIGINT stop the daemon
gracefully: it serves for --entries-valid and 3 s more, then until its requests
have ended, at most for --drain-timeout.

Exit codes:
  0  stopped after a signal, all requests have ended
  1  failed, or requests were still in progress after --drain-timeout
  2  wrong settings, or an address that cannot be listened on

Example:
  lentil-entry --vm entry-1 --region central --failure-domain central-1 \
    --public-address 10.0.0.7:8080 --rpc-address 10.0.0.7:9090 \
    --object-api http://10.0.0.2:7000 --seeds 10.0.0.7:9090,10.0.0.8:9090
`

func writeHelp(w io.Writer, flags *flag.FlagSet) {
	fmt.Fprint(w, helpBefore)
	explainer.WriteFlags(w, flags)
	fmt.Fprint(w, helpAfter)
}
