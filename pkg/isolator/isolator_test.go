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

	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/isolator"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// network connects the isolators of several entry daemons; one owns all
// shards.
type network struct {
	api   *emulator.MemoryObjects
	nodes []*isolator.Isolator
	owner int
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
		return &ownerClient{isolator: n.nodes[n.owner]}
	}
}

func (n *network) spread(facts []*messenger.Suspicion) {
	for _, node := range n.nodes {
		node.Observe(facts)
	}
}

type ownerClient struct {
	messenger.EntryClient
	isolator *isolator.Isolator
}

func (o *ownerClient) Suspect(ctx context.Context, req *messenger.SuspectRequest, _ ...grpc.CallOption) (*messenger.SuspectReply, error) {
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
		fingerprints := sameShard(3)
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

// sameShard returns fingerprints of one isolation shard.
func sameShard(n int) []string {
	var fingerprints []string
	for k := 0; len(fingerprints) < n; k++ {
		if f := fmt.Sprint("fingerprint-", k); isolator.ShardOf(f) == 0 {
			fingerprints = append(fingerprints, f)
		}
	}
	return fingerprints
}
