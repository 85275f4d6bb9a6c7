package dispatcher

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/budgeter"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/internal/request/placer"
)

// departingSender calls a function after the first attempt has begun. It implements Sender.
type departingSender struct {
	scriptedSender
	after func()
}

func (s *departingSender) Send(ctx context.Context, a Attempt) Outcome {
	if len(s.sent) == 0 {
		s.after()
	}
	return s.scriptedSender.Send(ctx, a)
}

// TestWaitingRequestReachesLeavingReplica guards against requests that are sent to a replica
// that leaves or holds requests off since they were accepted: while they waited for a place,
// as a repeat, and as a resumed stream.
func TestWaitingRequestReachesLeavingReplica(t *testing.T) {
	leave := func(p *placer.Placer, list []placer.Replica) {
		list[0].Draining = true
		p.Update(list, time.Now())
	}
	holdOff := func(p *placer.Placer, list []placer.Replica) {
		p.HoldOff(list[0], time.Now().Add(5*time.Second), time.Now())
	}
	broken := streaming(errors.New("cut"), Batch{Data: []byte("id: 1\ndata: x\n\n"), LastID: "1"})
	tests := []struct {
		name     string
		kind     matcher.Kind
		outcomes []Outcome
		change   func(p *placer.Placer, list []placer.Replica)
		// waits makes the request wait for the only place of the replica.
		waits bool
		sends int
	}{
		{"waits while it begins to leave", matcher.Idempotent, nil, leave, true, 0},
		{"waits while it begins to hold off", matcher.Idempotent, nil, holdOff, true, 0},
		{"repeat", matcher.Idempotent, []Outcome{Lost{Cause: io.ErrUnexpectedEOF}}, leave, false, 1},
		{"repeat, held off", matcher.Idempotent, []Outcome{Lost{Cause: io.ErrUnexpectedEOF}}, holdOff, false, 1},
		{"resumed stream", matcher.Streaming, []Outcome{broken}, leave, false, 1},
		{"resumed stream, held off", matcher.Streaming, []Outcome{broken}, holdOff, false, 1},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := time.Now()
				sender := &departingSender{scriptedSender: scriptedSender{outcomes: tc.outcomes}, after: func() {}}
				d := newDispatcher(sender, budgeter.New(), now)
				list := []placer.Replica{{ID: "r1", Address: "r1", Service: "s", Slots: 1}, {ID: "r2", Address: "r2", Service: "s", Slots: 1}}
				if tc.waits {
					list = list[:1]
					d.Placer.Update(list, now)
					placed, err := d.Placer.Place(t.Context(), placer.Query{Service: "s"}, now)
					qt.Assert(t, err, qt.IsNil)
					time.AfterFunc(50*time.Millisecond, func() {
						tc.change(d.Placer, list)
						placed.Done(placer.Succeeded, time.Now())
					})
				} else {
					// The first attempt goes to the other replica.
					list[0].FailureDomain, list[1].FailureDomain = "b", "a"
					d.Placer.Update(list, now)
					sender.after = func() { tc.change(d.Placer, list) }
				}
				d.Dispatch(t.Context(), newRequest(tc.kind, true, 3, now), &recordingSink{})
				qt.Assert(t, sender.sent, qt.HasLen, tc.sends)
				for _, a := range sender.sent {
					qt.Assert(t, a.Replica.ID, qt.Equals, "r2")
				}
			})
		})
	}
}
