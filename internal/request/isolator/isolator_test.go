package isolator_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/lentilbridge/lentilbridge/internal/request/isolator"
	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// network connects the isolators of several entry daemons, one of which owns all
// shards.
type network struct {
	api       *emulator.MemoryObjects
	isolators []*isolator.Isolator
	owner     atomic.Int64
	// partitioned makes calls to the owner fail.
	partitioned bool
	// delay is the transmission delay of suspicions.
	delay time.Duration
	// mu guards changes of isolators while they run.
	mu sync.Mutex
}

func newNetwork(n int) *network {
	net := &network{api: &emulator.MemoryObjects{}}
	for k := range n {
		net.isolators = append(net.isolators, &isolator.Isolator{
			API:    &eraOfResponses{MemoryObjects: net.api},
			VM:     fmt.Sprint("entry-", k),
			Log:    zap.NewNop(),
			Now:    time.Now,
			Owner:  net.ownerFor(k),
			Held:   func(string, time.Time) bool { return net.owner.Load() == int64(k) },
			Spread: net.spread,
		})
	}
	return net
}

func (n *network) ownerFor(k int) func(string) messenger.EntryClient {
	return func(string) messenger.EntryClient {
		owner := n.owner.Load()
		if owner == int64(k) || owner < 0 {
			return nil
		}
		return &ownerClient{network: n, isolator: n.isolators[owner]}
	}
}

func (n *network) spread(suspicions []*messenger.Suspicion) {
	if n.delay > 0 {
		time.AfterFunc(n.delay, func() { n.observe(suspicions) })
		return
	}
	n.observe(suspicions)
}

func (n *network) observe(suspicions []*messenger.Suspicion) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, node := range n.isolators {
		node.Observe(suspicions)
	}
}

// eraOfResponses is a client that knows the era only from the responses that it has
// received.
type eraOfResponses struct {
	*emulator.MemoryObjects
	era atomic.Uint64
}

func (e *eraOfResponses) Era() uint64 { return e.era.Load() }

func (e *eraOfResponses) Get(ctx context.Context, key string) (adapter.Object, error) {
	o, err := e.MemoryObjects.Get(ctx, key)
	e.era.Store(e.MemoryObjects.Era())
	return o, err
}

type ownerClient struct {
	messenger.EntryClient
	network  *network
	isolator *isolator.Isolator
}

func (o *ownerClient) Suspect(ctx context.Context, req *messenger.SuspectRequest, _ ...grpc.CallOption) (*messenger.SuspectReply, error) {
	if o.network.partitioned {
		return nil, context.DeadlineExceeded
	}
	return o.isolator.SuspectHere(ctx, req)
}

// sendRequest sends a request once through an entry daemon. It returns the number of
// backend servers that the request crashed and whether it was refused as blocked.
func (n *network) sendRequest(c *qt.C, entry int, fingerprint, vm string, crashes bool, beside ...string) (crashed int, blocked bool) {
	ctx := context.Background()
	node := n.isolators[entry]
	_, isBlocked, suspected := node.Blocked(fingerprint, time.Now())
	if isBlocked {
		return 0, true
	}
	req := &messenger.SuspectRequest{Fingerprint: fingerprint, Vm: vm}
	if suspected {
		permit, err := node.Suspect(ctx, &messenger.SuspectRequest{Fingerprint: fingerprint, AskTrial: true})
		c.Assert(err, qt.IsNil)
		if permit.GetBlocked() || !permit.GetTrialGranted() {
			return 0, permit.GetBlocked()
		}
		req.Trial = permit.GetTrial()
		beside = nil
	}
	req.Crashed = crashes
	req.Succeeded = !crashes
	if crashes {
		req.InProgress = append([]string{fingerprint}, beside...)
		crashed = 1
	}
	_, err := node.Suspect(ctx, req)
	c.Assert(err, qt.IsNil)
	return crashed, false
}

