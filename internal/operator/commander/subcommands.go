package commander

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/lentilbridge/lentilbridge/internal/shared/explainer"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// runFunc executes a subcommand with its positional arguments.
type runFunc func(ctx context.Context, s *session, args []string) error

// subcommand is one subcommand of lentil.
type subcommand struct {
	// name consists of one or two words, for example "rollout pause".
	name string
	// arguments is the syntax of the positional arguments for the help.
	arguments string
	summary   string
	details   string
	example   string
	// usesObjectAPI adds the flag --object-api.
	usesObjectAPI bool
	// publishes adds the flag --author.
	publishes bool
	// defineFlags defines the flags of the subcommand and returns the function
	// that runs it.
	defineFlags func(fs *flag.FlagSet) runFunc
}

// subcommands returns all subcommands, in the order of the help.
func subcommands() []subcommand {
	return []subcommand{
		checkSubcommand, applySubcommand, getSubcommand, describeSubcommand, diffSubcommand, deleteSubcommand, watchSubcommand,
		rolloutStatusSubcommand, rolloutPauseSubcommand, rolloutResumeSubcommand, rolloutAbortSubcommand,
		statusSubcommand, versionSubcommand,
	}
}

// findSubcommand returns the subcommand that the arguments begin with and the
// remaining arguments.
func findSubcommand(args []string) (subcommand, []string, error) {
	var names []string
	for _, cmd := range subcommands() {
		words := strings.Fields(cmd.name)
		names = append(names, cmd.name)
		if len(args) >= len(words) && strings.Join(args[:len(words)], " ") == cmd.name {
			return cmd, args[len(words):], nil
		}
	}
	typed := args[0]
	if typed == "rollout" {
		return subcommand{}, nil, rolloutUsage(args)
	}
	suggestion := "type lentil --help"
	if near := parser.Nearest(typed, names); near != "" {
		suggestion = "type lentil " + near
	}
	return subcommand{}, nil, &UsageError{Message: fmt.Sprintf("subcommand %q does not exist", typed), Suggestion: suggestion}
}

func rolloutUsage(args []string) error {
	const suggestion = "type lentil rollout status, pause, resume or abort"
	if len(args) < 2 || isHelpFlag(args[1]) {
		return &UsageError{Message: "rollout needs a subcommand", Suggestion: suggestion}
	}
	return &UsageError{Message: fmt.Sprintf("subcommand \"rollout %s\" does not exist", args[1]), Suggestion: suggestion}
}

func writeHelp(w io.Writer) {
	fmt.Fprint(w, "lentil checks, publishes and reads the objects of lentilbridge.\n\nUsage:\n  lentil SUBCOMMAND [ARGUMENTS] [FLAGS]\n\nSubcommands:\n")
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, cmd := range subcommands() {
		fmt.Fprintf(table, "  %s\t%s\n", cmd.name, cmd.summary)
	}
	_ = table.Flush()
	fmt.Fprintf(w, "\nKinds of objects: %s\n", strings.Join(parser.Kinds(), ", "))
	fmt.Fprint(w, `
Each flag can be set by an environment variable: --object-api is
LENTIL_OBJECT_API. A flag takes precedence over its variable.

Exit codes:
  0  done
  1  failed
  2  wrong usage
  3  the check found problems; nothing was published
  4  conflict with another operator; nothing was published
  5  the object API is not available
  6  published, but not in force everywhere in time

Example:
  export LENTIL_OBJECT_API=http://127.0.0.1:7300
  lentil check examples/authority
  lentil apply --wait examples/authority
  lentil rollout status --follow assistant-v2

Type lentil SUBCOMMAND --help for its flags.
`)
}

func writeSubcommandHelp(w io.Writer, cmd subcommand, fs *flag.FlagSet) {
	fmt.Fprintf(w, "%s\n\nUsage:\n  %s\n", cmd.details, strings.Join(strings.Fields("lentil "+cmd.name+" "+cmd.arguments+" [FLAGS]"), " "))
	fmt.Fprint(w, "\nFlags:\n")
	// The default of --author is omitted, because it depends on the user.
	explainer.WriteFlags(w, fs, "author")
	if cmd.example != "" {
		fmt.Fprintf(w, "\nExample:\n  %s\n", strings.ReplaceAll(cmd.example, "\n", "\n  "))
	}
}

// checkArgumentCount returns an error unless there are low to high positional
// arguments. A negative high means no limit.
func checkArgumentCount(cmd subcommand, args []string, low, high int) error {
	if len(args) >= low && (high < 0 || len(args) <= high) {
		return nil
	}
	message := "an argument is missing"
	if len(args) > low {
		message = fmt.Sprintf("unexpected argument %q", args[max(high, 0)])
	}
	return &UsageError{Message: message, Suggestion: strings.TrimRight("type lentil "+cmd.name+" "+cmd.arguments, " ")}
}
