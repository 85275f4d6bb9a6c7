// Command demo starts the stand-ins and the whole system as separate
// processes on loopback addresses. "demo up" leaves them running until a
// signal; "demo run" plays one rollout under load and reports the outcome.
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

// options are the flags of both subcommands.
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
		ShortHelp:   "Runs lentilbridge on small stand-ins of the outside systems.",
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
	flags.StringVar(&o.Deployment, "deployment", "authority", "deployment under --examples")
	flags.StringVar(&o.Examples, "examples", "examples", "folder of the deployments")
	flags.StringVar(&o.Bin, "bin", "bin", "folder of the programs")
	flags.StringVar(&o.Network, "network", "127.77", "first two numbers of the loopback addresses to use")
	flags.StringVar(&o.Logs, "logs", "", "folder for the logs of the processes; a temporary one when empty")
	flags.Int64Var(&o.WeightBytes, "weight-bytes", 16<<20, "size of each model version in `bytes`")
	flags.Int64Var(&o.ChunkBytes, "chunk-bytes", 128<<10, "chunk size in `bytes`")
	flags.Float64Var(&o.Window, "window", 8, "`seconds` in which the origin's link carries four copies and each VM's link two")
	flags.IntVar(&o.Replicas, "replicas", 0, "replicas of each model fleet; 0 takes the example's number")
	flags.Uint64Var(&o.Seed, "seed", 1, "seed of the weights and of the load")
	flags.BoolVar(&o.TLS, "tls", true, "protect the connections between daemons by mutual TLS")
	flags.BoolVar(&o.KillAgent, "kill-agent", true, "kill one agent during the rollout")
	return flags
}

// withSystem runs do on a started system and stops it afterwards.
func withSystem(ctx context.Context, opts *options, do func(s *system) error) error {
	s, err := newSystem(opts)
	if err != nil {
		return err
	}
	defer s.stop()
	if err := s.start(ctx); err != nil {
		return err
	}
	return do(s)
}

func upCommand(opts *options) *ffcli.Command {
	return &ffcli.Command{
		Name:       "up",
		ShortUsage: "demo up [flags]",
		ShortHelp:  "start everything, print the addresses and stay until a signal",
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
		ShortHelp:  "play one rollout under load and report the outcome",
		FlagSet:    opts.flagSet("demo run"),
		Exec: func(ctx context.Context, _ []string) error {
			return withSystem(ctx, opts, func(s *system) error {
				s.printAddresses(os.Stdout)
				t := &story{system: s, w: os.Stdout}
				return t.play(ctx)
			})
		},
	}
}
