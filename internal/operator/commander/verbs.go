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

// runner executes a subcommand with its positional arguments.
type runner func(ctx context.Context, s *session, args []string) error

// verb is one subcommand of lentil.
type verb struct {
	// name has one or two words, for example "rollout pause".
	name      string
	arguments string
	summary   string
	details   string
	example   string
	// objects is set when the subcommand calls the object API, publishes when
	// it may move the head.
	objects   bool
	publishes bool
	// setUp defines the flags.
	setUp func(fs *flag.FlagSet) runner
}

// verbs returns the table of subcommands, in the order of the help.
func verbs() []verb {
	return []verb{
		checkVerb, applyVerb, getVerb, describeVerb, diffVerb, deleteVerb, watchVerb,
		rolloutStatusVerb, rolloutPauseVerb, rolloutResumeVerb, rolloutAbortVerb,
		statusVerb, versionVerb,
	}
}

// findVerb returns the subcommand that the arguments begin with and the
// remaining arguments.
func findVerb(args []string) (verb, []string, error) {
	var names []string
	for _, v := range verbs() {
		words := strings.Fields(v.name)
		names = append(names, v.name)
		if len(args) >= len(words) && strings.Join(args[:len(words)], " ") == v.name {
			return v, args[len(words):], nil
		}
	}
	typed := args[0]
	if typed == "rollout" {
		return verb{}, nil, rolloutUsage(args)
	}
	suggestion := "type lentil --help"
	if near := parser.Nearest(typed, names); near != "" {
		suggestion = "type lentil " + near
	}
	return verb{}, nil, &UsageError{Message: fmt.Sprintf("subcommand %q does not exist", typed), Suggestion: suggestion}
}

func rolloutUsage(args []string) error {
	const suggestion = "type lentil rollout status, pause, resume or abort"
	if len(args) < 2 || isHelpFlag(args[1]) {
		return &UsageError{Message: "rollout needs a second word", Suggestion: suggestion}
	}
	return &UsageError{Message: fmt.Sprintf("subcommand \"rollout %s\" does not exist", args[1]), Suggestion: suggestion}
}

func writeHelp(w io.Writer) {
	fmt.Fprint(w, "lentil checks, publishes and reads the objects of lentilbridge.\n\nUsage:\n  lentil SUBCOMMAND [ARGUMENTS] [FLAGS]\n\nSubcommands:\n")
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, v := range verbs() {
		fmt.Fprintf(table, "  %s\t%s\n", v.name, v.summary)
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

func writeVerbHelp(w io.Writer, v verb, fs *flag.FlagSet) {
	fmt.Fprintf(w, "%s\n\nUsage:\n  %s\n", v.details, strings.Join(strings.Fields("lentil "+v.name+" "+v.arguments+" [FLAGS]"), " "))
	fmt.Fprint(w, "\nFlags:\n")
	// The default of --author is the name of the user who asks.
	explainer.WriteFlags(w, fs, "author")
	if v.example != "" {
		fmt.Fprintf(w, "\nExample:\n  %s\n", strings.ReplaceAll(v.example, "\n", "\n  "))
	}
}

func wantArguments(v verb, args []string, low, high int) error {
	if len(args) >= low && (high < 0 || len(args) <= high) {
		return nil
	}
	message := "an argument is missing"
	if len(args) > low {
		message = fmt.Sprintf("argument %q is too many", args[max(high, 0)])
	}
	return &UsageError{Message: message, Suggestion: strings.TrimRight("type lentil "+v.name+" "+v.arguments, " ")}
}
