// Package controller rolls out the model versions that the configuration
// specifies to fleets. Under the lease of a rollout shard it sends orders to
// agents: first to transfer the weights, then to activate the version in waves
// limited by max-unavailable.
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
	// ShardCount is the number of rollout shards. Each fleet belongs to one shard.
	ShardCount = 4
	// DefaultInterval is the default time between two reconciliations.
	DefaultInterval = 200 * time.Millisecond

	// shortOrderTimeout limits orders that the agent only has to accept.
	shortOrderTimeout = 5 * time.Second
	// activateTimeout limits activations and adapter loads. It includes the time to
	// drain streams in progress.
	activateTimeout = 15 * time.Minute
	// maxReportDelay is the time that a report may take through the relays to this
	// daemon.
	maxReportDelay = 3 * time.Second
	// takeoverDelay is the time that a new holder of a shard waits for reports
	// before it acts, so that a replica that has not reported yet is not taken
	// for one that is gone.
	takeoverDelay = 3 * time.Second
)

// Replica is the reported state of one replica.
type Replica struct {
	Replica   *messenger.Replica
	Transfers []*messenger.Transfer
	// Suspect is set while reports of the agent are overdue, so that it may be down.
	Suspect bool
	// LastOrderError is the error of the last order that the agent failed to carry
	// out; empty after a success.
	LastOrderError string
}

// Controller drives the fleets of the rollout shards that this daemon holds.
type Controller struct {
	// API stores the status of rollouts.
	API adapter.ObjectAPI
	// Held returns the lease of a shard and whether this daemon holds it.
	Held func(shard string, now time.Time) (leaser.Lease, bool)
	// Config returns the configuration in force, or nil if there is none yet.
	Config func() *parser.Revision
	// Replicas returns the reported state of all replicas.
	Replicas func(now time.Time) []Replica
	// Agent returns a client for the agent at an address.
	Agent func(address string) (messenger.AgentClient, error)
	// OriginRegion is the region of the weight source.
	OriginRegion string
	// MaxRateBytesPerSecond limits the transfer rate of each VM. With 0 the
	// agent sets the limit.
	MaxRateBytesPerSecond uint64
	Interval              time.Duration
	Now                   func() time.Time
	Log                   *logger.Logger

	mu     sync.Mutex
	fleets map[string]*fleetState
}

// fleetState is the rollout state of one fleet, kept while this daemon holds the lease
// of its shard.
type fleetState struct {
	epoch     uint64
	heldSince time.Time
	// prepared holds the last prepare order that was accepted for each version on
	// each VM.
	prepared map[preparedKey]preparation
	// pending holds the order in progress of each VM.
	pending map[string]pendingOrder
	// statuses holds a status writer for each rollout of the fleet, by name.
	statuses map[string]*statusWriter
}

// preparedKey identifies a version on a VM.
type preparedKey struct {
	vm     string
	digest string
}

// preparation describes the last prepare order that a VM accepted.
type preparation struct {
	digest      string
	incarnation string
	// peersHash is the hash of the peers in the order.
	peersHash uint64
	at        time.Time
}

// ShardName returns the name of a rollout shard, which is also the name of its lease.
func ShardName(n int) string {
	return fmt.Sprintf("rollouts-%d", n)
}

// ShardOf returns the shard of a fleet.
func ShardOf(fleet string) string {
	return ShardName(int(xxhash.Sum64String(fleet) % ShardCount))
}

// Run reconciles the fleets at each interval until ctx is canceled.
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
			c.reconcile(ctx, c.Now())
		}
	}
}

// reconcile reconciles each fleet whose shard this daemon holds.
func (c *Controller) reconcile(ctx context.Context, now time.Time) {
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
		state := c.stateFor(name, lease, held, now)
		if state == nil || now.Sub(state.heldSince) < takeoverDelay {
			continue
		}
		if members == nil {
			members = groupByFleet(c.Replicas(now))
		}
		c.reconcileFleet(ctx, revision.Set, f, members[name], state, lease, now)
	}
	c.removeDeletedFleets(revision.Set)
}

// stateFor returns the state of a fleet, or nil if this daemon does not hold its
// shard. A new epoch starts with an empty state, because another holder may have
// sent orders in between.
func (c *Controller) stateFor(name string, lease leaser.Lease, held bool, now time.Time) *fleetState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fleets == nil {
		c.fleets = map[string]*fleetState{}
	}
	if !held {
		delete(c.fleets, name)
		return nil
	}
	state := c.fleets[name]
	if state == nil || state.epoch != lease.Epoch {
		state = &fleetState{
			epoch:     lease.Epoch,
			heldSince: now,
			prepared:  map[preparedKey]preparation{},
			pending:   map[string]pendingOrder{},
			statuses:  map[string]*statusWriter{},
		}
		c.fleets[name] = state
	}
	return state
}

