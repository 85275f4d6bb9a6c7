package agent

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/guard"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// maxPendingOrders limits the queued orders to the engine.
const maxPendingOrders = 16

var (
	errNoEngine      = errors.New("the backend server runs no engine")
	errTooManyOrders = errors.New("too many orders are pending")
	errNoOrder       = errors.New("the order is empty")
)

// NotPreparedError reports an order for a version or adapter that is not
// complete and verified on this VM.
type NotPreparedError struct {
	Digest string
}

func (e *NotPreparedError) Error() string {
	return "version " + e.Digest + " is not complete and verified here"
}

// EvacuatedError reports a transfer or a load that is not begun because the failure
// domain is evacuated.
type EvacuatedError struct{}

func (*EvacuatedError) Error() string { return "the failure domain is evacuated" }

// admission controls whether attempts are admitted. Hold refuses new and waiting
// attempts and returns once none runs; Release ends the hold.
type admission interface {
	Hold(ctx context.Context) error
	Release()
}

// orders executes orders. Orders to the engine are queued and executed one at a
// time; their errors are part of the agent's reports, because the call of the
// sender ends when the order is accepted.
type orders struct {
	Weights      Weights
	Guard        *guard.Guard
	Engine       adapter.Engine
	Admission    admission
	DrainTimeout time.Duration
	// Evacuated reports whether the failure domain is evacuated. No transfer and no
	// load is begun then. It may be nil.
	Evacuated func() bool
	Log       *logger.Logger

	mu        sync.Mutex
	queue     []*pendingOrder
	current   *pendingOrder
	lastError string
	// sequence is incremented at the start and at the end of each order to the
	// engine, so it is odd while one is executed.
	sequence uint64
	wakeUp   chan struct{}
}

// pendingOrder is a queued order to the engine. Its request is nil for a
// restore.
type pendingOrder struct {
	request *messenger.OrderRequest
	cancel  context.CancelFunc
}

// Order implements messenger.AgentServer.
func (o *orders) Order(_ context.Context, req *messenger.OrderRequest) (*messenger.OrderReply, error) {
	err := o.accept(req)
	reply := &messenger.OrderReply{Accepted: err == nil, HighestEpoch: o.Guard.HighestEpoch(req.GetFence().GetShard())}
	if err != nil {
		reply.Error = err.Error()
		o.Log.Info("order refused", zap.String("shard", req.GetFence().GetShard()), zap.Uint64("epoch", req.GetFence().GetEpoch()), zap.Error(err))
	}
	return reply, nil
}

// accept checks the fence and executes the order, or enqueues it if it is an
// order to the engine.
func (o *orders) accept(req *messenger.OrderRequest) error {
	if o.Weights == nil {
		return errNoEngine
	}
	if err := o.Guard.Check(req.GetFence()); err != nil {
		return err
	}
	switch order := req.GetOrder().(type) {
	case *messenger.OrderRequest_Prepare:
		if err := o.checkEvacuation(); err != nil {
			return err
		}
		return o.Weights.Prepare(order.Prepare)
	case *messenger.OrderRequest_Drop:
		return o.Weights.Drop(order.Drop.GetDigest())
	case *messenger.OrderRequest_Activate:
		digest := order.Activate.GetVersion().GetDigest()
		if !o.Weights.Ready(digest) && !o.Weights.Prepared(digest) {
			return &NotPreparedError{Digest: digest}
		}
		if !o.Weights.Ready(digest) {
			if err := o.checkEvacuation(); err != nil {
				return err
			}
		}
		return o.enqueueActivate(&pendingOrder{request: req}, digest)
	case *messenger.OrderRequest_LoadAdapter:
		if err := o.checkEvacuation(); err != nil {
			return err
		}
	case nil:
		return errNoOrder
	}
	return o.enqueue(&pendingOrder{request: req})
}

// checkEvacuation returns an *EvacuatedError while the failure domain is evacuated.
func (o *orders) checkEvacuation() error {
	if o.Evacuated != nil && o.Evacuated() {
		return &EvacuatedError{}
	}
	return nil
}

// unlessEvacuated returns a function that loads into the engine unless the failure
// domain is evacuated. The order may have been accepted before.
func (o *orders) unlessEvacuated(load func(ctx context.Context) error) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		if err := o.checkEvacuation(); err != nil {
			return err
		}
		return load(ctx)
	}
}

// enqueueActivate enqueues an order to activate a version. It removes earlier
// ones from the queue and cancels a current one for another version, which may be
// waiting for running attempts to end.
func (o *orders) enqueueActivate(p *pendingOrder, digest string) error {
	o.mu.Lock()
	o.queue = slices.DeleteFunc(o.queue, func(queued *pendingOrder) bool { return queued.activatedDigest() != "" })
	if o.current != nil && o.current.activatedDigest() != "" && o.current.activatedDigest() != digest {
		o.current.cancel()
	}
	o.mu.Unlock()
	return o.enqueue(p)
}

func (o *orders) enqueue(p *pendingOrder) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) >= maxPendingOrders {
		return errTooManyOrders
	}
	o.queue = append(o.queue, p)
	o.wake()
	return nil
}

// enqueueRestore enqueues a restore of the active version, unless any order is
// queued or current, or the failure domain is evacuated. It reports whether it did.
func (o *orders) enqueueRestore() bool {
	if o.checkEvacuation() != nil {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) > 0 || o.current != nil {
		return false
	}
	o.queue = append(o.queue, &pendingOrder{})
	o.wake()
	return true
}

