package broadcaster_test

import (
	"context"
	"encoding/binary"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/kit/metrics/generic"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/broadcaster"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

var errFake = errors.New("injected fault")

// fakeObjects is an object API that contains only the head: a revision and the
// version of the object. Watches follow the contract of adapter.ObjectAPI.
type fakeObjects struct {
	adapter.ObjectAPI

	mu       sync.Mutex
	revision uint64
	version  uint64
	down     bool
	gap      bool
	replay   bool
	era      uint64
	changed  chan struct{}
	calls    map[string]int
}

func newFakeObjects(revision uint64) *fakeObjects {
	return &fakeObjects{revision: revision, version: 10, changed: make(chan struct{}), calls: map[string]int{}}
}

func (f *fakeObjects) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *fakeObjects) publish(revision uint64) {
	f.set(func() { f.revision, f.version = revision, f.version+1 })
}

func (f *fakeObjects) Era() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.era
}

func (f *fakeObjects) count(operations ...string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, operation := range operations {
		n += f.calls[operation]
	}
	return n
}

func (f *fakeObjects) recordCall(operation string) error {
	f.calls[operation]++
	if f.down {
		return &adapter.UnavailableError{Operation: operation, Key: broadcaster.HeadKey, Cause: errFake}
	}
	return nil
}

func (f *fakeObjects) load(context.Context) (*parser.Revision, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.recordCall("load"); err != nil {
		return nil, err
	}
	return &parser.Revision{Number: f.revision, Set: parser.NewSet()}, nil
}

func (f *fakeObjects) Get(context.Context, string) (adapter.Object, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.recordCall("get"); err != nil {
		return adapter.Object{}, err
	}
	return adapter.Object{Key: broadcaster.HeadKey, Version: f.version}, nil
}

func (f *fakeObjects) Watch(ctx context.Context, prefix string, after uint64) ([]adapter.Change, uint64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for {
		if err := f.recordCall("watch"); err != nil {
			return nil, 0, err
		}
		if f.gap {
			return nil, 0, &adapter.GapError{Prefix: prefix, After: after}
		}
		if f.replay {
			// All events are delivered again, starting with the first one.
			var changes []adapter.Change
			for version := uint64(1); version <= f.version; version++ {
				changes = append(changes, adapter.Change{Object: adapter.Object{Key: prefix, Version: version}})
			}
			return changes, 1, nil
		}
		if f.version > after {
			return []adapter.Change{{Object: adapter.Object{Key: prefix, Version: f.version}}}, f.version, nil
		}
		changed := f.changed
		f.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-changed:
		}
		f.mu.Lock()
		if ctx.Err() != nil {
			return nil, 0, ctx.Err()
		}
	}
}

// peers maps addresses to other broadcasters.
type peers map[string]*broadcaster.Broadcaster

type peerClient struct {
	messenger.EntryClient
	peer *broadcaster.Broadcaster
}

func (p peers) client(address string) (messenger.EntryClient, error) {
	return &peerClient{peer: p[address]}, nil
}

func (c *peerClient) Revision(ctx context.Context, req *messenger.RevisionRequest, _ ...grpc.CallOption) (*messenger.RevisionReply, error) {
	if c.peer == nil {
		return nil, status.Error(codes.Unavailable, "no connection")
	}
	return c.peer.Revision(ctx, req)
}

func encode(r *parser.Revision) ([]byte, error) {
	return binary.BigEndian.AppendUint64(nil, r.Number), nil
}

func decode(b []byte) (*parser.Revision, error) {
	return &parser.Revision{Number: binary.BigEndian.Uint64(b), Set: parser.NewSet()}, nil
}

type daemon struct {
	*broadcaster.Broadcaster
	cancel         context.CancelFunc
	done           chan struct{}
	lowerRevisions *generic.Counter
}

func (d *daemon) run(ctx context.Context) {
	defer close(d.done)
	_ = d.Run(ctx)
}

func start(t *testing.T, head *fakeObjects, relay bool, known peers) *daemon {
	return startWith(t, head, func(time.Time) bool { return relay }, known)
}

func startWith(t *testing.T, head *fakeObjects, relay func(time.Time) bool, known peers) *daemon {
	ctx, cancel := context.WithCancel(t.Context())
	d := &daemon{cancel: cancel, done: make(chan struct{}), lowerRevisions: generic.NewCounter("lower")}
	d.Broadcaster = &broadcaster.Broadcaster{
		API: head, Load: head.load, Encode: encode, Decode: decode, Client: known.client,
		IsRelay:        relay,
		LowerRevisions: d.lowerRevisions,
		Peers: func(time.Time) (addresses []string) {
			for address := range known {
				addresses = append(addresses, address)
			}
			return addresses
		},
	}
	go d.run(ctx)
	return d
}

