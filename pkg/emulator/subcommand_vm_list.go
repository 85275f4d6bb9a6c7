package emulator

import (
	"context"
	"flag"
	"io"
)

func registerVMList(flags *flag.FlagSet) func(ctx context.Context, out io.Writer) error {
	l := &VMList{}
	address := flags.String("address", "127.0.0.1:0", "`address` to listen on, HOST:PORT")
	flags.DurationVar(&l.Lag, "lag", 0, "`time` until a change becomes visible")
	return func(ctx context.Context, out io.Writer) error {
		return serve(ctx, *address, l, out)
	}
}
