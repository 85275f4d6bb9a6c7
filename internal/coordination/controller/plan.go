package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// prepareRetryInterval is the time after which a prepare order is sent again if the
// agent does not report the transfer or reports an error. An agent ends a
// transfer that its store refused and starts it again only on a new order.
const prepareRetryInterval = 10 * time.Second

// planInput holds the state of a fleet from which its orders are computed.
type planInput struct {
	set   *parser.Set
	fleet *parser.Fleet
	// target is the version that the fleet should serve.
	target *parser.ModelVersion
	// rollout is the rollout to the target version, or nil if there is none.
	rollout *parser.Rollout
	// evacuated holds the evacuated failure domains. Their replicas get no orders and
	// are not waited for.
	evacuated map[string]bool
	members   []Replica
	prepared  map[preparedKey]preparation
	pending   map[string]pendingOrder
	now       time.Time
}

// action is the operation that an order requests from an agent.
type action interface {
	action()
}

// prepareAction transfers a version to the VM.
type prepareAction struct {
	version *parser.ModelVersion
	policy  string
	peers   []*messenger.Peer
}

// activateAction makes the engine serve a transferred version.
type activateAction struct {
	version *parser.ModelVersion
}

// dropAction deletes a version from the VM.
type dropAction struct {
	digest string
}

// adapterAction loads a transferred adapter into the engine.
type adapterAction struct {
	adapter *parser.Adapter
	model   string
}

func (prepareAction) action()  {}
func (activateAction) action() {}
func (dropAction) action()     {}
func (adapterAction) action()  {}

// order is an order to the agent on one VM.
type order struct {
	vm          string
	address     string
	incarnation string
	// subject is the name or digest of the version, or the name of the adapter.
	subject string
	// reason and alternatives are logged with the order.
	reason       string
	alternatives []string
	action       action
	// preparation is set for prepare orders.
	preparation preparation
	// serving is set if the VM serves another version until it switches.
	serving bool
}

// Kinds of activations. Only a switch makes a serving replica unavailable.
const (
	kindActivate = "activate"
	kindSwitch   = "switch"
)

func (o order) kind() string {
	switch o.action.(type) {
	case prepareAction:
		return "prepare"
	case activateAction:
		if o.serving {
			return kindSwitch
		}
		return kindActivate
	case dropAction:
		return "drop"
	case adapterAction:
		return "load-adapter"
	}
	return "order"
}

// planOrders returns the orders that bring the fleet closer to its target version.
// VMs with a pending order get no other one.
func planOrders(in planInput) []order {
	members := slices.Clone(in.members)
	slices.SortFunc(members, compareVM)
	peers := peersFrom(members)
	var orders []order
	var waiting []Replica
	for _, m := range members {
		if m.Suspect || in.isEvacuated(m) || in.hasPendingOrder(m) || m.Replica.GetState() == messenger.ReplicaState_REPLICA_STATE_DRAINING {
			continue
		}
		target := in.targetVersion(m)
		if target == nil {
			continue
		}
		if m.Replica.GetVersion() == target.Digest {
			if o, ok := in.maintenanceOrder(m, target, peers); ok {
				orders = append(orders, o)
			}
			continue
		}
		if findTransfer(m, target.Digest).GetComplete() {
			waiting = append(waiting, m)
			continue
		}
		// A superseded transfer would compete for bandwidth and memory with the
		// transfer of the target version.
		if o, ok := in.dropOrder(m, target); ok {
			orders = append(orders, o)
			continue
		}
		if o, ok := in.prepareOrder(m, target, peers); ok {
			orders = append(orders, o)
		}
	}
	return append(orders, in.activationOrders(members, waiting)...)
}

func (in planInput) isEvacuated(m Replica) bool {
	return in.evacuated[m.Replica.GetFailureDomain()]
}

func (in planInput) hasPendingOrder(m Replica) bool {
	_, found := in.pending[m.Replica.GetVm()]
	return found
}

// activatedDigest returns the digest of the version that an activation activates,
// or an empty string for other orders.
func (o order) activatedDigest() string {
	if a, ok := o.action.(activateAction); ok {
		return a.version.Digest
	}
	return ""
}

// targetVersion returns the version that a replica should serve, or nil if it
// should keep its version. While a rollout is paused, replicas keep their version,
// and new replicas get the version of the fleet.
func (in planInput) targetVersion(m Replica) *parser.ModelVersion {
	if in.rollout == nil || in.rollout.State != parser.RolloutPaused {
		return in.target
	}
	if m.Replica.GetVersion() == "" {
		return in.set.ModelVersions[in.fleet.Version]
	}
	return nil
}