func (d *daemon) stop() {
	d.cancel()
	<-d.done
}

// Guards against a daemon that reverts to a lower head, or that refuses it
// without reporting it.
func TestLowerHeadIsRefusedAndReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		head := newFakeObjects(5)
		d := start(t, head, true, nil)
		time.Sleep(time.Second)
		c.Assert(d.RevisionNumber(), qt.Equals, uint64(5))
		head.publish(3)
		time.Sleep(5 * time.Second)
		c.Assert(d.RevisionNumber(), qt.Equals, uint64(5))
		c.Assert(d.lowerRevisions.Value() >= 1, qt.IsTrue)
		c.Assert(d.Status().LastRefused, qt.Equals, uint64(3))
		head.publish(6)
		time.Sleep(time.Second)
		c.Assert(d.RevisionNumber(), qt.Equals, uint64(6))
		d.stop()
	})
}

// Guards against a missed revision after a gap in a watch, and against a load
// for each event that a watch replays.
func TestWatchWithGapAndReplay(t *testing.T) {
	tests := []struct {
		name  string
		fault func(f *fakeObjects)
	}{
		{"gap", func(f *fakeObjects) { f.gap = true }},
		{"replay", func(f *fakeObjects) { f.replay = true }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				head := newFakeObjects(1)
				d := start(t, head, true, nil)
				time.Sleep(time.Second)
				head.set(func() { test.fault(head) })
				before := head.count("load", "get", "watch")
				for revision := uint64(2); revision < 12; revision++ {
					head.publish(revision)
					time.Sleep(4 * time.Second)
					c.Assert(d.RevisionNumber(), qt.Equals, revision)
				}
				c.Assert(head.count("load") < 60, qt.IsTrue, qt.Commentf("%d loads", head.count("load")))
				c.Assert(head.count("load", "get", "watch")-before < 400, qt.IsTrue)
				d.stop()
			})
		})
	}
}

// Guards against a daemon that gets no configuration because the object API is
// down when it starts, and against one that does not catch up with its peers.
func TestStartsFromPeersAndPulls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		head := newFakeObjects(7)
		running := start(t, head, true, nil)
		time.Sleep(time.Second)
		down := newFakeObjects(7)
		down.set(func() { down.down = true })
		known := peers{"dead:1": nil, "running:1": running.Broadcaster}
		fresh := start(t, down, false, known)
		time.Sleep(30 * time.Second)
		c.Assert(fresh.RevisionNumber(), qt.Equals, uint64(7))

		head.publish(8)
		time.Sleep(time.Second)
		before := down.count("load", "get", "watch")
		fresh.ObserveRevision(8, "running:1")
		time.Sleep(time.Second)
		c.Assert(fresh.RevisionNumber(), qt.Equals, uint64(8))
		c.Assert(down.count("load", "get", "watch"), qt.Equals, before)

		// The peer that announced the revision is unreachable; another one has it.
		head.publish(9)
		time.Sleep(time.Second)
		fresh.ObserveRevision(9, "dead:1")
		time.Sleep(time.Minute)
		c.Assert(fresh.RevisionNumber(), qt.Equals, uint64(9))
		running.stop()
		fresh.stop()
	})
}

// Guards against relays that call the object API in a tight loop while it is
// down for an hour, and that miss a revision published when it is available
// again.
func TestLongOutageLimitsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		head := newFakeObjects(1)
		d := start(t, head, true, nil)
		time.Sleep(time.Second)
		head.set(func() { head.down = true })
		before := head.count("load", "get", "watch")
		time.Sleep(time.Hour)
		calls := head.count("load", "get", "watch") - before
		c.Assert(calls < 3600/4, qt.IsTrue, qt.Commentf("%d calls", calls))
		c.Assert(d.RevisionNumber(), qt.Equals, uint64(1))
		c.Assert(d.Status().Watching, qt.IsFalse)
		head.set(func() { head.down = false })
		head.publish(2)
		before = head.count("load", "get", "watch")
		time.Sleep(20 * time.Second)
		c.Assert(d.RevisionNumber(), qt.Equals, uint64(2))
		c.Assert(d.Status().Watching, qt.IsTrue)
		c.Assert(head.count("load", "get", "watch")-before < 10, qt.IsTrue)
		d.stop()
	})
}

// Guards against daemons that watch the head without being relays.
func TestOnlyRelaysWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		head := newFakeObjects(1)
		d := start(t, head, false, nil)
		time.Sleep(time.Minute)
		c.Assert(d.RevisionNumber(), qt.Equals, uint64(1))
		c.Assert(head.count("watch", "get"), qt.Equals, 0)
		c.Assert(head.count("load"), qt.Equals, 1)
		d.stop()
	})
}

