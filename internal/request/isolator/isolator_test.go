package isolator_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/lentilbridge/lentilbridge/internal/request/isolator"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// network connects the isolators of several entry daemons; one owns all
// shards.
type network struct {
	api   *emulator.MemoryObjects
	nodes []*isolator.Isolator
	owner int
	// cut keeps the daemons from reaching the owner.
	cut bool
	// lag is the time that facts take.
	lag time.Duration
}

func newNetwork(n int) *network {
	net := &network{api: &emulator.MemoryObjects{}}
	for k := range n {
		net.nodes = append(net.nodes, &isolator.Isolator{
			API:    net.api,
			VM:     fmt.Sprint("entry-", k),
			Log:    zap.NewNop(),
			Now:    time.Now,
			Owner:  net.ownerFor(k),
			Held:   func(string, time.Time) bool { return net.owner == k },
			Spread: net.spread,
		})
	}
	return net
}

func (n *network) ownerFor(k int) func(string) messenger.EntryClient {
	return func(string) messenger.EntryClient {
		if n.owner == k {
			return nil
		}
		return &ownerClient{network: n, isolator: n.nodes[n.owner]}
	}
}

func (n *network) spread(facts []*messenger.Suspicion) {
	if n.lag > 0 {
		time.AfterFunc(n.lag, func() { n.observe(facts) })
		return
	}
	n.observe(facts)
}

func (n *network) observe(facts []*messenger.Suspicion) {
	for _, node := range n.nodes {
		node.Observe(facts)
	}
}

type ownerClient struct {
	messenger.EntryClient
	network  *network
	isolator *isolator.Isolator
}

func (o *ownerClient) Suspect(ctx context.Context, req *messenger.SuspectRequest, _ ...grpc.CallOption) (*messenger.SuspectReply, error) {
	if o.network.cut {
		return nil, context.DeadlineExceeded
	}
	return o.isolator.SuspectHere(ctx, req)
}

// send plays one resend of a request through an entry daemon and returns the
// number of backend servers that it crashed.
func (n *network) send(c *qt.C, entry int, fingerprint, vm string, crashes bool, beside ...string) (crashed int, blocked bool) {
	ctx := context.Background()
	node := n.nodes[entry]
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

// Guards against a request that goes on crashing backend servers when its
// caller sends it again through other entry daemons, and against blame for
// requests that were only in progress beside it.
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
					crashed, _ := net.send(c, k%3, "mill/bad", fmt.Sprint("vm-", k), true, test.beside...)
					lost += crashed
					if test.changes && k == 0 {
						net.owner = 1
					}
					time.Sleep(time.Second)
				}
				c.Assert(lost, qt.Equals, 2)
				for k, innocent := range test.beside {
					crashed, blocked := net.send(c, k%3, innocent, "vm-9", false)
					c.Assert(crashed, qt.Equals, 0)
					c.Assert(blocked, qt.IsFalse)
					_, _, suspected := net.nodes[2].Blocked(innocent, time.Now())
					c.Assert(suspected, qt.IsFalse)
				}
				time.Sleep(isolator.BlockDuration)
				_, blocked, _ := net.nodes[2].Blocked("mill/bad", time.Now())
				c.Assert(blocked, qt.IsFalse)
			})
		})
	}
}

// Guards against a block that operators cannot lift.
func TestOperatorLiftsBlock(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		net := newNetwork(2)
		for k := range 2 {
			net.send(c, k, "mill/bad", fmt.Sprint("vm-", k), true)
		}
		_, blocked, _ := net.nodes[1].Blocked("mill/bad", time.Now())
		c.Assert(blocked, qt.IsTrue)
		key := fmt.Sprintf("blocks/%d", isolator.ShardOf("mill/bad"))
		stored, err := net.api.Get(ctx, key)
		c.Assert(err, qt.IsNil)
		c.Assert(string(stored.Value), qt.Contains, `"fingerprint":"mill/bad"`)

		go net.nodes[0].Run(ctx)
		time.Sleep(time.Second)
		_, err = net.api.Update(ctx, key, []byte(`{"blocks":[]}`), stored.Version)
		c.Assert(err, qt.IsNil)
		time.Sleep(20 * time.Second)
		_, blocked, _ = net.nodes[1].Blocked("mill/bad", time.Now())
		c.Assert(blocked, qt.IsFalse)
	})
}

