// Package gossiper exchanges state between daemons: membership, configuration
// revisions, the load of each replica, and replica states.
//
// Messages are UDP datagrams. Each message replaces the previous one, so lost
// messages need no retransmission, and no connection has to be monitored. A stream
// would deliver outdated loads late instead of dropping them.
//
// The traffic of a daemon must not grow with the fleet. Daemons that share replicas
// exchange their load at short intervals, and all daemons of a failure domain
// exchange heartbeats. Other failure domains get one digest of the whole domain from
// one relay, and one of their daemons passes it on:
//
//	agents -> entry daemons of the domain -> relay -> forwarder -> entry daemons of another domain
package gossiper

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/coordination/cataloger"
	"github.com/lentilbridge/lentilbridge/internal/request/blocker"
	"github.com/lentilbridge/lentilbridge/internal/request/placer"
	"github.com/lentilbridge/lentilbridge/internal/shared/recoverer"
	"github.com/lentilbridge/lentilbridge/internal/shared/timekeeper"
	"github.com/lentilbridge/lentilbridge/internal/weights/selector"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
)

const (
	// DefaultSharedInterval is the time between messages to entry daemons that place
	// requests on the same replicas. An entry daemon places about two requests in
	// this time.
	DefaultSharedInterval = 100 * time.Millisecond
	// DefaultNearInterval is the time between messages to the other entry daemons of
	// the failure domain.
	DefaultNearInterval = 500 * time.Millisecond
	// DefaultDigestInterval is the time between digests to other failure domains.
	// Traffic between failure domains is billed.
	DefaultDigestInterval = 500 * time.Millisecond
	// steadyAfterMessages is the number of messages at NearInterval after which an
	// unchanged replica state counts as steady.
	steadyAfterMessages = 3
	// memberRequestInterval is the time between member requests of an agent, and of an
	// entry daemon that knows no live one. Each request goes to one daemon.
	memberRequestInterval = 5 * time.Second
	// The first startRequests member requests follow each other at
	// startRequestInterval, because daemons that start at the same time do not know
	// each other yet.
	startRequestInterval = time.Second
	startRequests        = 4
	// seedInterval is the time between messages to seeds that have not answered.
	seedInterval = time.Second
	// memberListInterval is the time between rounds with member lists.
	memberListInterval = 2 * time.Second
	// maxMemberListTargets is the maximum number of daemons that get a member list in
	// one round.
	maxMemberListTargets = 3
	// maxFarTargets is the maximum number of daemons in other failure domains that get
	// the messages of a daemon that knows none in its own.
	maxFarTargets = 3
	// maxMembersPerMessage is the maximum number of members in one message, so that
	// most messages fit into two packets.
	maxMembersPerMessage = 12
	// maxDatagram is the size of the receive buffer, close to the maximum size of a
	// UDP datagram.
	maxDatagram = 60 << 10
)

// ReplicaState is the state of a replica as its local agent observes it.
type ReplicaState struct {
	Address string `json:"address"`
	// Up reports whether the replica answers its agent.
	Up bool `json:"up"`
	// Versions holds the model versions that the replica serves.
	Versions map[string]int `json:"versions,omitempty"`
	// Loading is set from the order to load a version until that version is served.
	Loading bool `json:"loading,omitempty"`
	// ColdMs is for how many milliseconds the replica remains cold; 0 if it is not.
	ColdMs int `json:"cold-ms,omitempty"`
}

// isSteady reports whether the replica is up, is not loading, and serves the same
// versions as in the previous message.
func (s *ReplicaState) isSteady(before *ReplicaState) bool {
	return s.Up && !s.Loading && before != nil && before.Up && !before.Loading && maps.Equal(s.Versions, before.Versions) && !s.isColder(before)
}

// message is one datagram.
type message struct {
	From      Member                 `json:"from"`
	Revisions map[string]uint64      `json:"revisions,omitempty"`
	Load      map[string]placer.Load `json:"load,omitempty"`
	// Demand is the demand at the sender by service.
	Demand  map[string]float64 `json:"demand,omitempty"`
	Replica *ReplicaState      `json:"replica,omitempty"`
	missingReport
	// Announcements are the model versions that were announced recently.
	Announcements []AnnouncementReport `json:"announcements,omitempty"`
	reports
	// Refusals are requests that the sender has refused recently.
	Refusals []blocker.Fingerprint `json:"refusals,omitempty"`
	Members  []Member              `json:"members,omitempty"`
	// RequestMembers asks the receiver for its member list.
	RequestMembers bool    `json:"introduce,omitempty"`
	Digest         *digest `json:"digest,omitempty"`
	// RequestState asks the receiver for its crashes, blocks and replicas that leave, and
	// StatePage marks the answer.
	RequestState bool       `json:"request-state,omitempty"`
	StatePage    *statePage `json:"state-page,omitempty"`
}

