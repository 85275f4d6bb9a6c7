// Package emulator emulates the external systems for development and tests: the
// object API, the weight source, the list of VMs, model engines and plain
// services.
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

	exitDone   = 0
	exitFailed = 1
	exitUsage  = 2
)

// subcommand runs one emulator.
type subcommand struct {
	name    string
	summary string
	details string
	example string
	// register defines the flags and returns the function that runs the emulator
	// until ctx ends.
	register func(flags *flag.FlagSet) func(ctx context.Context, out io.Writer) error
}

var subcommands = []subcommand{
	{
		"object-api", "emulate the object API", `Object-api keeps versioned objects in memory only. GET /stats returns the number
of calls.`,
		"lentil-standin object-api --address 127.0.0.1:7300", registerObjectAPI,
	},
	{
		"weights", "emulate the weight source", `Weights serves generated model weights. The content of a version is
deterministic. GET /stats returns the number of bytes read.`,
		"lentil-standin weights --versions assistant/v1=16777216:131072:1 --bytes-per-second 8000000", registerWeights,
	},
	{
		"vm-list", "emulate the list of VMs", `Vm-list serves the list of live and leaving VMs with a lag.`,
		"lentil-standin vm-list --lag 5s", registerVMList,
	},
	{
		"engine", "emulate a model engine", `Engine answers prompts with pseudorandom words that are derived from the prompt
and the weights.`,
		"lentil-standin engine --address 127.0.0.1:8000 --slots 8 --token-time 10ms", registerEngine,
	},
	{
		"service", "emulate a plain service", `Service records each call, so that duplicate executions can be counted.`,
		"lentil-standin service --address 127.0.0.1:8000 --latency 20ms", registerService,
	},
}

// UsageError reports invalid arguments.
type UsageError struct {
	Message string
}

func (e *UsageError) Error() string { return e.Message }

// Main runs lentil-standin and returns its exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return run(ctx, args, os.Stdout, os.Stderr)
}

func run(ctx context.Context, args []string, out, errOut io.Writer) int {
	if len(args) == 0 {
		writeHelp(errOut)
		return exitUsage
	}
	if args[0] == "help" || isHelpFlag(args[0]) {
		writeHelp(out)
		return exitDone
	}
	err := runSubcommand(ctx, args[0], args[1:], out)
	var usage *UsageError
	var flagError *explainer.FlagError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &usage), errors.As(err, &flagError):
		fmt.Fprintf(errOut, "%s %v\n", programName, err)
		return exitUsage
	default:
		fmt.Fprintf(errOut, "%s %v\n", programName, err)
		return exitFailed
	}
}

func isHelpFlag(arg string) bool {
	return arg == "--help" || arg == "-help" || arg == "-h"
}

func runSubcommand(ctx context.Context, name string, args []string, out io.Writer) error {
	s, err := findSubcommand(name)
	if err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	command := programName + " " + s.name
	flags := flag.NewFlagSet(command, flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	runEmulator := s.register(flags)
	err = ff.Parse(flags, args, ff.WithEnvVarPrefix(explainer.EnvPrefix))
	switch {
	case errors.Is(err, flag.ErrHelp):
		s.writeHelp(out, flags)
		return nil
	case err != nil:
		err = explainer.Explain(command, flags, err)
	case flags.NArg() > 0:
		err = &UsageError{Message: fmt.Sprintf("unexpected argument %q; type %s --help", flags.Arg(0), command)}
	default:
		err = runEmulator(ctx, out)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", s.name, err)
	}
	return nil
}

func findSubcommand(name string) (subcommand, error) {
	names := make([]string, len(subcommands))
	for i, s := range subcommands {
		if s.name == name {
			return s, nil
		}
		names[i] = s.name
	}
	suggestion := programName + " --help"
	if near := parser.Nearest(name, names); near != "" {
		suggestion = programName + " " + near
	}
	return subcommand{}, &UsageError{Message: "the subcommand does not exist; type " + suggestion}
}