// Guards against a permit that is lost when its trial could not be run, which
// would refuse the request until the permit lapses.
func TestUnusedPermitIsReturned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := t.Context()
		net := newNetwork(2)
		net.send(c, 0, "mill/slow", "vm-0", true, "mill/other")
		first, err := net.nodes[1].Suspect(ctx, &messenger.SuspectRequest{Fingerprint: "mill/slow", AskTrial: true})
		c.Assert(err, qt.IsNil)
		c.Assert(first.GetTrialGranted(), qt.IsTrue)
		second, err := net.nodes[0].Suspect(ctx, &messenger.SuspectRequest{Fingerprint: "mill/slow", AskTrial: true})
		c.Assert(err, qt.IsNil)
		c.Assert(second.GetTrialGranted(), qt.IsFalse)
		_, err = net.nodes[1].Suspect(ctx, &messenger.SuspectRequest{Fingerprint: "mill/slow", Trial: first.GetTrial()})
		c.Assert(err, qt.IsNil)
		second, err = net.nodes[0].Suspect(ctx, &messenger.SuspectRequest{Fingerprint: "mill/slow", AskTrial: true})
		c.Assert(err, qt.IsNil)
		c.Assert(second.GetTrialGranted(), qt.IsTrue)
	})
}

// Guards against a third lost server when the owner could not be reached at
// the first crash and hears of it only by a fact.
func TestCrashReportedPastTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		net := newNetwork(3)
		// The owner has decided before, so that it does not load the shard again.
		net.send(c, 0, "mill/bad", "vm-9", false)
		net.cut = true
		lost, _ := net.send(c, 1, "mill/bad", "vm-0", true, "mill/beside")
		net.cut = false
		for k := range 4 {
			crashed, _ := net.send(c, 2*(k%2), "mill/bad", fmt.Sprint("vm-", k+1), true)
			lost += crashed
			time.Sleep(time.Second)
		}
		c.Assert(lost, qt.Equals, 2)
	})
}

// Guards against a caller that is answered and sends its request again through
// another entry daemon before that one has heard of the crash.
func TestFactsArriveBeforeTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		net := newNetwork(3)
		net.lag = 100 * time.Millisecond
		net.send(c, 1, "mill/bad", "vm-0", true, "mill/beside")
		_, _, suspected := net.nodes[2].Blocked("mill/bad", time.Now())
		c.Assert(suspected, qt.IsTrue)
	})
}

// Guards against a trial's crash that does not count because it hit the VM of
// the first one and its permit came from a former owner.
func TestTrialCrashAfterOwnerChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		ctx := t.Context()
		net := newNetwork(2)
		net.send(c, 0, "mill/bad", "vm-0", true, "mill/beside")
		permit, err := net.nodes[0].Suspect(ctx, &messenger.SuspectRequest{Fingerprint: "mill/bad", AskTrial: true})
		c.Assert(err, qt.IsNil)
		net.owner = 1
		report := &messenger.SuspectRequest{
			Fingerprint: "mill/bad", Vm: "vm-0", Trial: permit.GetTrial(), Crashed: true, InProgress: []string{"mill/bad"},
		}
		reply, err := net.nodes[0].Suspect(ctx, report)
		c.Assert(err, qt.IsNil)
		c.Assert(reply.GetBlocked(), qt.IsTrue)
	})
}