// Gossiper sends and receives messages. Its exported fields are set before Run.
type Gossiper struct {
	Conn net.PacketConn
	// SharedInterval, NearInterval and DigestInterval are the times between messages
	// to daemons that share replicas, to the others of the failure domain, and to
	// other failure domains. 0 selects the default.
	SharedInterval time.Duration
	NearInterval   time.Duration
	DigestInterval time.Duration
	// SteadyInterval, if set, replaces NearInterval while the state of the replica is
	// steady.
	SteadyInterval time.Duration
	// Seeds are addresses of entry daemons. Each is contacted until it is a known
	// member.
	Seeds []string
	// Self returns the member entry of this daemon.
	Self func() Member
	// SharesReplicas reports whether another entry daemon of the failure domain places
	// requests on the same replicas. If nil, all do.
	SharesReplicas func(m Member) bool
	// Revisions returns the revision of each kind of objects that this daemon mirrors,
	// if set.
	Revisions func() map[string]uint64
	// Announcements returns the model versions that were announced recently, if set, and
	// OnAnnouncement is called with each one that another daemon reports, if set.
	Announcements  func(now time.Time) []selector.Announcement
	OnAnnouncement func(from Member, a selector.Announcement, now time.Time)
	// Load returns the load of this daemon by replica, if set.
	Load func() map[string]placer.Load
	// Demand returns the demand at this daemon by service, if set, and OnDemand is called with
	// that at another daemon of the failure domain, or, as a summary, at another failure domain.
	Demand   func(now time.Time) map[string]float64
	OnDemand func(from Member, summary bool, demand map[string]float64, now time.Time)
	missingCallbacks
	// DomainLoad and DomainDemand return the load of and the demand at all entry daemons of
	// the failure domain, if set. One of them sends both to the other failure domains.
	DomainLoad   func(now time.Time) map[string]placer.Load
	DomainDemand func(now time.Time) map[string]float64
	// Replica returns the state of the local replica of an agent, if set.
	Replica func() *ReplicaState
	// OnLoad, OnReplica and OnCrash are called with the contents of received
	// messages, if set. A summary is the load of a whole failure domain. OnCrash gets
	// the time of the crash and reports whether it was unknown.
	OnLoad    func(from Member, summary bool, load map[string]placer.Load, now time.Time)
	OnReplica func(s ReplicaState, now time.Time)
	OnCrash   func(c blocker.Crash, at time.Time) bool
	// OnPartSuccess and OnPartBlock are called, if set, for each shared part of prompts
	// that succeeded on another daemon or is blocked there. They report whether that was
	// unknown.
	OnPartSuccess func(p blocker.PartTime, now time.Time) bool
	OnPartBlock   func(p blocker.PartTime, now time.Time) bool
	// Blocks returns the blocked parts, if set. They are repeated for daemons that start
	// later.
	Blocks func(now time.Time) []blocker.PartTime
	// RequestBlocks returns the blocked requests, if set, which are repeated likewise, and
	// OnRequestBlock is called, if set, with those of other daemons. It reports whether they
	// were unknown.
	RequestBlocks  func(now time.Time) []blocker.RequestTime
	OnRequestBlock func(p blocker.RequestTime, now time.Time) bool
	// Crashes returns the crashes that count, if set. A daemon that may have missed notices
	// asks for them.
	Crashes func(now time.Time) []blocker.ObservedCrash
	// OnRefusal is called for each request that another daemon of the failure domain
	// has refused, if set.
	OnRefusal func(f blocker.Fingerprint, now time.Time)
	// OnLeaving is called, if set, for each replica that has said to another daemon that it
	// leaves, and reports whether that was unknown. Leaving returns those that are known, if
	// set.
	OnLeaving func(l cataloger.Leaving, now time.Time) bool
	Leaving   func() []cataloger.Leaving
	// OnEntryMessage is called, if set, for each message that another entry daemon has sent to this one, with
	// a moment after which it arrived.
	OnEntryMessage func(from Member, arrivedAfter timekeeper.Moment)
	Log            *logger.Logger

	Members Members
	// MaxReplicas is the number of replicas whose states are relayed. 0 stands for DefaultMaxReplicas.
	MaxReplicas int

	mu sync.Mutex
	// outbox holds the notices for the failure domain.
	outbox outbox
	// leaving holds the replicas that leave, for the failure domain.
	leaving leavingOutbox
	// refusals are the refusals to be sent, oldest first.
	refusals []notice[blocker.Fingerprint]
	relay    relay
	// resync is the request for what this daemon has missed.
	resync resync
	// lastSentState is the replica state in the last message, and stateChangedAt is
	// when a message last contained a state that was not steady.
	lastSentState  *ReplicaState
	stateChangedAt time.Time
	sendSoon       chan struct{}
	digestSoon     chan struct{}
	once           sync.Once

	// The following times are used by Run only.
	lastNear, lastDigest, lastDueDigest         time.Time
	lastSeed, lastMemberList, lastMemberRequest time.Time
	memberRequests                              int

	// arrivedAfter is a moment after which the present message arrived. Receive uses it only.
	arrivedAfter timekeeper.Moment
}