// Guards against a request that crashes more than two backend servers when its caller
// resends it through other entry daemons, and against requests that stay suspect or
// blocked although they were only in progress at the same time.
func TestRequestCrashesAtMostTwoServers(t *testing.T) {
	tests := []struct {
		name    string
		beside  []string
		changes bool
	}{
		{"alone at the first crash", nil, false},
		{"others in progress at the first crash", []string{"mill/innocent-1", "mill/innocent-2"}, false},
		{"owner replaced after the first crash", []string{"mill/innocent-1"}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				net := newNetwork(3)
				lost := 0
				for k := range 6 {
					crashed, _ := net.sendRequest(c, k%3, "mill/bad", fmt.Sprint("vm-", k), true, test.beside...)
					lost += crashed
					if test.changes && k == 0 {
						net.owner.Store(1)
					}
					time.Sleep(time.Second)
				}
				c.Assert(lost, qt.Equals, 2)
				for k, innocent := range test.beside {
					crashed, blocked := net.sendRequest(c, k%3, innocent, "vm-9", false)
					c.Assert(crashed, qt.Equals, 0)
					c.Assert(blocked, qt.IsFalse)
					_, _, suspected := net.isolators[2].Blocked(innocent, time.Now())
					c.Assert(suspected, qt.IsFalse)
				}
				time.Sleep(isolator.BlockDuration)
				_, blocked, _ := net.isolators[2].Blocked("mill/bad", time.Now())
				c.Assert(blocked, qt.IsFalse)
			})
		})
	}
}

// Guards against blocks that operators cannot lift by editing the block list.
func TestOperatorLiftsBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		net := newNetwork(2)
		for k := range 2 {
			net.sendRequest(c, k, "mill/bad", fmt.Sprint("vm-", k), true)
		}
		_, blocked, _ := net.isolators[1].Blocked("mill/bad", time.Now())
		c.Assert(blocked, qt.IsTrue)
		key := fmt.Sprintf("blocks/%d", isolator.ShardOf("mill/bad"))
		stored, err := net.api.Get(ctx, key)
		c.Assert(err, qt.IsNil)
		c.Assert(string(stored.Value), qt.Contains, `"fingerprint":"mill/bad"`)

		go net.isolators[0].Run(ctx)
		time.Sleep(time.Second)
		_, err = net.api.Update(ctx, key, []byte(`{"blocks":[]}`), stored.Version)
		c.Assert(err, qt.IsNil)
		time.Sleep(20 * time.Second)
		_, blocked, _ = net.isolators[1].Blocked("mill/bad", time.Now())
		c.Assert(blocked, qt.IsFalse)
	})
}

// Guards against a trial permit that is not released when its trial could not run. The
// request would be refused until the permit expires.
func TestUnusedPermitIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := t.Context()
		net := newNetwork(2)
		net.sendRequest(c, 0, "mill/slow", "vm-0", true, "mill/other")
		first, err := net.isolators[1].Suspect(ctx, &messenger.SuspectRequest{Fingerprint: "mill/slow", AskTrial: true})
		c.Assert(err, qt.IsNil)
		c.Assert(first.GetTrialGranted(), qt.IsTrue)
		second, err := net.isolators[0].Suspect(ctx, &messenger.SuspectRequest{Fingerprint: "mill/slow", AskTrial: true})
		c.Assert(err, qt.IsNil)
		c.Assert(second.GetTrialGranted(), qt.IsFalse)
		_, err = net.isolators[1].Suspect(ctx, &messenger.SuspectRequest{Fingerprint: "mill/slow", Trial: first.GetTrial()})
		c.Assert(err, qt.IsNil)
		second, err = net.isolators[0].Suspect(ctx, &messenger.SuspectRequest{Fingerprint: "mill/slow", AskTrial: true})
		c.Assert(err, qt.IsNil)
		c.Assert(second.GetTrialGranted(), qt.IsTrue)
	})
}

// Guards against a third crashed server when the owner was unreachable at the first
// crash and only receives the suspicion from another daemon.
func TestCrashReportedPastTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		net := newNetwork(3)
		// This makes the owner load the shard before the crash.
		net.sendRequest(c, 0, "mill/bad", "vm-9", false)
		net.partitioned = true
		lost, _ := net.sendRequest(c, 1, "mill/bad", "vm-0", true, "mill/beside")
		net.partitioned = false
		for k := range 4 {
			crashed, _ := net.sendRequest(c, 2*(k%2), "mill/bad", fmt.Sprint("vm-", k+1), true)
			lost += crashed
			time.Sleep(time.Second)
		}
		c.Assert(lost, qt.Equals, 2)
	})
}

