package router

import (
	"context"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/accepter"
	"github.com/lentilbridge/lentilbridge/internal/shared/listener"
)

// TestLimitsOfBodies guards against settings of the limits of bodies that do not reach the listener and
// the request path, and against defaults that change.
func TestLimitsOfBodies(t *testing.T) {
	tests := []struct {
		name     string
		args     []string
		slowBody time.Duration
		decoding int64
	}{
		{"defaults", nil, 2 * time.Second, 4 << 20},
		{"lowest", []string{"--slow-body-timeout", "1s", "--max-decoding-bytes", "32768"}, time.Second, accepter.SmallBody},
		{"highest", []string{"--slow-body-timeout", "10m", "--max-decoding-bytes", "1073741824"}, 10 * time.Minute, 1 << 30},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			c := qt.New(t)
			// The soft limit of the daemon is not for the process of the tests.
			t.Setenv("GOMEMLIMIT", "off")
			args := []string{
				"--vm", "entry-1", "--region", "north", "--failure-domain", "n1", "--object-api", "http://127.0.0.1:1",
				"--public-address", "127.0.0.1:0", "--advertise-public-address", "127.0.0.1:1",
				"--rpc-address", "127.0.0.1:0", "--advertise-rpc-address", "127.0.0.1:2", "--debug-address", "127.0.0.1:0",
			}
			cfg, err := parseSettings(append(args, tc.args...), io.Discard)
			c.Assert(err, qt.IsNil)
			d := &daemon{cfg: cfg, log: zap.NewNop(), failed: make(chan error, 1)}
			d.initPlatform()
			d.initMembership(time.Now())
			d.initLeasedWork()
			d.initRequests()
			ctx, stop := context.WithCancel(context.Background())
			c.Assert(d.listen(ctx), qt.IsNil)
			public, ok := d.public.Listener.(*listener.Listener)
			c.Assert(ok, qt.IsTrue)
			c.Check(public.SlowBodyTime, qt.Equals, tc.slowBody)
			c.Check(d.requests.MaxDecoding, qt.Equals, tc.decoding)
			stop()
			c.Check(d.public.HTTP.Close(), qt.IsNil)
			d.running.Wait()
		})
	}
}