// initialize creates the channels, which may be used before Run.
func (g *Gossiper) initialize() {
	g.once.Do(func() { g.sendSoon, g.digestSoon = make(chan struct{}, 1), make(chan struct{}, 1) })
}

// SendSoon makes Run send messages to all entry daemons of the failure domain, and
// digests to the others, at once instead of at the next intervals.
func (g *Gossiper) SendSoon() {
	g.initialize()
	select {
	case g.sendSoon <- struct{}{}:
	default:
	}
}

// sendDigestsSoon makes Run send digests at once, if this daemon is a relay.
func (g *Gossiper) sendDigestsSoon() {
	g.initialize()
	select {
	case g.digestSoon <- struct{}{}:
	default:
	}
}

// Run sends messages until ctx is canceled. Receive must run concurrently.
func (g *Gossiper) Run(ctx context.Context) {
	g.initialize()
	ticker := time.NewTicker(orDefault(g.SharedInterval, DefaultSharedInterval))
	defer ticker.Stop()
	for {
		immediate := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-g.sendSoon:
			immediate = true
		case <-g.digestSoon:
			g.sendChanges(time.Now())
			continue
		}
		g.sendRound(immediate, time.Now())
	}
}

// sendRound sends the messages that are due, or those of all kinds if immediate is set.
func (g *Gossiper) sendRound(immediate bool, now time.Time) {
	defer recoverer.Contain(g.Log, "messages")
	self := g.Self()
	near, far := g.targets(self, now)
	everyone := immediate || g.hasReports() || now.Sub(g.lastNear) >= g.nearInterval(now)
	if everyone {
		g.lastNear = now
	} else {
		near = g.sharers(self, near)
	}
	if len(near) > 0 {
		g.sendNear(self, near, everyone, now)
	}
	if self.Role == Entry {
		g.sendDigests(self, far, immediate, now)
	}
	g.requestMembers(self, near, far, now)
	if self.Role == Entry {
		g.requestState(self, now)
	}
	if now.Sub(g.lastSeed) >= seedInterval {
		g.lastSeed = now
		g.contactSeeds(self, now)
	}
}

// sendChanges sends digests with what has changed.
func (g *Gossiper) sendChanges(now time.Time) {
	defer recoverer.Contain(g.Log, "messages")
	self := g.Self()
	if self.Role != Entry {
		return
	}
	_, far := g.targets(self, now)
	g.sendDigests(self, far, false, now)
}

// sendNear sends the state of this daemon to daemons of the same failure domain, and
// at times a list of members to a few of them, so that all find each other. everyone
// is set if near are all daemons of the failure domain.
func (g *Gossiper) sendNear(self Member, near []Member, everyone bool, now time.Time) {
	m := g.compose(self, now)
	if everyone {
		m.Refusals = g.takeRefusals(now)
		m.reports = g.takeReports(now)
		var delegated map[string]reportedLeaving
		m.Leaving, delegated = g.takeLeaving(near, now)
		near = g.sendDelegated(m, near, delegated)
	}
	if self.Role == Entry && now.Sub(g.lastMemberList) >= memberListInterval {
		g.lastMemberList = now
		withMembers := m
		withMembers.Members = sample(g.Members.Live(Entry, now), maxMembersPerMessage)
		withMembers.Blocks = slices.Clone(m.Blocks)
		withMembers.addBlocks(g.blocks(now), now)
		listed := sample(append([]Member(nil), near...), maxMemberListTargets)
		g.sendMessage(withMembers, listed)
		near = without(near, listed)
	}
	g.sendMessage(m, near)
}