// Guards against a caller that gets its answer, and resends the request through another
// entry daemon, before that daemon has received the suspicion.
func TestFactsArriveBeforeTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		net := newNetwork(3)
		net.delay = 100 * time.Millisecond
		net.sendRequest(c, 1, "mill/bad", "vm-0", true, "mill/beside")
		_, _, suspected := net.isolators[2].Blocked("mill/bad", time.Now())
		c.Assert(suspected, qt.IsTrue)
	})
}

// Guards against a crash of a trial that is not counted because it happened on the same
// VM as the first crash and its permit was granted by a former owner.
func TestTrialCrashAfterOwnerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := t.Context()
		net := newNetwork(2)
		net.sendRequest(c, 0, "mill/bad", "vm-0", true, "mill/beside")
		permit, err := net.isolators[0].Suspect(ctx, &messenger.SuspectRequest{Fingerprint: "mill/bad", AskTrial: true})
		c.Assert(err, qt.IsNil)
		net.owner.Store(1)
		report := &messenger.SuspectRequest{
			Fingerprint: "mill/bad", Vm: "vm-0", Trial: permit.GetTrial(), Crashed: true, InProgress: []string{"mill/bad"},
		}
		reply, err := net.isolators[0].Suspect(ctx, report)
		c.Assert(err, qt.IsNil)
		c.Assert(reply.GetBlocked(), qt.IsTrue)
	})
}

// Guards against a block that is lost because another daemon or an operator changed the
// block list before the owner wrote it, and against a block that returns after an
// operator has lifted it.
func TestBlocksOfTwoWritersAreKept(t *testing.T) {
	other := otherOfSameShard("mill/bad")
	tests := []struct {
		name    string
		atOwner string
	}{
		{"another request at the owner", "mill/bad"},
		{"the same request at the owner", other},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				net := newNetwork(3)
				go net.isolators[0].Run(ctx)
				time.Sleep(time.Second)
				// The write of the owner conflicts with the list that the other daemon
				// has created.
				for k, fingerprint := range []string{other, tt.atOwner} {
					for _, vm := range []string{"vm-0", "vm-1"} {
						_, err := net.isolators[1-k].SuspectHere(ctx, &messenger.SuspectRequest{
							Fingerprint: fingerprint, Vm: vm, Crashed: true, InProgress: []string{fingerprint},
						})
						c.Assert(err, qt.IsNil)
					}
				}
				time.Sleep(30 * time.Second)
				stored, err := net.api.Get(ctx, fmt.Sprintf("blocks/%d", isolator.ShardOf(other)))
				c.Assert(err, qt.IsNil)
				for _, fingerprint := range []string{tt.atOwner, other} {
					_, blocked, _ := net.isolators[2].Blocked(fingerprint, time.Now())
					c.Check(blocked, qt.IsTrue)
					c.Check(string(stored.Value), qt.Contains, `"fingerprint":"`+fingerprint+`"`)
				}
				_, err = net.api.Update(ctx, stored.Key, []byte(`{"blocks":[]}`), stored.Version)
				c.Assert(err, qt.IsNil)
				time.Sleep(30 * time.Second)
				for _, fingerprint := range []string{tt.atOwner, other} {
					_, blocked, _ := net.isolators[2].Blocked(fingerprint, time.Now())
					c.Check(blocked, qt.IsFalse)
				}
			})
		})
	}
}

// otherOfSameShard returns another fingerprint of the same shard.
func otherOfSameShard(fingerprint string) string {
	for k := 0; ; k++ {
		other := fmt.Sprint("mill/other-", k)
		if isolator.ShardOf(other) == isolator.ShardOf(fingerprint) {
			return other
		}
	}
}

// Guards against a request that waits for minutes after the trial of another request
// with the same fingerprint has ended.
func TestTrialIsAskedForAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		net := newNetwork(1)
		net.sendRequest(c, 0, "mill/slow", "vm-0", true)
		ask := &messenger.SuspectRequest{Fingerprint: "mill/slow", AskTrial: true}
		_, err := net.isolators[0].Suspect(t.Context(), ask)
		c.Assert(err, qt.IsNil)
		reply, err := net.isolators[0].Suspect(t.Context(), ask)
		c.Assert(err, qt.IsNil)
		c.Assert(reply.GetTrialGranted(), qt.IsFalse)
		c.Assert(reply.GetRetryAfterMs() > 0 && reply.GetRetryAfterMs() < isolator.TrialDuration.Milliseconds(), qt.IsTrue)
	})
}

