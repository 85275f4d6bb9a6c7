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
	for _, v := range verbs {
		fmt.Fprintf(table, "  %s\t%s\n", v.name, v.summary)
	}
	_ = table.Flush()
	fmt.Fprint(w, `
Each flag can be set by an environment variable: --token-time is
LENTIL_TOKEN_TIME. A flag takes precedence over its variable. Durations are
written like 500ms, 30s or 10m. The first line of standard output is "listening
on ADDRESS"; port 0 takes a free one.

Exit codes:
  0  stopped by SIGINT or SIGTERM
  1  failed
  2  wrong usage
  3  engine or service: crashed as asked by --crash-on

Type lentil-standin SUBCOMMAND --help for its flags.
`)
}

func (v verb) writeHelp(w io.Writer, flags *flag.FlagSet) {
	fmt.Fprintf(w, "%s\n\nUsage:\n  %s %s [FLAGS]\n\nFlags:\n", v.details, programName, v.name)
	explainer.WriteFlags(w, flags)
	fmt.Fprintf(w, "\nExample:\n  %s\n", v.example)
}