// sharers returns the daemons that place requests on the same replicas. An agent has
// none.
func (g *Gossiper) sharers(self Member, near []Member) []Member {
	if self.Role != Entry {
		return nil
	}
	if g.SharesReplicas == nil {
		return near
	}
	var out []Member
	for _, m := range near {
		if g.SharesReplicas(m) {
			out = append(out, m)
		}
	}
	return out
}

// nearInterval returns the time between messages to the failure domain. A new replica
// state is sent several times at the short interval, because datagrams may be lost.
func (g *Gossiper) nearInterval(now time.Time) time.Duration {
	short := orDefault(g.NearInterval, DefaultNearInterval)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.SteadyInterval == 0 || g.lastSentState == nil || now.Sub(g.stateChangedAt) < steadyAfterMessages*short {
		return short
	}
	return g.SteadyInterval
}

func (g *Gossiper) sendMessage(m message, to []Member) {
	if len(to) == 0 {
		return
	}
	raw, err := json.Marshal(m)
	if err != nil {
		g.Log.Error("message not encoded", zap.Error(err))
		return
	}
	g.send(raw, to)
}

// requestMembers sends a member request to one known entry daemon, preferably of the
// same failure domain. An entry daemon does so only while none is live, because the
// others send it lists.
func (g *Gossiper) requestMembers(self Member, near, far []Member, now time.Time) {
	interval := memberRequestInterval
	if g.memberRequests < startRequests {
		interval = startRequestInterval
	}
	if now.Sub(g.lastMemberRequest) < interval || (self.Role == Entry && len(g.Members.Live(Entry, now)) > 0) {
		return
	}
	to := oneOf(near, far)
	if len(to) == 0 {
		return
	}
	g.lastMemberRequest = now
	g.memberRequests++
	m := g.compose(self, now)
	m.RequestMembers = true
	g.sendMessage(m, to)
}

// targets returns the entry daemons of the same failure domain, which get messages,
// and those of others. A daemon that knows none of its own failure domain sends its
// messages to a few of the others. Agents get only answers to their requests.
func (g *Gossiper) targets(self Member, now time.Time) (near, far []Member) {
	near, far = splitByDomain(self, g.Members.Known(Entry, now))
	if len(near) == 0 {
		near = sample(append([]Member(nil), far...), maxFarTargets)
	}
	return near, far
}

// splitByDomain returns the members of the failure domain of self, without self, and those of
// others.
func splitByDomain(self Member, list []Member) (near, far []Member) {
	for _, m := range list {
		switch {
		case m.Address == self.Address:
		case m.FailureDomain == self.FailureDomain:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	return near, far
}

// oneOf returns a random member, if possible of the same failure domain.
func oneOf(near, far []Member) []Member {
	if len(near) > 0 {
		return sample(near, 1)
	}
	return sample(far, 1)
}

// sample returns at most n random members of the list, which it may reorder.
func sample(list []Member, n int) []Member {
	if len(list) <= n {
		return list
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:n]
}

// without returns the members of a list that are not in another one.
func without(list, others []Member) []Member {
	var out []Member
	for _, m := range list {
		if !hasAddress(others, m.Address) {
			out = append(out, m)
		}
	}
	return out
}

func hasAddress(list []Member, address string) bool {
	for _, m := range list {
		if m.Address == address {
			return true
		}
	}
	return false
}

func orDefault(d, defaultValue time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return defaultValue
}

// contactSeeds sends a member request to each seed that is not a known member.
func (g *Gossiper) contactSeeds(self Member, now time.Time) {
	known := map[string]bool{self.Address: true}
	for _, m := range g.Members.Known(Entry, now) {
		known[m.Address] = true
	}
	var unknown []Member
	for _, seed := range g.Seeds {
		if !known[seed] {
			unknown = append(unknown, Member{Address: seed})
		}
	}
	if len(unknown) == 0 {
		return
	}
	m := g.compose(self, now)
	m.RequestMembers = true
	g.sendMessage(m, unknown)
}

func (g *Gossiper) send(raw []byte, to []Member) {
	for _, m := range to {
		address, err := net.ResolveUDPAddr("udp4", m.Address)
		if err != nil {
			continue
		}
		if _, err := g.Conn.WriteTo(raw, address); err != nil {
			g.Log.Debug("message not sent", zap.String("to", m.Address), zap.Error(err))
		}
	}
}
