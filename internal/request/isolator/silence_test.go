package isolator_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/status"

	"github.com/lentilbridge/lentilbridge/internal/request/isolator"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// pausedOwner handles the calls that it gets during a pause afterwards, also those whose
// callers have left.
type pausedOwner struct {
	messenger.EntryClient
	isolator *isolator.Isolator
	until    time.Time
}

func (o *pausedOwner) Suspect(ctx context.Context, req *messenger.SuspectRequest, _ ...grpc.CallOption) (*messenger.SuspectReply, error) {
	if left := time.Until(o.until); left > 0 {
		select {
		case <-time.After(left):
		case <-ctx.Done():
			time.AfterFunc(left, func() { _, _ = o.isolator.SuspectHere(ctx, req) })
			return nil, status.FromContextError(ctx.Err()).Err()
		}
	}
	return o.isolator.SuspectHere(ctx, req)
}

// TestPauseOfOwnerAllowsSecondTrial guards against two trials of one request at a time, which
// can crash a third backend server, because the owner of its shard pauses.
func TestPauseOfOwnerAllowsSecondTrial(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		pause time.Duration
		// took is the longest time until the first permit.
		took time.Duration
	}{{0, 0}, {1100 * ms, 1100 * ms}, {1500 * ms, 1500 * ms}, {1900 * ms, 1900 * ms}}
	for _, tc := range tests {
		t.Run(tc.pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				n := newNetwork(3)
				n.sendRequest(c, 1, "f", "vm-1", true)
				begin := time.Now()
				owner := &pausedOwner{isolator: n.isolators[0], until: begin.Add(tc.pause)}
				granted := make(chan time.Duration, 2)
				var asked sync.WaitGroup
				for _, node := range n.isolators[1:] {
					node.Owner = func(string) messenger.EntryClient { return owner }
					asked.Go(func() {
						reply, err := node.Suspect(context.Background(), &messenger.SuspectRequest{Fingerprint: "f", AskTrial: true})
						if err == nil && reply.GetTrialGranted() {
							granted <- time.Since(begin)
						}
					})
				}
				asked.Wait()
				c.Assert(granted, qt.HasLen, 1)
				c.Assert(<-granted <= tc.took, qt.IsTrue)
			})
		})
	}
}

// TestDeadOwnerEndsTrials guards against a suspect request that gets no permit because the
// owner of its shard does not answer any more.
func TestDeadOwnerEndsTrials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		n := newNetwork(2)
		n.sendRequest(c, 1, "f", "vm-1", true)
		owner := &pausedOwner{isolator: n.isolators[0], until: time.Now().Add(time.Hour)}
		n.isolators[1].Owner = func(string) messenger.EntryClient { return owner }
		begin := time.Now()
		reply, err := n.isolators[1].Suspect(context.Background(), &messenger.SuspectRequest{Fingerprint: "f", AskTrial: true})
		c.Assert(err, qt.IsNil)
		c.Assert(reply.GetTrialGranted(), qt.IsTrue)
		c.Assert(time.Since(begin) < 5*time.Second, qt.IsTrue)
	})
}