// prepareOrder returns an order to transfer a version. The order is sent again if the
// peers have changed, the agent has restarted, or the transfer is missing or has
// failed.
func (in planInput) prepareOrder(m Replica, target *parser.ModelVersion, peers []*messenger.Peer) (order, bool) {
	vm := m.Replica.GetVm()
	current := preparation{
		digest:      target.Digest,
		incarnation: m.Replica.GetIncarnation(),
		peersHash:   hashPeers(peers),
		at:          in.now,
	}
	last, found := in.prepared[preparedKey{vm, target.Digest}]
	reason := "version wanted"
	switch {
	case !found || last.incarnation != current.incarnation:
	case last.peersHash != current.peersHash:
		reason = "peers changed"
	case in.now.Sub(last.at) <= prepareRetryInterval:
		return order{}, false
	case findTransfer(m, target.Digest) == nil:
		reason = "transfer not reported"
	case findTransfer(m, target.Digest).GetError() != "":
		reason = "transfer failed"
	default:
		return order{}, false
	}
	policy := parser.PolicyTime
	if in.rollout != nil && in.rollout.Policy != "" {
		policy = in.rollout.Policy
	}
	return order{
		vm:          vm,
		address:     m.Replica.GetAddress(),
		incarnation: m.Replica.GetIncarnation(),
		subject:     target.Name,
		reason:      reason,
		action:      prepareAction{version: target, policy: policy, peers: peers},
		preparation: current,
	}, true
}

// activationOrders returns activations for the waiting replicas that may switch now.
// Replicas that serve no version yet are activated at once, because that takes no
// capacity away. The others switch as long as fewer than max-unavailable replicas
// are unavailable, starting in the failure domain with the fewest unavailable ones.
func (in planInput) activationOrders(members, waiting []Replica) []order {
	budget := in.maxUnavailable()
	unavailable := map[string]int{}
	for _, m := range members {
		if in.isUnavailable(m) {
			budget--
			unavailable[m.Replica.GetFailureDomain()]++
		}
	}
	serving := make([]Replica, 0, len(waiting))
	var orders []order
	for _, m := range waiting {
		if m.Replica.GetVersion() == "" {
			orders = append(orders, in.activateOrder(m, "serves no version yet", nil))
			continue
		}
		serving = append(serving, m)
	}
	for budget > 0 && len(serving) > 0 {
		next := 0
		for i, m := range serving {
			if unavailable[m.Replica.GetFailureDomain()] < unavailable[serving[next].Replica.GetFailureDomain()] {
				next = i
			}
		}
		chosen := serving[next]
		serving = slices.Delete(serving, next, next+1)
		unavailable[chosen.Replica.GetFailureDomain()]++
		budget--
		orders = append(orders, in.activateOrder(chosen, "transfer complete and capacity to spare", vmNames(serving)))
	}
	return orders
}

func (in planInput) activateOrder(m Replica, reason string, alternatives []string) order {
	target := in.targetVersion(m)
	return order{
		vm:           m.Replica.GetVm(),
		address:      m.Replica.GetAddress(),
		incarnation:  m.Replica.GetIncarnation(),
		subject:      target.Name,
		reason:       reason,
		alternatives: alternatives,
		action:       activateAction{version: target},
		serving:      m.Replica.GetVersion() != "",
	}
}

// maintenanceOrder returns the next order for a replica that serves its target version:
// to activate it under its new name, to load an adapter, or to drop a version.
func (in planInput) maintenanceOrder(m Replica, target *parser.ModelVersion, peers []*messenger.Peer) (order, bool) {
	o := order{vm: m.Replica.GetVm(), address: m.Replica.GetAddress(), incarnation: m.Replica.GetIncarnation()}
	if m.Replica.GetVersionName() != target.Name && m.Replica.GetState() == messenger.ReplicaState_REPLICA_STATE_READY {
		o.subject, o.reason = target.Name, "active under another name"
		o.action = activateAction{version: target}
		return o, true
	}
	for _, name := range in.fleet.Adapters {
		a := in.set.Adapters[name]
		if a == nil || a.Version != target.Name || slices.Contains(m.Replica.GetAdapters(), name) {
			continue
		}
		if !findTransfer(m, a.Digest).GetComplete() {
			if prepare, ok := in.prepareOrder(m, adapterVersion(a, target.Model), peers); ok {
				return prepare, true
			}
			continue
		}
		o.subject, o.reason = name, "adapter of the fleet"
		o.action = adapterAction{adapter: a, model: target.Model}
		return o, true
	}
	return in.dropOrder(m, target)
}

