package emulator

import (
	"context"
	"flag"
	"io"
)

func registerObjectAPI(flags *flag.FlagSet) func(ctx context.Context, out io.Writer) error {
	a := &ObjectAPI{}
	address := flags.String("address", "127.0.0.1:0", "`address` to listen on, HOST:PORT")
	flags.Float64Var(&a.WritesPerSecond, "writes-per-second", 300, "reject writes above this `rate` (1/s) with 429; 0 means no limit")
	flags.Float64Var(&a.ReadsPerSecond, "reads-per-second", 2000, "reject reads above this `rate` (1/s) with 429; 0 means no limit")
	flags.IntVar(&a.HistoryLength, "history", defaultHistoryLength, "maximum `number` of changes kept for watches")
	flags.DurationVar(&a.Faults.Delay, "delay", 0, "`time` added before each call is executed")
	return func(ctx context.Context, out io.Writer) error {
		return serve(ctx, *address, a, out)
	}
}
