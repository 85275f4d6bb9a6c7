package test

import (
	"context"
	"encoding/json"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/lentilbridge/lentilbridge/internal/coordination/controller"
	"github.com/lentilbridge/lentilbridge/pkg/leaser"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// leaseRecord is the part of a lease object that tests read.
type leaseRecord struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
}

// readLease returns the lease of a shard, or the zero value if it cannot be
// read.
func (s *system) readLease(shard string) (r leaseRecord) {
	object, err := s.api.Get(context.Background(), leaser.Prefix+shard)
	if err == nil {
		err = json.Unmarshal(object.Value, &r)
	}
	if err != nil {
		return leaseRecord{}
	}
	return r
}

// sendActivateOrder orders the agent of engine VM k to activate a version, with
// the given fencing epoch.
func (s *system) sendActivateOrder(k int, fence *messenger.Fence, version string) *messenger.OrderReply {
	conn, err := grpc.NewClient("passthrough:///"+s.engineIP(k)+":9090", grpc.WithTransportCredentials(insecure.NewCredentials()))
	s.c.Assert(err, qt.IsNil)
	defer conn.Close()
	v := s.set.ModelVersions[version]
	reply, err := messenger.NewAgentClient(conn).Order(context.Background(), &messenger.OrderRequest{
		Fence: fence,
		Order: &messenger.OrderRequest_Activate{Activate: &messenger.ActivateOrder{Version: &messenger.VersionRef{
			Model: v.Model, Name: v.Name, Digest: v.Digest, Source: v.Source, SizeBytes: uint64(v.SizeBytes),
		}}},
	})
	s.c.Assert(err, qt.IsNil)
	return reply
}

// Guards against an agent that carries out an order of a former holder of a
// rollout shard: the holder is paused beyond the end of its lease, another
// daemon takes over, and the former holder resumes and sends the order that it
// was about to send. If the engine ignores fencing epochs, only the agent can
// refuse the order.
func TestOrderOfFormerHolderIsRefused(t *testing.T) {
	tests := []struct {
		name       string
		engineArgs []string
	}{
		{"engine checks epochs", nil},
		{"engine ignores epochs", []string{"--ignore-epoch"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := &system{Entries: 2, Engines: 1, EngineArgs: test.engineArgs}
			s.start(t)
			shard := controller.ShardOf("drafting")
			former := s.readLease(shard)
			entries := []string{entryName(0), entryName(1)}
			c.Assert(entries, qt.Contains, former.Holder)
			other := 1 - slices.Index(entries, former.Holder)
			s.freeze(s.process(former.Holder))
			s.rollOut("v2")
			s.waitUntil("another daemon took over and rolled out", func() bool { return s.engineRuns(0, "v2") })
			c.Assert(s.readLease(shard).Epoch > former.Epoch, qt.IsTrue)

			reply := s.sendActivateOrder(0, &messenger.Fence{Shard: shard, Epoch: former.Epoch}, "v1")
			c.Check(reply.GetAccepted(), qt.IsFalse)
			c.Check(reply.GetHighestEpoch(), qt.Equals, s.readLease(shard).Epoch)

			s.resume(s.process(former.Holder))
			s.waitUntil("the former holder routes again", func() bool {
				text, _ := textOf(s.postCompletion(1-other, "awake", 4, false, 1))
				return text == s.expectedText("v2", "awake", 4, 1)
			})
			s.waitUntil("the former holder knows the newer revision", func() bool {
				return s.revisionOf(former.Holder) >= s.revisionOf(entryName(other)) && s.revisionOf(former.Holder) > 1
			})
			c.Check(s.engineRuns(0, "v2"), qt.IsTrue)
			c.Check(s.readLease(shard).Epoch > former.Epoch, qt.IsTrue)
			text, _ := textOf(s.postCompletion(other, "after", 4, false, 1))
			c.Check(text, qt.Equals, s.expectedText("v2", "after", 4, 1))
		})
	}
}

// revisionOf returns the revision that a daemon reports to have in force, or 0.
func (s *system) revisionOf(vm string) uint64 {
	for _, d := range s.statuses() {
		if d.VM == vm {
			return d.Revision
		}
	}
	return 0
}