// dropOrder returns an order to drop a version that is neither the target, nor
// retained, nor served by the replica. The served version stays because an engine
// may restart without weights and need it again. During such a restart the replica
// reports no version, so all complete versions are kept.
func (in planInput) dropOrder(m Replica, target *parser.ModelVersion) (order, bool) {
	for _, t := range m.Transfers {
		digest := t.GetDigest()
		if digest == target.Digest || digest == m.Replica.GetVersion() || in.isRetained(digest) {
			continue
		}
		if m.Replica.GetVersion() == "" && t.GetComplete() {
			continue
		}
		return order{
			vm:          m.Replica.GetVm(),
			address:     m.Replica.GetAddress(),
			incarnation: m.Replica.GetIncarnation(),
			subject:     digest,
			reason:      "version not needed any more",
			action:      dropAction{digest: digest},
		}, true
	}
	return order{}, false
}

// isRetained reports whether the digest is that of an adapter of the fleet or, during
// a rollout, that of the version to which an aborted rollout returns.
func (in planInput) isRetained(digest string) bool {
	if own := in.set.ModelVersions[in.fleet.Version]; in.rollout != nil && own != nil && own.Digest == digest {
		return true
	}
	for _, name := range in.fleet.Adapters {
		if a := in.set.Adapters[name]; a != nil && a.Digest == digest {
			return true
		}
	}
	return false
}

// isUnavailable reports whether a replica counts against max-unavailable. The first
// activation of a new replica does not count. A replica that lost its version in a
// failed order does: otherwise a version that crashes engines would take down all
// replicas, one after the other. Replicas of an evacuated failure domain do not count,
// because they would stop the rollout of the others.
func (in planInput) isUnavailable(m Replica) bool {
	if in.isEvacuated(m) {
		return false
	}
	if m.Replica.GetVersion() == "" && m.LastOrderError != "" {
		return true
	}
	switch in.pending[m.Replica.GetVm()].kind {
	case kindSwitch:
		return true
	case kindActivate:
		return false
	}
	switch m.Replica.GetState() {
	case messenger.ReplicaState_REPLICA_STATE_SWITCHING, messenger.ReplicaState_REPLICA_STATE_DRAINING, messenger.ReplicaState_REPLICA_STATE_FAILED:
		return true
	}
	return m.Suspect
}

// adapterVersion describes an adapter as a model version, because both are
// transferred in the same way.
func adapterVersion(a *parser.Adapter, model string) *parser.ModelVersion {
	return &parser.ModelVersion{Name: a.Name, Model: model, Digest: a.Digest, Source: a.Source, SizeBytes: a.SizeBytes}
}

// maxUnavailable returns the limit of the rollout, or that of the fleet.
func (in planInput) maxUnavailable() int {
	if in.rollout != nil && in.rollout.MaxUnavailable > 0 {
		return in.rollout.MaxUnavailable
	}
	return max(in.fleet.MaxUnavailable, 1)
}

// findTransfer returns the transfer with the digest, or nil.
func findTransfer(m Replica, digest string) *messenger.Transfer {
	for _, t := range m.Transfers {
		if t.GetDigest() == digest {
			return t
		}
	}
	return nil
}

// peersFrom returns the members from which a version can be transferred.
func peersFrom(members []Replica) []*messenger.Peer {
	peers := make([]*messenger.Peer, 0, len(members))
	for _, m := range members {
		if m.Suspect {
			continue
		}
		peers = append(peers, &messenger.Peer{
			Vm:            m.Replica.GetVm(),
			Address:       m.Replica.GetAddress(),
			Region:        m.Replica.GetRegion(),
			FailureDomain: m.Replica.GetFailureDomain(),
		})
	}
	return peers
}

// hashPeers returns a hash by which a change of the peers is detected.
func hashPeers(peers []*messenger.Peer) uint64 {
	h := xxhash.New()
	for _, p := range peers {
		_, _ = h.WriteString(p.GetVm())
		_, _ = h.WriteString(" ")
		_, _ = h.WriteString(p.GetAddress())
		_, _ = h.WriteString("\n")
	}
	return h.Sum64()
}

func vmNames(replicas []Replica) []string {
	names := make([]string, 0, len(replicas))
	for _, m := range replicas {
		names = append(names, m.Replica.GetVm())
	}
	return names
}

func compareVM(a, b Replica) int {
	return cmp.Compare(a.Replica.GetVm(), b.Replica.GetVm())
}