// Guards against a daemon that starts during an outage and takes the revision of
// the first peer that answers instead of the highest one of its peers.
func TestStartsWithHighestRevisionOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		known := peers{}
		var running []*daemon
		for address, revision := range map[string]uint64{"a:1": 5, "b:1": 9, "c:1": 7} {
			d := start(t, newFakeObjects(revision), true, nil)
			known[address] = d.Broadcaster
			running = append(running, d)
		}
		time.Sleep(time.Second)
		down := newFakeObjects(9)
		down.set(func() { down.down = true })
		for range 10 {
			fresh := start(t, down, false, known)
			time.Sleep(10 * time.Second)
			c.Assert(fresh.RevisionNumber(), qt.Equals, uint64(9))
			fresh.stop()
		}
		for _, d := range running {
			d.stop()
		}
	})
}

// Guards against a region that keeps its old revision after a partition or
// distributes it to others: its daemons announce the old revision in heartbeats
// and return it to pulls, and its object API still has the old head.
func TestPartitionedRegionTakesHigherRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		near, far := newFakeObjects(5), newFakeObjects(5)
		known := peers{}
		connected := start(t, near, true, known)
		cutOff := start(t, far, true, known)
		time.Sleep(time.Second)
		near.publish(8)
		time.Sleep(time.Hour)
		c.Assert(connected.RevisionNumber(), qt.Equals, uint64(8))
		c.Assert(cutOff.RevisionNumber(), qt.Equals, uint64(5))

		known["connected:1"], known["cut-off:1"] = connected.Broadcaster, cutOff.Broadcaster
		connected.ObserveRevision(5, "cut-off:1")
		cutOff.ObserveRevision(8, "connected:1")
		time.Sleep(5 * time.Second)
		c.Assert(connected.RevisionNumber(), qt.Equals, uint64(8))
		c.Assert(cutOff.RevisionNumber(), qt.Equals, uint64(8))
		c.Assert(connected.lowerRevisions.Value(), qt.Equals, float64(0))

		// The outdated head of the region's object API is refused and counted.
		far.publish(6)
		time.Sleep(10 * time.Second)
		c.Assert(cutOff.RevisionNumber(), qt.Equals, uint64(8))
		c.Assert(cutOff.lowerRevisions.Value() >= 1, qt.IsTrue)
		far.publish(9)
		time.Sleep(10 * time.Second)
		c.Assert(cutOff.RevisionNumber(), qt.Equals, uint64(9))
		connected.ObserveRevision(9, "cut-off:1")
		time.Sleep(5 * time.Second)
		c.Assert(connected.RevisionNumber(), qt.Equals, uint64(9))
		connected.stop()
		cutOff.stop()
	})
}

// Guards against a daemon that keeps its watch after it has ceased to be a
// relay.
func TestFormerRelayEndsItsWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		head := newFakeObjects(1)
		var former atomic.Bool
		d := startWith(t, head, func(time.Time) bool { return !former.Load() }, nil)
		time.Sleep(time.Second)
		c.Assert(d.Status().Watching, qt.IsTrue)
		former.Store(true)
		time.Sleep(3 * time.Second)
		c.Assert(d.Status().Watching, qt.IsFalse)
		watches := head.count("watch")
		time.Sleep(time.Minute)
		c.Assert(head.count("watch"), qt.Equals, watches)
		d.stop()
	})
}

// Guards against a relay whose watch goes on through a restore of the store and
// that therefore never confirms its configuration.
func TestWatchThroughRestoreCarriesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		head := newFakeObjects(3)
		ctx, cancel := context.WithCancel(t.Context())
		d := &daemon{cancel: cancel, done: make(chan struct{})}
		var carriedOver, calls atomic.Uint64
		d.Broadcaster = &broadcaster.Broadcaster{
			API: head, Load: head.load, Encode: encode, Decode: decode,
			CarryOver: func(_ context.Context, current *parser.Revision) error {
				calls.Add(1)
				carriedOver.Store(current.Number)
				return nil
			},
		}
		go d.run(ctx)
		time.Sleep(10 * time.Second)
		c.Assert(calls.Load(), qt.Equals, uint64(0))
		head.mu.Lock()
		head.era++
		head.mu.Unlock()
		time.Sleep(10 * time.Second)
		c.Assert(carriedOver.Load(), qt.Equals, uint64(3))
		time.Sleep(time.Minute)
		c.Assert(calls.Load(), qt.Equals, uint64(1))
		c.Assert(d.Status().Watching, qt.IsTrue)
		d.stop()
	})
}
