// Command demo starts the whole system and stand-ins for its external systems as
// separate processes on loopback addresses. "demo up" keeps them running until a
// signal; "demo run" performs one rollout under load and reports the outcome;
// "demo measure" measures the daemons under several loads.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

// options holds the flags of the subcommands.
type options struct {
	Examples     string
	Bin          string
	Network      string
	Logs         string
	WeightBytes  int64
	ChunkBytes   int64
	Window       float64
	Replicas     int
	Seed         uint64
	KillAgent    bool
	Deployment   string
	OriginRegion string
	TLS          bool
}

func run(args []string) int {
	var opts options
	root := &ffcli.Command{
		Name:        "demo",
		ShortUsage:  "demo up|run|measure [flags]",
		ShortHelp:   "Runs lentilbridge with stand-ins for its external systems.",
		Subcommands: []*ffcli.Command{upCommand(&opts), runCommand(&opts), measureCommand(&opts)},
		Exec: func(context.Context, []string) error {
			return flag.ErrHelp
		},
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := root.ParseAndRun(ctx, args)
	switch {
	case err == nil, errors.Is(err, flag.ErrHelp):
		return 0
	default:
		fmt.Fprintf(os.Stderr, "demo: %v\n", err)
		return 1
	}
}

func (o *options) flagSet(name string) *flag.FlagSet {
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.StringVar(&o.Deployment, "deployment", "authority", "name of the deployment in --examples")
	flags.StringVar(&o.Examples, "examples", "examples", "directory of the deployments")
	flags.StringVar(&o.Bin, "bin", "bin", "directory of the binaries")
	flags.StringVar(&o.Network, "network", "127.77", "first two octets of the loopback addresses")
	flags.StringVar(&o.Logs, "logs", "", "directory for the logs of the processes; empty uses a temporary one")
	flags.Int64Var(&o.WeightBytes, "weight-bytes", 16<<20, "size of each model version in `bytes`")
	flags.Int64Var(&o.ChunkBytes, "chunk-bytes", 128<<10, "chunk size in `bytes`")
	flags.Float64Var(&o.Window, "window", 8, "`seconds` in which the origin's link can transfer four copies of the weights and each VM's link two")
	flags.IntVar(&o.Replicas, "replicas", 0, "replicas of each model fleet; 0 uses the number of the deployment")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the weights and of the load")
	flags.BoolVar(&o.TLS, "tls", true, "use mutual TLS between daemons")
	flags.BoolVar(&o.KillAgent, "kill-agent", true, "kill one agent during the rollout")
	return flags
}

// withSystem starts a system, calls fn with it and stops it.
func withSystem(ctx context.Context, opts *options, fn func(s *system) error) error {
	s, err := newSystem(opts)
	if err != nil {
		return err
	}
	defer s.stop()
	if err := s.start(ctx); err != nil {
		return err
	}
	return fn(s)
}

func upCommand(opts *options) *ffcli.Command {
	return &ffcli.Command{
		Name:       "up",
		ShortUsage: "demo up [flags]",
		ShortHelp:  "start everything, print the addresses and wait for a signal",
		FlagSet:    opts.flagSet("demo up"),
		Exec: func(ctx context.Context, _ []string) error {
			return withSystem(ctx, opts, func(s *system) error {
				s.printAddresses(os.Stdout)
				if err := s.apply(ctx, os.Stdout, s.baseObjects()); err != nil {
					return err
				}
				<-ctx.Done()
				return nil
			})
		},
	}
}

func runCommand(opts *options) *ffcli.Command {
	return &ffcli.Command{
		Name:       "run",
		ShortUsage: "demo run [flags]",
		ShortHelp:  "perform one rollout under load and report the outcome",
		FlagSet:    opts.flagSet("demo run"),
		Exec: func(ctx context.Context, _ []string) error {
			return withSystem(ctx, opts, func(s *system) error {
				s.printAddresses(os.Stdout)
				sc := &scenario{system: s, w: os.Stdout}
				return sc.run(ctx)
			})
		},
	}
}