// reconcileFleet sends the orders that are due for one fleet and writes the status
// of its rollouts.
func (c *Controller) reconcileFleet(ctx context.Context, set *parser.Set, f *parser.Fleet, members []Replica, state *fleetState, lease leaser.Lease, now time.Time) {
	in := planInput{set: set, fleet: f, evacuated: set.EvacuatedDomains(), members: members, now: now}
	in.target, in.rollout = set.DesiredVersion(f.Name)
	c.mu.Lock()
	removeSettledOrders(state.pending, members, now)
	in.prepared, in.pending = state.prepared, state.pending
	orders := planOrders(in)
	for _, o := range orders {
		state.pending[o.vm] = pendingOrder{kind: o.kind(), version: o.activatedDigest(), versionName: o.subject, incarnation: o.incarnation}
	}
	c.mu.Unlock()
	for _, o := range orders {
		c.logOrder(o)
		sender := &orderSender{controller: c, order: o, fleet: state, lease: lease}
		go sender.run(ctx)
	}
	for _, r := range set.Rollouts {
		if r.Fleet == f.Name {
			c.writeStatus(ctx, in, r, state)
		}
	}
}

// writeStatus writes the status of one rollout. It includes aborted rollouts,
// whose replicas return to the version of the fleet.
func (c *Controller) writeStatus(ctx context.Context, in planInput, r *parser.Rollout, state *fleetState) {
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

// removeDeletedFleets discards the state of fleets that are no longer configured.
func (c *Controller) removeDeletedFleets(set *parser.Set) {
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

// orderSender sends one order to one agent.
type orderSender struct {
	controller *Controller
	order      order
	fleet      *fleetState
	lease      leaser.Lease
}

// run sends the order and records the result in the state of the fleet.
func (s *orderSender) run(ctx context.Context) {
	err := s.send(ctx)
	c := s.controller
	if err != nil {
		c.Log.Warn("order failed", zap.String("kind", s.order.kind()), zap.String("vm", s.order.vm), zap.Error(err))
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if pending := s.fleet.pending[s.order.vm]; err == nil && pending.version != "" {
		// The agent accepts an activation before it carries it out, so the order
		// stays pending until the reports of the agent show the result.
		pending.acceptedAt = c.Now()
		s.fleet.pending[s.order.vm] = pending
		return
	}
	delete(s.fleet.pending, s.order.vm)
	if err != nil {
		return
	}
	switch action := s.order.action.(type) {
	case prepareAction:
		s.fleet.prepared[preparedKey{s.order.vm, s.order.preparation.digest}] = s.order.preparation
	case dropAction:
		// The version may become the target again and then needs a new order.
		delete(s.fleet.prepared, preparedKey{s.order.vm, action.digest})
	}
}

// send sends the order if this daemon still holds the lease. It returns an error if
// the agent cannot be reached or refuses the order.
func (s *orderSender) send(ctx context.Context) error {
	c := s.controller
	client, err := c.Agent(s.order.address)
	if err != nil {
		return err
	}
	// The lease may have expired while the connection was set up.
	if lease, held := c.Held(s.lease.Shard, c.Now()); !held || lease.Epoch != s.lease.Epoch {
		return &LostLeaseError{Shard: s.lease.Shard, Epoch: s.lease.Epoch}
	}
	timeout := shortOrderTimeout
	switch s.order.action.(type) {
	case activateAction, adapterAction:
		timeout = activateTimeout
	}
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	message := s.order.message(c)
	message.Fence = &messenger.Fence{Shard: s.lease.Shard, Epoch: s.lease.Epoch}
	reply, err := client.Order(callCtx, message)
	if err != nil {
		return err
	}
	if !reply.GetAccepted() {
		return &RefusedOrderError{VM: s.order.vm, Reason: reply.GetError(), HighestEpoch: reply.GetHighestEpoch()}
	}
	return nil
}

// pendingOrder is an order in progress. The version is the digest of the version to
// activate, or empty for other orders. acceptedAt is set once the agent has accepted an
// activation.
type pendingOrder struct {
	kind        string
	version     string
	versionName string
	incarnation string
	acceptedAt  time.Time
}

// removeSettledOrders removes accepted activations whose result is known: the agent
// reports the version as active, or it has restarted or is gone. An agent that is
// not switching after maxReportDelay has failed to carry out the order or has lost it.
func removeSettledOrders(pending map[string]pendingOrder, members []Replica, now time.Time) {
	byVM := make(map[string]Replica, len(members))
	for _, m := range members {
		byVM[m.Replica.GetVm()] = m
	}
	for vm, o := range pending {
		if o.acceptedAt.IsZero() {
			continue
		}
		m, found := byVM[vm]
		state := m.Replica.GetState()
		waited := now.Sub(o.acceptedAt)
		switch {
		case !found, m.Replica.GetIncarnation() != o.incarnation:
		case m.Replica.GetVersion() == o.version && m.Replica.GetVersionName() == o.versionName && state == messenger.ReplicaState_REPLICA_STATE_READY:
		case waited > maxReportDelay && state != messenger.ReplicaState_REPLICA_STATE_SWITCHING:
		default:
			continue
		}
		delete(pending, vm)
	}
}

// LostLeaseError reports an order that was not sent because this daemon no longer
// holds the lease.
type LostLeaseError struct {
	Shard string
	Epoch uint64
}

func (e *LostLeaseError) Error() string {
	return fmt.Sprintf("lease %q with epoch %d is no longer held", e.Shard, e.Epoch)
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

// groupByFleet groups the replicas by fleet and leaves out those that are gone.
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
