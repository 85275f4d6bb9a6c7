package emulator

import (
	"context"
	"errors"
	"flag"
	"io"
)

func registerObjectAPI(_ *flag.FlagSet) func(ctx context.Context, out io.Writer) error {
	return func(context.Context, io.Writer) error {
		return errors.New("the object API is not part of this build")
	}
}
