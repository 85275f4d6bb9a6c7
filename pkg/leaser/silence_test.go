package leaser_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
)

// silentObjects is an object API that answers no call until a time. Writes take effect when it
// goes on.
type silentObjects struct {
	adapter.ObjectAPI
	// until is in nanoseconds since 1970.
	until *atomic.Int64
}

func (s *silentObjects) wait(ctx context.Context) error {
	select {
	case <-time.After(time.Until(time.Unix(0, s.until.Load()))):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *silentObjects) List(ctx context.Context, prefix string) ([]adapter.Object, error) {
	if err := s.wait(ctx); err != nil {
		return nil, err
	}
	return s.ObjectAPI.List(ctx, prefix)
}

func (s *silentObjects) Update(ctx context.Context, key string, value []byte, version uint64) (adapter.Object, error) {
	if err := s.wait(ctx); err != nil {
		time.Sleep(time.Until(time.Unix(0, s.until.Load())))
		_, _ = s.ObjectAPI.Update(context.WithoutCancel(ctx), key, value, version)
		return adapter.Object{}, err
	}
	return s.ObjectAPI.Update(ctx, key, value, version)
}

// TestPausedStoreLosesLease guards against a lease that changes its holder, or has two, because
// the object API pauses.
func TestPausedStoreLosesLease(t *testing.T) {
	for _, pause := range []time.Duration{1100 * time.Millisecond, 1500 * time.Millisecond, 1900 * time.Millisecond} {
		// The pauses begin at all points of a round.
		for begin := 10 * time.Second; begin < 12*time.Second; begin += 100 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				objects := &silentObjects{ObjectAPI: &emulator.MemoryObjects{}, until: &atomic.Int64{}}
				vms := []string{"vm-1", "vm-2"}
				daemons := []*daemon{start(t, objects, vms[0], vms, "claims-0"), start(t, objects, vms[1], vms, "claims-0")}
				time.Sleep(begin)
				objects.until.Store(time.Now().Add(pause).UnixNano())
				for range 200 {
					holders := 0
					for _, d := range daemons {
						lease, held := d.Held("claims-0", time.Now())
						if held {
							holders++
							c.Assert(lease.Epoch, qt.Equals, uint64(1))
						}
					}
					c.Assert(holders, qt.Equals, 1, qt.Commentf("pause of %v after %v", pause, begin))
					time.Sleep(50 * time.Millisecond)
				}
				for _, d := range daemons {
					d.stop()
				}
			})
		}
	}
}
