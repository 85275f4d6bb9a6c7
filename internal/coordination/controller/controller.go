// Package controller brings fleets to the model versions that the
// configuration asks for. It gives orders to agents under the lease of a
// rollout shard: first the transfer of the weights, then the activation in
// waves bounded by spare capacity.
package controller

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/leaser"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	// ShardCount is the number of rollout shards. A fleet belongs to one.
	ShardCount = 4
	// DefaultInterval is the time between two rounds.
	DefaultInterval = 200 * time.Millisecond

	shortOrderTimeout = 5 * time.Second
	// activateTimeout covers the drain of streams that are in progress.
	activateTimeout = 15 * time.Minute
	// reportWait covers the way of a report through the relays to this daemon.
	reportWait = 3 * time.Second
	// takeoverDelay is the time that a new holder of a shard waits for reports
	// before it counts replicas, so that a replica that has not reported yet
	// is not mistaken for one that is gone.
	takeoverDelay = 3 * time.Second
)

// Replica is what is known of one replica.
type Replica struct {
	Replica        *messenger.Replica
	Transfers      []*messenger.Transfer
	Suspect        bool
	LastOrderError string
}

// Controller drives the fleets of the rollout shards that this daemon holds.
type Controller struct {
	API      adapter.ObjectAPI
	Held     func(shard string, now time.Time) (leaser.Lease, bool)
	Config   func() *parser.Revision
	Replicas func(now time.Time) []Replica
	Agent    func(address string) (messenger.AgentClient, error)
	// OriginRegion is the region of the weight source.
	OriginRegion string
	// MaxRateBytesPerSecond limits the transfer of each VM; 0 leaves it to the
	// agent.
	MaxRateBytesPerSecond uint64
	Interval              time.Duration
	Now                   func() time.Time
	Log                   *logger.Logger

	mu     sync.Mutex
	fleets map[string]*fleet
}

// fleet is the progress of one fleet at this holder of its shard.
type fleet struct {
	epoch     uint64
	heldSince time.Time
	prepared  map[preparedKey]preparation
	// ordered holds the VMs with an order in progress.
	ordered map[string]orderState
	// statuses holds the progress of each rollout of the fleet by name.
	statuses map[string]*statusWriter
}

// preparedKey names a version on a VM.
type preparedKey struct {
	vm     string
	digest string
}

// preparation is the last prepare order that a VM accepted.
type preparation struct {
	digest      string
	incarnation string
	peers       uint64
	at          time.Time
}

// ShardName returns the name of a rollout shard, which is also its lease.
func ShardName(n int) string {
	return fmt.Sprintf("rollouts-%d", n)
}

// ShardOf returns the shard of a fleet.
func ShardOf(fleet string) string {
	return ShardName(int(xxhash.Sum64String(fleet) % ShardCount))
}

// Run drives the fleets until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	interval := c.Interval
	if interval == 0 {
		interval = DefaultInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			c.round(ctx, c.Now())
		}
	}
}

// round decides about each fleet whose shard this daemon holds.
func (c *Controller) round(ctx context.Context, now time.Time) {
	revision := c.Config()
	if revision == nil || revision.Set == nil {
		return
	}
	var members map[string][]Replica
	for name, f := range revision.Set.Fleets {
		if f.Model == "" {
			continue
		}
		lease, held := c.Held(ShardOf(name), now)
		state := c.fleetState(name, lease, held, now)
		if state == nil || now.Sub(state.heldSince) < takeoverDelay {
			continue
		}
		if members == nil {
			members = groupByFleet(c.Replicas(now))
		}
		c.drive(ctx, revision.Set, f, members[name], state, lease, now)
	}
	c.forgetRemoved(revision.Set)
}

// fleetState returns the progress of a fleet, or nil when its shard is held
// by another daemon. A new epoch starts from nothing, because another holder
// may have given orders in between.
func (c *Controller) fleetState(name string, lease leaser.Lease, held bool, now time.Time) *fleet {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fleets == nil {
		c.fleets = map[string]*fleet{}
	}
	if !held {
		delete(c.fleets, name)
		return nil
	}
	state := c.fleets[name]
	if state == nil || state.epoch != lease.Epoch {
		state = &fleet{
			epoch:     lease.Epoch,
			heldSince: now,
			prepared:  map[preparedKey]preparation{},
			ordered:   map[string]orderState{},
			statuses:  map[string]*statusWriter{},
		}
		c.fleets[name] = state
	}
	return state
}

func (c *Controller) drive(ctx context.Context, set *parser.Set, f *parser.Fleet, members []Replica, state *fleet, lease leaser.Lease, now time.Time) {
	in := input{set: set, fleet: f, members: members, now: now}
	in.target, in.rollout = set.DesiredVersion(f.Name)
	c.mu.Lock()
	settleOrders(state.ordered, members, now)
	in.prepared, in.ordered = state.prepared, state.ordered
	orders := decide(in)
	for _, o := range orders {
		state.ordered[o.vm] = orderState{kind: o.kind(), version: o.version(), name: o.subject, incarnation: o.incarnation}
	}
	c.mu.Unlock()
	for _, o := range orders {
		c.logOrder(o)
		run := &orderRun{controller: c, order: o, fleet: state, lease: lease}
		go run.run(ctx)
	}
	for _, r := range set.Rollouts {
		if r.Fleet == f.Name {
			c.report(ctx, in, r, state)
		}
	}
}