// wake wakes serve. The caller holds the lock.
func (o *orders) wake() {
	if o.wakeUp == nil {
		o.wakeUp = make(chan struct{}, 1)
	}
	select {
	case o.wakeUp <- struct{}{}:
	default:
	}
}

// serve executes the queued orders until ctx ends.
func (o *orders) serve(ctx context.Context) error {
	o.mu.Lock()
	o.wake()
	wakeUp := o.wakeUp
	o.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wakeUp:
		}
		for p := o.next(); p != nil; p = o.next() {
			o.execute(ctx, p)
		}
	}
}

func (o *orders) next() *pendingOrder {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.queue) == 0 {
		return nil
	}
	p := o.queue[0]
	o.queue = o.queue[1:]
	return p
}

func (o *orders) execute(ctx context.Context, p *pendingOrder) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.begin(p, cancel)
	err := o.apply(ctx, p)
	o.end(err)
	if err != nil {
		o.Log.Warn("order failed", zap.Stringer("order", p), zap.Error(err))
		return
	}
	o.Log.Info("order carried out", zap.Stringer("order", p))
}

func (o *orders) begin(p *pendingOrder, cancel context.CancelFunc) {
	o.mu.Lock()
	defer o.mu.Unlock()
	p.cancel = cancel
	o.current = p
	o.sequence++
}

func (o *orders) end(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.current = nil
	o.sequence++
	o.lastError = ""
	// An evacuation is not a failure of the version: a rollout counts these.
	var evacuated *EvacuatedError
	if err != nil && !errors.As(err, &evacuated) {
		o.lastError = err.Error()
	}
}

func (o *orders) apply(ctx context.Context, p *pendingOrder) error {
	if p.request == nil {
		restore := func(ctx context.Context) error { return o.Weights.Restore(ctx, o.Guard.Restore) }
		return o.whileIdle(ctx, nil, o.unlessEvacuated(restore))
	}
	fence := p.request.GetFence()
	apply := func(ctx context.Context, order adapter.EngineOrder) error { return o.Guard.Apply(ctx, fence, order) }
	switch order := p.request.GetOrder().(type) {
	case *messenger.OrderRequest_Activate:
		activate := func(ctx context.Context) error { return o.Weights.Activate(ctx, order.Activate, apply) }
		if o.Weights.Ready(order.Activate.GetVersion().GetDigest()) {
			return activate(ctx)
		}
		return o.whileIdle(ctx, fence, o.unlessEvacuated(activate))
	case *messenger.OrderRequest_Unload:
		return o.whileIdle(ctx, fence, func(ctx context.Context) error { return o.Weights.Unload(ctx, order.Unload, apply) })
	case *messenger.OrderRequest_LoadAdapter:
		load := func(ctx context.Context) error { return o.Weights.LoadAdapter(ctx, order.LoadAdapter, apply) }
		return o.unlessEvacuated(load)(ctx)
	case *messenger.OrderRequest_UnloadAdapter:
		return o.Weights.UnloadAdapter(ctx, order.UnloadAdapter, apply)
	case *messenger.OrderRequest_Role:
		return apply(ctx, adapter.SetRole{Role: order.Role.GetRole()})
	}
	return errNoOrder
}

// whileIdle waits until no attempt runs and then changes the engine, while no new
// attempt is admitted. It checks the fence again, because the sender of the order
// may have lost its lease while attempts were running. A restore has no fence.
func (o *orders) whileIdle(ctx context.Context, fence *messenger.Fence, change func(ctx context.Context) error) error {
	holdCtx, cancel := context.WithTimeout(ctx, o.DrainTimeout)
	defer cancel()
	defer o.Admission.Release()
	if err := o.Admission.Hold(holdCtx); err != nil {
		return err
	}
	if fence != nil {
		if err := o.Guard.Check(fence); err != nil {
			return err
		}
	}
	return change(ctx)
}

// status returns whether the engine is being switched, and the error of the last
// order to it.
func (o *orders) status() (switching bool, lastError string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.current != nil && o.current.isSwitch(), o.lastError
}

// currentSequence returns the sequence. A state of the engine that was read
// between two equal even values was not affected by an order.
func (o *orders) currentSequence() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sequence
}

// activatedDigest returns the digest of the version that the order activates,
// or an empty string.
func (p *pendingOrder) activatedDigest() string {
	return p.request.GetActivate().GetVersion().GetDigest()
}

func (p *pendingOrder) isSwitch() bool {
	return p.request == nil || p.request.GetActivate() != nil || p.request.GetUnload() != nil
}

func (p *pendingOrder) String() string {
	switch order := p.request.GetOrder().(type) {
	case *messenger.OrderRequest_Activate:
		return "activate " + order.Activate.GetVersion().GetDigest()
	case *messenger.OrderRequest_Unload:
		return "unload " + order.Unload.GetModel()
	case *messenger.OrderRequest_LoadAdapter:
		return "load adapter " + order.LoadAdapter.GetAdapter()
	case *messenger.OrderRequest_UnloadAdapter:
		return "unload adapter " + order.UnloadAdapter.GetAdapter()
	case *messenger.OrderRequest_Role:
		return "role " + order.Role.GetRole()
	}
	return "restore"
}
