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
	"github.com/peterbourgon/ff/v3/ffcli"
)

const (
	programName = "lentil-standin"
	envPrefix   = "LENTIL"

	exitDone       = 0
	exitFailed     = 1
	exitWrongUsage = 2
)

// verb is one subcommand. register defines its flags and returns the function
// that runs it until the context ends.
type verb struct {
	name     string
	help     string
	register func(flags *flag.FlagSet) func(ctx context.Context, out io.Writer) error
}

var verbs = []verb{
	{"object-api", "run the object API", registerObjectAPI},
	{"weights", "run the rate-limited source of weights", registerWeights},
	{"vm-list", "run the list of VMs", registerVMList},
	{"engine", "run a model engine", registerEngine},
	{"service", "run a plain service", registerService},
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
	flags := flag.NewFlagSet(programName, flag.ContinueOnError)
	flags.SetOutput(errOut)
	root := &ffcli.Command{
		Name:       programName,
		ShortUsage: programName + " SUBCOMMAND [flags]",
		ShortHelp:  "Runs one stand-in of an outside system.",
		FlagSet:    flags,
		Exec:       refuseWithoutSubcommand,
	}
	for _, v := range verbs {
		root.Subcommands = append(root.Subcommands, v.command(out, errOut))
	}
	if err := root.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitDone
		}
		fmt.Fprintf(errOut, "%s: %v\n", programName, err)
		return exitWrongUsage
	}
	err := root.Run(ctx)
	var usage *UsageError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &usage):
		fmt.Fprintf(errOut, "%s: %v\n", programName, err)
		return exitWrongUsage
	default:
		fmt.Fprintf(errOut, "%s: %v\n", programName, err)
		return exitFailed
	}
}

func (v verb) command(out, errOut io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet(programName+" "+v.name, flag.ContinueOnError)
	flags.SetOutput(errOut)
	start := v.register(flags)
	return &ffcli.Command{
		Name:       v.name,
		ShortUsage: programName + " " + v.name + " [flags]",
		ShortHelp:  v.help,
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix(envPrefix)},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return &UsageError{Text: fmt.Sprintf("%s: unexpected argument %q; see %s %s --help", v.name, args[0], programName, v.name)}
			}
			if err := start(ctx, out); err != nil {
				return fmt.Errorf("%s: %w", v.name, err)
			}
			return nil
		},
	}
}

func refuseWithoutSubcommand(context.Context, []string) error {
	return &UsageError{Text: "name a subcommand; see " + programName + " --help"}
}