// report writes the progress of one rollout, also of an aborted one whose
// replicas return to the fleet's own version.
func (c *Controller) report(ctx context.Context, in input, r *parser.Rollout, state *fleet) {
	in.rollout, in.target = r, in.set.ModelVersions[r.Version]
	if in.target == nil {
		return
	}
	w := state.statuses[r.Name]
	if w == nil {
		w = &statusWriter{}
		state.statuses[r.Name] = w
	}
	w.write(ctx, c, in, in.now)
}

func (c *Controller) forgetRemoved(set *parser.Set) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name := range c.fleets {
		if set.Fleets[name] == nil {
			delete(c.fleets, name)
		}
	}
}

func (c *Controller) logOrder(o order) {
	logger.LogDecision(c.Log, logger.Decision{
		Kind:         o.kind(),
		Subject:      o.subject,
		Chosen:       o.vm,
		Reason:       o.reason,
		Alternatives: o.alternatives,
	})
}

// orderRun gives one order to one agent.
type orderRun struct {
	controller *Controller
	order      order
	fleet      *fleet
	lease      leaser.Lease
}

func (r *orderRun) run(ctx context.Context) {
	err := r.send(ctx)
	c := r.controller
	if err != nil {
		c.Log.Warn("order failed", zap.String("kind", r.order.kind()), zap.String("vm", r.order.vm), zap.Error(err))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if pending := r.fleet.ordered[r.order.vm]; err == nil && pending.version != "" {
		// The agent carries out an activation after it has accepted it, so the
		// order stays in progress until the agent's reports show its result.
		pending.acceptedAt = c.Now()
		r.fleet.ordered[r.order.vm] = pending
		return
	}
	delete(r.fleet.ordered, r.order.vm)
	if err != nil {
		return
	}
	switch action := r.order.action.(type) {
	case prepareAction:
		r.fleet.prepared[preparedKey{r.order.vm, r.order.preparation.digest}] = r.order.preparation
	case dropAction:
		// The version may be wanted again.
		delete(r.fleet.prepared, preparedKey{r.order.vm, action.digest})
	}
}

func (r *orderRun) send(ctx context.Context) error {
	c := r.controller
	client, err := c.Agent(r.order.address)
	if err != nil {
		return err
	}
	// Dialing may have blocked past the end of the lease.
	if lease, held := c.Held(r.lease.Shard, c.Now()); !held || lease.Epoch != r.lease.Epoch {
		return &LostLeaseError{Shard: r.lease.Shard, Epoch: r.lease.Epoch}
	}
	timeout := shortOrderTimeout
	switch r.order.action.(type) {
	case activateAction, adapterAction:
		timeout = activateTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	message := r.order.message(c)
	message.Fence = &messenger.Fence{Shard: r.lease.Shard, Epoch: r.lease.Epoch}
	reply, err := client.Order(callCtx, message)
	if err != nil {
		return err
	}
	if !reply.GetAccepted() {
		return &RefusedOrderError{VM: r.order.vm, Reason: reply.GetError(), HighestEpoch: reply.GetHighestEpoch()}
	}
	return nil
}

// orderState is an order in progress. The version is set for activations.
type orderState struct {
	kind        string
	version     string
	name        string
	incarnation string
	acceptedAt  time.Time
}

// settleOrders forgets accepted activations whose result the agent reports:
// the version is active, the order failed, or the agent has started anew. An
// agent that neither switches nor fails within reportWait has lost the order.
func settleOrders(ordered map[string]orderState, members []Replica, now time.Time) {
	byVM := make(map[string]Replica, len(members))
	for _, m := range members {
		byVM[m.Replica.GetVm()] = m
	}
	for vm, o := range ordered {
		if o.acceptedAt.IsZero() {
			continue
		}
		m, found := byVM[vm]
		state := m.Replica.GetState()
		waited := now.Sub(o.acceptedAt)
		switch {
		case !found, m.Replica.GetIncarnation() != o.incarnation:
		case m.Replica.GetVersion() == o.version && m.Replica.GetVersionName() == o.name && state == messenger.ReplicaState_REPLICA_STATE_READY:
		case waited > reportWait && state != messenger.ReplicaState_REPLICA_STATE_SWITCHING:
		default:
			continue
		}
		delete(ordered, vm)
	}
}

// LostLeaseError reports an order that was not sent because its lease ended.
type LostLeaseError struct {
	Shard string
	Epoch uint64
}

func (e *LostLeaseError) Error() string {
	return fmt.Sprintf("lease %q with epoch %d has ended", e.Shard, e.Epoch)
}

// RefusedOrderError reports an order that the agent refused.
type RefusedOrderError struct {
	VM           string
	Reason       string
	HighestEpoch uint64
}

func (e *RefusedOrderError) Error() string {
	return fmt.Sprintf("VM %q refused the order: %s (highest epoch %d)", e.VM, e.Reason, e.HighestEpoch)
}

func groupByFleet(replicas []Replica) map[string][]Replica {
	groups := map[string][]Replica{}
	for _, r := range replicas {
		if r.Replica.GetState() == messenger.ReplicaState_REPLICA_STATE_GONE {
			continue
		}
		name := r.Replica.GetFleet()
		groups[name] = append(groups[name], r)
	}
	return groups
}