// Guards against a block that ends because another daemon or an operator has
// changed the list before the owner could write it, and against one that
// returns after an operator has lifted it.
func TestBlocksOfTwoWritersAreKept(t *testing.T) {
	other := sameShard("mill/bad")
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
				go net.nodes[0].Run(ctx)
				time.Sleep(time.Second)
				// The owner's write meets the list that the other daemon has made.
				for k, fingerprint := range []string{other, tt.atOwner} {
					for _, vm := range []string{"vm-0", "vm-1"} {
						_, err := net.nodes[1-k].SuspectHere(ctx, &messenger.SuspectRequest{
							Fingerprint: fingerprint, Vm: vm, Crashed: true, InProgress: []string{fingerprint},
						})
						c.Assert(err, qt.IsNil)
					}
				}
				time.Sleep(30 * time.Second)
				stored, err := net.api.Get(ctx, fmt.Sprintf("blocks/%d", isolator.ShardOf(other)))
				c.Assert(err, qt.IsNil)
				for _, fingerprint := range []string{tt.atOwner, other} {
					_, blocked, _ := net.nodes[2].Blocked(fingerprint, time.Now())
					c.Check(blocked, qt.IsTrue)
					c.Check(string(stored.Value), qt.Contains, `"fingerprint":"`+fingerprint+`"`)
				}
				_, err = net.api.Update(ctx, stored.Key, []byte(`{"blocks":[]}`), stored.Version)
				c.Assert(err, qt.IsNil)
				time.Sleep(30 * time.Second)
				for _, fingerprint := range []string{tt.atOwner, other} {
					_, blocked, _ := net.nodes[2].Blocked(fingerprint, time.Now())
					c.Check(blocked, qt.IsFalse)
				}
			})
		})
	}
}

// sameShard returns another fingerprint of the shard.
func sameShard(fingerprint string) string {
	for k := 0; ; k++ {
		other := fmt.Sprint("mill/other-", k)
		if isolator.ShardOf(other) == isolator.ShardOf(fingerprint) {
			return other
		}
	}
}

// Guards against a request that waits for minutes after the trial of another
// one with the same fingerprint has ended.
func TestTrialIsAskedForAgainSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		net := newNetwork(1)
		net.send(c, 0, "mill/slow", "vm-0", true)
		ask := &messenger.SuspectRequest{Fingerprint: "mill/slow", AskTrial: true}
		_, err := net.nodes[0].Suspect(t.Context(), ask)
		c.Assert(err, qt.IsNil)
		reply, err := net.nodes[0].Suspect(t.Context(), ask)
		c.Assert(err, qt.IsNil)
		c.Assert(reply.GetTrialGranted(), qt.IsFalse)
		c.Assert(reply.GetRetryAfterMs() > 0 && reply.GetRetryAfterMs() < isolator.TrialDuration.Milliseconds(), qt.IsTrue)
	})
}

// Guards against blocks that are taken for lifted by an operator because the
// answer to one write of the list was lost.
func TestLostAnswerKeepsBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNetwork(1)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go n.nodes[0].Run(ctx)
		synctest.Wait()
		fingerprints := shardFingerprints(3)
		for k, fingerprint := range fingerprints {
			if k == 1 {
				n.api.LoseAnswers(1)
			}
			for _, vm := range []string{"vm-1", "vm-2"} {
				_, err := n.nodes[0].SuspectHere(ctx, &messenger.SuspectRequest{
					Fingerprint: fingerprint, Vm: vm, Crashed: true, InProgress: []string{fingerprint},
				})
				c.Assert(err, qt.IsNil)
			}
		}
		time.Sleep(isolator.BlockDuration / 2)
		for _, fingerprint := range fingerprints {
			_, blocked, _ := n.nodes[0].Blocked(fingerprint, time.Now())
			c.Check(blocked, qt.IsTrue, qt.Commentf("%s", fingerprint))
		}
	})
}

// shardFingerprints returns fingerprints of one isolation shard.
func shardFingerprints(n int) []string {
	var fingerprints []string
	for k := 0; len(fingerprints) < n; k++ {
		if f := fmt.Sprint("fingerprint-", k); isolator.ShardOf(f) == 0 {
			fingerprints = append(fingerprints, f)
		}
	}
	return fingerprints
}
