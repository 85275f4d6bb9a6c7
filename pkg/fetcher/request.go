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

// request fetches and verifies one chunk.
type request struct {
	transfer *Transfer
	spec     planner.Request
	// client is nil for a request to the origin.
	client  messenger.ChunksClient
	timeout time.Duration
	// ctx ends when another request has delivered the chunk or the transfer ends.
	ctx    context.Context
	cancel context.CancelFunc
}

func (t *Transfer) startRequest(ctx context.Context, spec planner.Request) {
	r := &request{transfer: t, spec: spec, timeout: t.plan.Timeout(spec)}
	if spec.Kind != planner.FromOrigin {
		r.client = t.watches[spec.VM].client
	}
	r.ctx, r.cancel = context.WithCancel(ctx)
	t.requests[spec.Chunk] = append(t.requests[spec.Chunk], r)
	t.logRequest(spec)
	t.wg.Add(1)
	go r.run(ctx)
}

// logRequest logs a request to the origin or to another region as a decision, and a
// request to a peer of this region at debug level.
func (t *Transfer) logRequest(spec planner.Request) {
	if spec.Kind == planner.FromPeer {
		t.Log.Debug("chunk requested", zap.Int("chunk", spec.Chunk), zap.String("from", spec.VM), zap.String("reason", spec.Reason))
		return
	}
	kind, chosen := "import", "origin"
	if spec.Reason == planner.ReasonTakeover {
		kind = "takeover"
	}
	if spec.Kind == planner.AcrossRegions {
		chosen = spec.VM
	}
	logger.LogDecision(t.Log, logger.Decision{
		Kind:         kind,
		Subject:      t.digest,
		Chosen:       chosen,
		Reason:       spec.Reason,
		Alternatives: spec.Alternatives,
	}, zap.Int("chunk", spec.Chunk))
}

// run fetches and verifies the chunk and sends the outcome to the event loop unless
// ctx, the context of the whole transfer, ends.
func (r *request) run(ctx context.Context) {
	defer r.transfer.wg.Done()
	defer r.cancel()
	outcome := requestFinished{request: r}
	var data []byte
	data, outcome.result, outcome.err = r.fetch()
	if outcome.result == planner.Done {
		outcome.chunk, outcome.err = verifier.VerifyChunk(r.transfer.manifest, r.spec.Chunk, data)
		if outcome.err != nil {
			outcome.result = planner.Corrupt
		}
	}
	select {
	case r.transfer.events <- outcome:
	case <-ctx.Done():
	}
}

// fetch waits for the limiter and then reads the chunk. The timeout covers only the
// read, because a wait for the limiter is not a failure of the sender.
func (r *request) fetch() ([]byte, planner.Result, error) {
	length := r.transfer.manifest.ChunkBytes(r.spec.Chunk)
	if err := r.waitForLimiter(int(length)); err != nil {
		return nil, r.failureResult(), err
	}
	ctx, cancel := context.WithTimeout(r.ctx, r.timeout)
	defer cancel()
	if r.spec.Kind == planner.FromOrigin {
		return r.fetchFromOrigin(ctx, length)
	}
	return r.fetchFromPeer(ctx)
}

// waitForLimiter waits until the chunk may be transferred.
func (r *request) waitForLimiter(length int) error {
	l := r.transfer.Limiter
	if r.transfer.ImportsFirst && r.spec.Kind == planner.FromOrigin {
		l.Charge(limiter.Download, length)
		return r.ctx.Err()
	}
	return l.Wait(r.ctx, limiter.Download, length)
}

func (r *request) fetchFromOrigin(ctx context.Context, length int64) ([]byte, planner.Result, error) {
	t := r.transfer
	data, err := t.Source.ReadRange(ctx, t.Version.GetSource(), t.manifest.ChunkOffset(r.spec.Chunk), length)
	if err != nil {
		return nil, r.failureResult(), err
	}
	return data, planner.Done, nil
}

func (r *request) fetchFromPeer(ctx context.Context) ([]byte, planner.Result, error) {
	reply, err := r.client.Get(ctx, &messenger.ChunkRequest{
		Digest:        r.transfer.digest,
		Index:         uint32(r.spec.Chunk),
		Vm:            r.transfer.Self.GetVm(),
		AcrossRegions: r.spec.Kind == planner.AcrossRegions,
	})
	switch {
	case err != nil:
		return nil, r.failureResult(), err
	case reply.GetBusy():
		return nil, planner.Busy, nil
	case reply.GetMissing():
		return nil, planner.Missing, nil
	}
	return reply.GetData(), planner.Done, nil
}

// failureResult returns Cancelled if the request was canceled because the chunk is no
// longer needed, and Failed otherwise.
func (r *request) failureResult() planner.Result {
	if r.ctx.Err() != nil {
		return planner.Cancelled
	}
	return planner.Failed
}

// handleFinished stores a verified chunk, cancels the other requests for it and
// reports the outcome to the planner.
func (t *Transfer) handleFinished(e requestFinished) error {
	spec := e.request.spec
	t.removeRequest(e.request)
	if e.result == planner.Done {
		if _, err := t.Store.AddChunk(t.digest, e.chunk); err != nil {
			return err
		}
		t.cancelRequests(spec.Chunk)
	}
	now := t.Clock()
	t.plan.Finish(spec, e.result, now)
	t.updateProgress(e)
	t.logAvoided()
	if e.err != nil && spec.Kind != planner.FromPeer && e.result != planner.Cancelled {
		t.Log.Warn("import failed", zap.Int("chunk", spec.Chunk), zap.String("from", spec.VM), zap.Error(e.err))
	}
	return nil
}

// logAvoided logs the peers that the planner has begun to avoid.
func (t *Transfer) logAvoided() {
	for _, peer := range t.plan.Avoided() {
		logger.LogDecision(t.Log, logger.Decision{
			Kind:    "avoid",
			Subject: t.digest,
			Chosen:  peer.VM,
			Reason:  "sent corrupt chunks",
		}, zap.Time("until", peer.Until))
	}
}

func (t *Transfer) updateProgress(e requestFinished) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := &t.progress
	switch e.result {
	case planner.Corrupt:
		p.CorruptChunks++
		p.Error = e.err.Error()
	case planner.Failed:
		if e.request.spec.Kind != planner.FromPeer {
			p.Error = e.err.Error()
		}
	case planner.Done:
		n := uint64(len(e.chunk.Data()))
		switch e.request.spec.Kind {
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

// removeRequest removes a request from those in flight.
func (t *Transfer) removeRequest(r *request) {
	remaining := slices.DeleteFunc(t.requests[r.spec.Chunk], func(other *request) bool { return other == r })
	if len(remaining) == 0 {
		delete(t.requests, r.spec.Chunk)
		return
	}
	t.requests[r.spec.Chunk] = remaining
}

// cancelRequests cancels all requests in flight for a chunk.
func (t *Transfer) cancelRequests(chunk int) {
	for _, r := range t.requests[chunk] {
		r.cancel()
	}
}
