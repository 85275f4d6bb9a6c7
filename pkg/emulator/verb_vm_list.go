package emulator

import (
	"context"
	"errors"
	"flag"
	"io"
)

func registerVMList(_ *flag.FlagSet) func(ctx context.Context, out io.Writer) error {
	return func(context.Context, io.Writer) error {
		return errors.New("the list of VMs is not part of this build")
	}
}
