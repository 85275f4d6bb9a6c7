package controller

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// prepareAgain is the time after which a prepare order is repeated when the
// agent does not report the transfer, or reports an error. An agent ends a
// transfer that its store refused, and starts it again only when ordered.
const prepareAgain = 10 * time.Second

// input is what one decision about a fleet depends on.
type input struct {
	set      *parser.Set
	fleet    *parser.Fleet
	target   *parser.ModelVersion
	rollout  *parser.Rollout
	members  []Replica
	prepared map[preparedKey]preparation
	ordered  map[string]orderState
	now      time.Time
}

// action is what an order asks of an agent.
type action interface {
	action()
}

type prepareAction struct {
	version *parser.ModelVersion
	policy  string
	peers   []*messenger.Peer
}

type activateAction struct {
	version *parser.ModelVersion
}

type dropAction struct {
	digest string
}

type adapterAction struct {
	adapter *parser.Adapter
	model   string
}

func (prepareAction) action()  {}
func (activateAction) action() {}
func (dropAction) action()     {}
func (adapterAction) action()  {}

// order is one decision for one VM.
type order struct {
	vm           string
	address      string
	incarnation  string
	subject      string
	reason       string
	alternatives []string
	action       action
	preparation  preparation
	// serving is set when the VM serves another version until it switches.
	serving bool
}

// Kinds of activations in progress. Only a switch takes capacity away.
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

// decide returns the orders that bring the fleet closer to its target. At
// most one order per VM is in progress.
func decide(in input) []order {
	members := slices.Clone(in.members)
	slices.SortFunc(members, compareVM)
	peers := peersOf(members)
	var orders []order
	var waiting []Replica
	for _, m := range members {
		if m.Suspect || in.isOrdered(m) || m.Replica.GetState() == messenger.ReplicaState_REPLICA_STATE_DRAINING {
			continue
		}
		target := in.targetOf(m)
		if target == nil {
			continue
		}
		if m.Replica.GetVersion() == target.Digest {
			if o, ok := in.followUp(m, target, peers); ok {
				orders = append(orders, o)
			}
			continue
		}
		if transferOf(m, target.Digest).GetComplete() {
			waiting = append(waiting, m)
			continue
		}
		// A superseded transfer would take bandwidth and memory from the one
		// that is wanted now.
		if o, ok := in.drop(m, target); ok {
			orders = append(orders, o)
			continue
		}
		if o, ok := in.prepare(m, target, peers); ok {
			orders = append(orders, o)
		}
	}
	return append(orders, in.activate(members, waiting)...)
}

func (in input) isOrdered(m Replica) bool {
	_, ordered := in.ordered[m.Replica.GetVm()]
	return ordered
}

// version is the digest that an activation leads to; empty for other orders.
func (o order) version() string {
	if a, ok := o.action.(activateAction); ok {
		return a.version.Digest
	}
	return ""
}

// targetOf returns the version that a replica is to run. While a rollout is
// paused, replicas keep what they run, and new ones take the fleet's own
// version.
func (in input) targetOf(m Replica) *parser.ModelVersion {
	if in.rollout == nil || in.rollout.State != parser.RolloutPaused {
		return in.target
	}
	if m.Replica.GetVersion() == "" {
		return in.set.ModelVersions[in.fleet.Version]
	}
	return nil
}

// prepare orders the transfer, again when the peers have changed or the agent
// has lost it.
func (in input) prepare(m Replica, target *parser.ModelVersion, peers []*messenger.Peer) (order, bool) {
	vm := m.Replica.GetVm()
	wanted := preparation{
		digest:      target.Digest,
		incarnation: m.Replica.GetIncarnation(),
		peers:       hashPeers(peers),
		at:          in.now,
	}
	last, ordered := in.prepared[preparedKey{vm, target.Digest}]
	reason := "version wanted"
	switch {
	case !ordered || last.incarnation != wanted.incarnation:
	case last.peers != wanted.peers:
		reason = "peers changed"
	case in.now.Sub(last.at) <= prepareAgain:
		return order{}, false
	case transferOf(m, target.Digest) == nil:
		reason = "transfer not reported"
	case transferOf(m, target.Digest).GetError() != "":
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
		preparation: wanted,
	}, true
}

