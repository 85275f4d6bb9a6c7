package fetcher

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/weights/planner"
	"github.com/lentilbridge/lentilbridge/pkg/limiter"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

// request reads and verifies one chunk.
type request struct {
	transfer *Transfer
	plan     planner.Request
	client   messenger.ChunksClient
	timeout  time.Duration
	ctx      context.Context
	cancel   context.CancelFunc
}

func (t *Transfer) startRequest(ctx context.Context, plan planner.Request) {
	r := &request{transfer: t, plan: plan, timeout: t.plan.Timeout(plan)}
	if plan.Kind != planner.FromOrigin {
		r.client = t.watches[plan.VM].client
	}
	r.ctx, r.cancel = context.WithCancel(ctx)
	t.cancels[plan.Chunk] = append(t.cancels[plan.Chunk], r)
	t.logRequest(plan)
	t.running.Add(1)
	go r.run(ctx)
}

func (t *Transfer) logRequest(plan planner.Request) {
	if plan.Kind == planner.FromPeer {
		t.Log.Debug("chunk requested", zap.Int("chunk", plan.Chunk), zap.String("from", plan.VM), zap.String("reason", plan.Reason))
		return
	}
	kind, chosen := "import", "origin"
	if plan.Reason == planner.ReasonTakeover {
		kind = "takeover"
	}
	if plan.Kind == planner.AcrossRegions {
		chosen = plan.VM
	}
	logger.LogDecision(t.Log, logger.Decision{
		Kind:         kind,
		Subject:      t.digest,
		Chosen:       chosen,
		Reason:       plan.Reason,
		Alternatives: plan.Alternatives,
	}, zap.Int("chunk", plan.Chunk))
}

// run delivers its outcome unless the whole transfer ends.
func (r *request) run(ctx context.Context) {
	defer r.transfer.running.Done()
	defer r.cancel()
	done := finished{request: r}
	var data []byte
	data, done.result, done.err = r.read()
	if done.result == planner.Done {
		done.chunk, done.err = verifier.Check(r.transfer.manifest, r.plan.Chunk, data)
		if done.err != nil {
			done.result = planner.Corrupt
		}
	}
	select {
	case r.transfer.events <- done:
	case <-ctx.Done():
	}
}

// read waits for the limiter and then reads the chunk. The timeout does not
// include the wait: a low rate is no fault of the sender.
func (r *request) read() ([]byte, planner.Result, error) {
	length := r.transfer.manifest.ChunkBytes(r.plan.Chunk)
	if err := r.transfer.Limiter.Wait(r.ctx, limiter.Download, int(length)); err != nil {
		return nil, r.failure(), err
	}
	ctx, cancel := context.WithTimeout(r.ctx, r.timeout)
	defer cancel()
	if r.plan.Kind == planner.FromOrigin {
		return r.readOrigin(ctx, length)
	}
	return r.readPeer(ctx)
}

func (r *request) readOrigin(ctx context.Context, length int64) ([]byte, planner.Result, error) {
	t := r.transfer
	data, err := t.Source.ReadRange(ctx, t.Version.GetSource(), t.manifest.ChunkOffset(r.plan.Chunk), length)
	if err != nil {
		return nil, r.failure(), err
	}
	return data, planner.Done, nil
}

func (r *request) readPeer(ctx context.Context) ([]byte, planner.Result, error) {
	reply, err := r.client.Get(ctx, &messenger.ChunkRequest{
		Digest:        r.transfer.digest,
		Index:         uint32(r.plan.Chunk),
		Vm:            r.transfer.Self.GetVm(),
		AcrossRegions: r.plan.Kind == planner.AcrossRegions,
	})
	switch {
	case err != nil:
		return nil, r.failure(), err
	case reply.GetBusy():
		return nil, planner.Busy, nil
	case reply.GetMissing():
		return nil, planner.Missing, nil
	}
	return reply.GetData(), planner.Done, nil
}

// failure tells a fault of the sender from a request that is not needed any
// more.
func (r *request) failure() planner.Result {
	if r.ctx.Err() != nil {
		return planner.Cancelled
	}
	return planner.Failed
}

// finishRequest stores a verified chunk and tells the plan about the outcome.
func (t *Transfer) finishRequest(e finished) error {
	plan := e.request.plan
	t.forget(e.request)
	if e.result == planner.Done {
		if _, err := t.Store.Add(t.digest, e.chunk); err != nil {
			return err
		}
		t.cancelOthers(plan.Chunk)
	}
	now := t.Clock()
	t.plan.Finish(plan, e.result, now)
	t.count(e)
	t.logAvoided()
	if e.err != nil && plan.Kind != planner.FromPeer && e.result != planner.Cancelled {
		t.Log.Warn("import failed", zap.Int("chunk", plan.Chunk), zap.String("from", plan.VM), zap.Error(e.err))
	}
	return nil
}

func (t *Transfer) logAvoided() {
	for _, a := range t.plan.Avoided() {
		logger.LogDecision(t.Log, logger.Decision{
			Kind:    "avoid",
			Subject: t.digest,
			Chosen:  a.VM,
			Reason:  "sent corrupt chunks",
		}, zap.Time("until", a.Until))
	}
}

func (t *Transfer) count(e finished) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := &t.progress
	switch e.result {
	case planner.Corrupt:
		p.CorruptChunks++
		p.Error = e.err.Error()
	case planner.Failed:
		if e.request.plan.Kind != planner.FromPeer {
			p.Error = e.err.Error()
		}
	case planner.Done:
		n := uint64(len(e.chunk.Data()))
		switch e.request.plan.Kind {
		case planner.FromOrigin:
			p.BytesFromOrigin += n
		case planner.AcrossRegions:
			p.BytesAcrossRegions += n
			p.BytesFromPeers += n
		case planner.FromPeer:
			p.BytesFromPeers += n
		}
		p.ChunksHeld = p.ChunksTotal - uint32(t.plan.MissingChunks())
	default:
	}
}

func (t *Transfer) forget(r *request) {
	rest := slices.DeleteFunc(t.cancels[r.plan.Chunk], func(other *request) bool { return other == r })
	if len(rest) == 0 {
		delete(t.cancels, r.plan.Chunk)
		return
	}
	t.cancels[r.plan.Chunk] = rest
}

func (t *Transfer) cancelOthers(chunk int) {
	for _, r := range t.cancels[chunk] {
		r.cancel()
	}
}
