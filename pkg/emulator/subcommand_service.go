package emulator

import (
	"context"
	"flag"
	"io"
)

func registerService(flags *flag.FlagSet) func(ctx context.Context, out io.Writer) error {
	s := &Service{}
	address := flags.String("address", "127.0.0.1:0", "`address` to listen on, HOST:PORT")
	flags.DurationVar(&s.Latency, "latency", 0, "`time` of each call")
	flags.StringVar(&s.CrashOn, "crash-on", "", "exit with code 3 when a body contains `text`")
	return func(ctx context.Context, out io.Writer) error {
		return serve(ctx, *address, s, out)
	}
}
