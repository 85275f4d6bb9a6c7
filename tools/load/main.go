// Command load sends requests to entry daemons at a given rate and prints
// latencies and outcomes as "name value unit" lines. The load is open-loop:
// arrivals do not wait for responses, and latencies are measured from the time at
// which a request was due.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
)

const (
	exitSuccess    = 0
	exitFailed     = 1
	exitUsageError = 2
)

// options holds the flags.
type options struct {
	entries     string
	keys        string
	model       string
	rate        float64
	arrivals    string
	duration    time.Duration
	timeout     time.Duration
	seed        uint64
	streamShare float64
	prefixes    int
	prefixBytes int
	skew        float64
	maxTokens   int
	maxInFlight int
	verify      string
	// digestsByVersion is parsed from verify.
	digestsByVersion map[string]string
}

// UsageError reports an invalid flag.
type UsageError struct {
	Flag string
	Text string
}

func (e *UsageError) Error() string { return fmt.Sprintf("--%s %s", e.Flag, e.Text) }

func main() {
	os.Exit(runUntilSignal(os.Args[1:]))
}

func runUntilSignal(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx, args, os.Stdout, os.Stderr)
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	var opts options
	flags := opts.flagSet()
	flags.SetOutput(stderr)
	command := &ffcli.Command{
		Name:       "load",
		ShortUsage: "load --entries URL,… --keys KEY,… --model ROUTE [flags]",
		ShortHelp:  "Sends open-loop load to entry daemons and prints latencies and outcomes.",
		FlagSet:    flags,
		Options:    []ff.Option{ff.WithEnvVarPrefix("LENTIL_LOAD")},
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 {
				return &UsageError{Flag: "help", Text: fmt.Sprintf("lists the flags; %q is not one", args[0])}
			}
			if err := opts.validate(); err != nil {
				return err
			}
			return newGenerator(&opts).run(ctx, stdout)
		},
	}
	if err := command.Parse(args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitSuccess
		}
		fmt.Fprintf(stderr, "load: %v\n", err)
		return exitUsageError
	}
	err := command.Run(ctx)
	var usage *UsageError
	switch {
	case err == nil:
		return exitSuccess
	case errors.As(err, &usage):
		fmt.Fprintf(stderr, "load: %v\n", err)
		return exitUsageError
	}
	fmt.Fprintf(stderr, "load: %v\n", err)
	return exitFailed
}

func (o *options) flagSet() *flag.FlagSet {
	flags := flag.NewFlagSet("load", flag.ContinueOnError)
	flags.StringVar(&o.entries, "entries", "", "comma-separated `URLs` of entry daemons, used in round-robin order")
	flags.StringVar(&o.keys, "keys", "", "comma-separated API `keys` of teams; each request uses a random one, repeat a key to increase its share")
	flags.StringVar(&o.model, "model", "assistant", "`route` that requests name as their model")
	flags.Float64Var(&o.rate, "rate", 20, "requests per second")
	flags.StringVar(&o.arrivals, "arrivals", arrivalsPoisson, "`distribution` of arrivals: poisson or fixed")
	flags.DurationVar(&o.duration, "duration", 10*time.Second, "time during which requests are sent")
	flags.DurationVar(&o.timeout, "timeout", 30*time.Second, "timeout of a request")
	flags.Uint64Var(&o.seed, "seed", 1, "seed of arrivals and prompts")
	flags.Float64Var(&o.streamShare, "stream-share", 0.5, "share of requests that ask for a stream")
	flags.IntVar(&o.prefixes, "prefixes", 100, "number of shared prompt prefixes")
	flags.IntVar(&o.prefixBytes, "prefix-bytes", 512, "length of a shared prefix in `bytes`")
	flags.Float64Var(&o.skew, "skew", 1.2, "Zipf exponent of the popularity of prefixes, above 1")
	flags.IntVar(&o.maxTokens, "max-tokens", 24, "maximum answer length in `tokens`; lengths are uniform between a quarter of it and all of it")
	flags.IntVar(&o.maxInFlight, "max-in-flight", 4096, "maximum number of requests in progress; above it, due requests are counted as unsent")
	flags.StringVar(&o.verify, "verify", "", "compare answers with those of the engine stand-in: `VERSION=DIGEST,…` for the versions in lentil-model-version; empty disables it")
	return flags
}

func (o *options) validate() error {
	switch {
	case o.entries == "":
		return &UsageError{"entries", "needs at least one URL, for example http://127.0.0.1:8080"}
	case o.keys == "":
		return &UsageError{"keys", "needs at least one API key"}
	case o.rate <= 0:
		return &UsageError{"rate", "must be above 0"}
	case o.arrivals != arrivalsPoisson && o.arrivals != arrivalsFixed:
		return &UsageError{"arrivals", "must be poisson or fixed"}
	case o.prefixes < 1 || o.skew <= 1:
		return &UsageError{"skew", "must be above 1 and --prefixes at least 1"}
	case o.maxTokens < 1 || o.maxInFlight < 1:
		return &UsageError{"max-tokens", "and --max-in-flight must be at least 1"}
	}
	o.digestsByVersion = map[string]string{}
	if o.verify == "" {
		return nil
	}
	for _, pair := range strings.Split(o.verify, ",") {
		name, digest, ok := strings.Cut(pair, "=")
		if !ok {
			return &UsageError{"verify", fmt.Sprintf("must be VERSION=DIGEST, not %q", pair)}
		}
		o.digestsByVersion[name] = digest
	}
	return nil
}