// activate chooses which of the waiting replicas switch now. Replicas that
// serve no version yet cost no capacity and switch at once. The others switch
// while fewer than max-unavailable of the serving replicas are away, those of
// the failure domain with the fewest away first.
func (in input) activate(members, waiting []Replica) []order {
	budget := in.maxUnavailable()
	away := map[string]int{}
	for _, m := range members {
		if in.isAway(m) {
			budget--
			away[m.Replica.GetFailureDomain()]++
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
			if away[m.Replica.GetFailureDomain()] < away[serving[next].Replica.GetFailureDomain()] {
				next = i
			}
		}
		chosen := serving[next]
		serving = slices.Delete(serving, next, next+1)
		away[chosen.Replica.GetFailureDomain()]++
		budget--
		orders = append(orders, in.activateOrder(chosen, "transfer complete and capacity to spare", namesOf(serving)))
	}
	return orders
}

func (in input) activateOrder(m Replica, reason string, alternatives []string) order {
	target := in.targetOf(m)
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

// followUp frees versions that are no longer needed and loads adapters.
func (in input) followUp(m Replica, target *parser.ModelVersion, peers []*messenger.Peer) (order, bool) {
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
		if !transferOf(m, a.Digest).GetComplete() {
			if prepare, ok := in.prepare(m, adapterVersion(a, target.Model), peers); ok {
				return prepare, true
			}
			continue
		}
		o.subject, o.reason = name, "adapter of the fleet"
		o.action = adapterAction{adapter: a, model: target.Model}
		return o, true
	}
	return in.drop(m, target)
}

// drop frees a version that is neither wanted nor needed, nor the one that the
// replica runs: its engine may restart empty and need it again. The replica
// reports no version meanwhile, so that each complete one may be it.
func (in input) drop(m Replica, target *parser.ModelVersion) (order, bool) {
	for _, t := range m.Transfers {
		digest := t.GetDigest()
		if digest == target.Digest || digest == m.Replica.GetVersion() || in.isNeeded(digest) {
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

// isNeeded keeps the version to return to, and adapters.
func (in input) isNeeded(digest string) bool {
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

// isAway reports a replica that serves a version in normal times and is not
// available now. A replica that lost its version in a failed order counts too:
// a version that crashes engines would else take all replicas, one by one.
func (in input) isAway(m Replica) bool {
	if m.Replica.GetVersion() == "" && m.LastOrderError != "" {
		return true
	}
	switch in.ordered[m.Replica.GetVm()].kind {
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

// adapterVersion describes an adapter for its transfer, which is that of a
// small version.
func adapterVersion(a *parser.Adapter, model string) *parser.ModelVersion {
	return &parser.ModelVersion{Name: a.Name, Model: model, Digest: a.Digest, Source: a.Source, SizeBytes: a.SizeBytes}
}

func (in input) maxUnavailable() int {
	if in.rollout != nil && in.rollout.MaxUnavailable > 0 {
		return in.rollout.MaxUnavailable
	}
	return max(in.fleet.MaxUnavailable, 1)
}

func transferOf(m Replica, digest string) *messenger.Transfer {
	for _, t := range m.Transfers {
		if t.GetDigest() == digest {
			return t
		}
	}
	return nil
}

func peersOf(members []Replica) []*messenger.Peer {
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

func namesOf(replicas []Replica) []string {
	names := make([]string, 0, len(replicas))
	for _, m := range replicas {
		names = append(names, m.Replica.GetVm())
	}
	return names
}

func compareVM(a, b Replica) int {
	return cmp.Compare(a.Replica.GetVm(), b.Replica.GetVm())
}
