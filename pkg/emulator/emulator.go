// Package emulator holds small stand-ins of the outside systems: the object
// API, the weight source, the list of VMs, model engines and plain services.
package emulator

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3"

	"github.com/lentilbridge/lentilbridge/internal/shared/explainer"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	programName = "lentil-standin"

	exitDone       = 0
	exitFailed     = 1
	exitWrongUsage = 2
)

// verb is one subcommand. register defines its flags and returns the function
// that runs it until the context ends.
type verb struct {
	name     string
	summary  string
	details  string
	example  string
	register func(flags *flag.FlagSet) func(ctx context.Context, out io.Writer) error
}

var verbs = []verb{
	{
		"object-api", "run the object API", `Object-api keeps versioned objects in memory. All are lost when it ends. GET
/stats shows the number of calls.`,
		"lentil-standin object-api --address 127.0.0.1:7300", registerObjectAPI,
	},
	{
		"weights", "run the rate-limited source of weights", `Weights serves generated model weights. The same version always has the same
bytes. GET /stats shows the bytes that were read.`,
		"lentil-standin weights --versions assistant/v1=16777216:131072:1 --bytes-per-second 8000000", registerWeights,
	},
	{
		"vm-list", "run the list of VMs", `Vm-list serves the platform's lagging list of live and leaving VMs.`,
		"lentil-standin vm-list --lag 5s", registerVMList,
	},
	{
		"engine", "run a model engine", `Engine answers prompts with words that are made from the prompt and the weights.`,
		"lentil-standin engine --address 127.0.0.1:8000 --slots 8 --token-time 10ms", registerEngine,
	},
	{
		"service", "run a plain service", `Service records each call, so that calls that ran twice can be counted.`,
		"lentil-standin service --address 127.0.0.1:8000 --latency 20ms", registerService,
	},
}

// UsageError reports a wrong command line.
type UsageError struct {
	Text string
}

func (e *UsageError) Error() string { return e.Text }

// Main runs lentil-standin and returns its exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return run(ctx, args, os.Stdout, os.Stderr)
}

func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		writeHelp(errOut)
		return exitWrongUsage
	}
	if args[0] == "help" || isHelpFlag(args[0]) {
		writeHelp(out)
		return exitDone
	}
	err := runVerb(ctx, args[0], args[1:], out)
	var usage *UsageError
	var flagError *explainer.FlagError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &usage), errors.As(err, &flagError):
		fmt.Fprintf(errOut, "%s %v\n", programName, err)
		return exitWrongUsage
	default:
		fmt.Fprintf(errOut, "%s %v\n", programName, err)
		return exitFailed
	}
}

func isHelpFlag(arg string) bool {
	return arg == "--help" || arg == "-help" || arg == "-h"
}

func runVerb(ctx context.Context, name string, args []string, out io.Writer) error {
	v, err := findVerb(name)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	command := programName + " " + v.name
	flags := flag.NewFlagSet(command, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	start := v.register(flags)
	err = ff.Parse(flags, args, ff.WithEnvVarPrefix(explainer.EnvPrefix))
	switch {
	case errors.Is(err, flag.ErrHelp):
		v.writeHelp(out, flags)
		return nil
	case err != nil:
		err = explainer.Explain(command, flags, err)
	case flags.NArg() > 0:
		err = &UsageError{Text: fmt.Sprintf("argument %q is not expected; type %s --help", flags.Arg(0), command)}
	default:
		err = start(ctx, out)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", v.name, err)
	}
	return nil
}

func findVerb(name string) (verb, error) {
	names := make([]string, len(verbs))
	for i, v := range verbs {
		if v.name == name {
			return v, nil
		}
		names[i] = v.name
	}
	suggestion := programName + " --help"
	if near := parser.Nearest(name, names); near != "" {
		suggestion = programName + " " + near
	}
	return verb{}, &UsageError{Text: "the subcommand does not exist; type " + suggestion}
}
