package emulator

import (
	"context"
	"flag"
	"io"
	"time"
)

func registerEngine(flags *flag.FlagSet) func(ctx context.Context, out io.Writer) error {
	e := &Engine{}
	address := flags.String("address", "127.0.0.1:0", "`address` to listen on, HOST:PORT")
	flags.IntVar(&e.Slots, "slots", 16, "maximum `number` of concurrent requests")
	flags.DurationVar(&e.TokenTime, "token-time", 5*time.Millisecond, "`time` between consecutive tokens of a request")
	flags.DurationVar(&e.PrefillTime, "prefill-time", 50*time.Microsecond, "`time` for each prompt token that is not cached")
	flags.IntVar(&e.CacheBlocks, "cache-blocks", 4096, "capacity of the prefix cache, as a `number` of 64-byte prompt blocks")
	flags.DurationVar(&e.EventDelay, "event-delay", 500*time.Millisecond, "`age` at which a cache event becomes visible")
	flags.IntVar(&e.EventGap, "event-gap", 10, "drop each cache event whose sequence number is a multiple of `n`; 0 drops none")
	flags.DurationVar(&e.LoadLag, "load-lag", 500*time.Millisecond, "`age` of the reported load")
	flags.DurationVar(&e.LoadTime, "load-time", 200*time.Millisecond, "`time` to activate a version after its weights have been received")
	flags.IntVar(&e.AnswerTokens, "answer-tokens", 0, "end answers after `n` tokens; 0 means no limit")
	flags.BoolVar(&e.IgnoreCancel, "ignore-cancel", false, "keep requests running after they are canceled")
	flags.BoolVar(&e.IgnoreEpoch, "ignore-epoch", false, "accept orders with a stale fencing epoch")
	flags.StringVar(&e.CrashOn, "crash-on", "", "exit with code 3 when a prompt contains `text`")
	return func(ctx context.Context, out io.Writer) error {
		if e.Slots < 1 {
			return &UsageError{Message: "--slots: must be at least 1, for example 16"}
		}
		return serve(ctx, *address, e, out)
	}
}