// Guards against blocks that are treated as lifted by an operator because the answer to
// one write of the block list was lost.
func TestLostAnswerKeepsBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNetwork(1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go n.isolators[0].Run(ctx)
		synctest.Wait()
		fingerprints := fingerprintsOfShard0(3)
		for k, fingerprint := range fingerprints {
			if k == 1 {
				n.api.LoseAnswers(1)
			}
			for _, vm := range []string{"vm-1", "vm-2"} {
				_, err := n.isolators[0].SuspectHere(ctx, &messenger.SuspectRequest{
					Fingerprint: fingerprint, Vm: vm, Crashed: true, InProgress: []string{fingerprint},
				})
				c.Assert(err, qt.IsNil)
			}
		}
		time.Sleep(isolator.BlockDuration / 2)
		for _, fingerprint := range fingerprints {
			_, blocked, _ := n.isolators[0].Blocked(fingerprint, time.Now())
			c.Check(blocked, qt.IsTrue, qt.Commentf("%s", fingerprint))
		}
	})
}

// fingerprintsOfShard0 returns n fingerprints of shard 0.
func fingerprintsOfShard0(n int) []string {
	var fingerprints []string
	for k := 0; len(fingerprints) < n; k++ {
		if f := fmt.Sprint("fingerprint-", k); isolator.ShardOf(f) == 0 {
			fingerprints = append(fingerprints, f)
		}
	}
	return fingerprints
}

// Guards against a block that is lifted because a restored store lacks it.
func TestRestoredStoreLiftsNoBlock(t *testing.T) {
	for _, listed := range []bool{false, true} {
		t.Run(fmt.Sprintf("list in the copy %v", listed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				net := newNetwork(2)
				key := fmt.Sprintf("blocks/%d", isolator.ShardOf("mill/bad"))
				if listed {
					_, err := net.api.Create(ctx, key, []byte(`{"blocks":[]}`))
					c.Assert(err, qt.IsNil)
				}
				earlier := net.api.Copy()
				for k := range 2 {
					net.sendRequest(c, k, "mill/bad", fmt.Sprint("vm-", k), true)
				}
				go net.isolators[0].Run(ctx)
				time.Sleep(time.Second)
				net.api.Restore(earlier)
				// Other writes use the lost versions.
				for n := range 20 {
					_, err := net.api.Create(ctx, fmt.Sprint("other/", n), nil)
					c.Assert(err, qt.IsNil)
				}
				time.Sleep(25 * time.Second)
				for k := range 2 {
					_, blocked, _ := net.isolators[k].Blocked("mill/bad", time.Now())
					c.Assert(blocked, qt.IsTrue, qt.Commentf("daemon %d", k))
				}
				stored, err := net.api.Get(ctx, key)
				c.Assert(err, qt.IsNil)
				c.Assert(string(stored.Value), qt.Contains, `"fingerprint":"mill/bad"`)
				// Operators can lift it as before.
				_, err = net.api.Update(ctx, key, []byte(`{"blocks":[]}`), stored.Version)
				c.Assert(err, qt.IsNil)
				time.Sleep(20 * time.Second)
				_, blocked, _ := net.isolators[1].Blocked("mill/bad", time.Now())
				c.Assert(blocked, qt.IsFalse)
			})
		})
	}
}

// Guards against a block that is missing in the stored list because the owner's
// lease ended with the restore of the store.
func TestBlockOutlastsLeaseLostByRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		net := newNetwork(2)
		key := fmt.Sprintf("blocks/%d", isolator.ShardOf("mill/bad"))
		earlier := net.api.Copy()
		for k := range 2 {
			net.sendRequest(c, k, "mill/bad", fmt.Sprint("vm-", k), true)
		}
		net.owner.Store(-1)
		net.api.Restore(earlier)
		go net.isolators[0].Run(ctx)
		time.Sleep(time.Second)
		synctest.Wait()
		net.owner.Store(0)
		time.Sleep(25 * time.Second)
		synctest.Wait()
		stored, err := net.api.Get(ctx, key)
		c.Assert(err, qt.IsNil)
		c.Assert(string(stored.Value), qt.Contains, `"fingerprint":"mill/bad"`)
	})
}
