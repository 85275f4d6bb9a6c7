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
	flags.IntVar(&e.Slots, "slots", 16, "`number` of requests that run at once")
	flags.DurationVar(&e.TokenTime, "token-time", 5*time.Millisecond, "`time` between two tokens of one request")
	flags.DurationVar(&e.PrefillTime, "prefill-time", 50*time.Microsecond, "`time` for one prompt token that is not cached")
	flags.IntVar(&e.CacheBlocks, "cache-blocks", 4096, "`number` of prompt blocks of 64 bytes that the cache holds")
	flags.DurationVar(&e.EventDelay, "event-delay", 500*time.Millisecond, "`age` at which a cache event becomes visible")
	flags.IntVar(&e.EventGap, "event-gap", 10, "lose each cache event whose number is a multiple of `n`; 0 loses none")
	flags.DurationVar(&e.LoadLag, "load-lag", 500*time.Millisecond, "`age` of the reported load")
	flags.DurationVar(&e.LoadTime, "load-time", 200*time.Millisecond, "`time` to switch versions after the weights have been read")
	flags.IntVar(&e.AnswerTokens, "answer-tokens", 0, "end answers after `n` tokens; 0 has no such end")
	flags.BoolVar(&e.IgnoreCancel, "ignore-cancel", false, "run requests on after a cancel")
	flags.BoolVar(&e.IgnoreEpoch, "ignore-epoch", false, "accept orders with an old fencing epoch")
	flags.StringVar(&e.CrashOn, "crash-on", "", "exit with code 3 when a prompt contains `text`")
	return func(ctx context.Context, out io.Writer) error {
		if e.Slots < 1 {
			return &UsageError{Text: "--slots: must be at least 1, for example 16"}
		}
		return serve(ctx, *address, e, out)
	}
}
