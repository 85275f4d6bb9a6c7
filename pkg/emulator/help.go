package emulator

import (
	"flag"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/lentilbridge/lentilbridge/internal/shared/explainer"
)

func writeHelp(w io.Writer) {
	fmt.Fprint(w, `lentil-standin runs one small emulator of an external system, for development and
tests. make up and make demo start them; a deployment does not need it.

Usage:
  lentil-standin SUBCOMMAND [FLAGS]

Subcommands:
`)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, s := range subcommands {
		fmt.Fprintf(table, "  %s\t%s\n", s.name, s.summary)
	}
	_ = table.Flush()
	fmt.Fprint(w, `
Each flag can be set by an environment variable: --token-time is
LENTIL_TOKEN_TIME. A flag takes precedence over its variable. Durations are
written like 500ms, 30s or 10m. The first line of standard output is "listening
on ADDRESS"; port 0 selects a free port.

Exit codes:
  0  stopped by SIGINT or SIGTERM
  1  failed
  2  invalid arguments or flags
  3  engine or service: crashed because of --crash-on

Type lentil-standin SUBCOMMAND --help for its flags.
`)
}

func (s subcommand) writeHelp(w io.Writer, flags *flag.FlagSet) {
	fmt.Fprintf(w, "%s\n\nUsage:\n  %s %s [FLAGS]\n\nFlags:\n", s.details, programName, s.name)
	explainer.WriteFlags(w, flags)
	fmt.Fprintf(w, "\nExample:\n  %s\n", s.example)
}
