// Package gossiper exchanges state between daemons: membership, configuration
// revisions, the load of each replica, and replica states.
//
// Messages are UDP datagrams. Each message replaces the previous one, so lost
// messages need no retransmission, and no connection has to be monitored. A stream
// would deliver outdated loads late instead of dropping them.
package gossiper

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/blocker"
	"github.com/lentilbridge/lentilbridge/internal/request/placer"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
)

const (
	// DefaultNearInterval is the time between messages to daemons of the same
	// failure domain. They place requests on the same replicas, and an entry daemon
	// places about two requests in this time.
	DefaultNearInterval = 100 * time.Millisecond
	// DefaultFarInterval is the time between messages to other failure domains.
	// Traffic between failure domains is billed.
	DefaultFarInterval = 500 * time.Millisecond
	// steadyAfterMessages is the number of messages at FarInterval after which an
	// unchanged replica state counts as steady.
	steadyAfterMessages = 3
	// memberRequestInterval is the time between member requests of a daemon that
	// knows no live entry daemon. Each request goes to one daemon.
	memberRequestInterval = 5 * time.Second
	// maxMemberListTargets is the maximum number of daemons in other failure domains
	// that get a member list in one round. With this limit, and member requests to one
	// daemon instead of to all, 42 entry daemons and 62 agents exchanged 0.109 instead
	// of 0.170 GB per minute between regions.
	maxMemberListTargets = 3
	// maxFarTargets is the maximum number of daemons in other failure domains that get
	// a message in one round, so that the cost does not grow with the fleet.
	maxFarTargets = 24
	// maxNearTargets is the same limit for the own failure domain.
	maxNearTargets = 24
	// seedInterval is the time between messages to seeds that have not answered.
	seedInterval = time.Second
	// memberListInterval is the time between rounds with member lists.
	memberListInterval = 2 * time.Second
	// maxMembersPerMessage is the maximum number of members in one message.
	maxMembersPerMessage = 12
	// maxDatagram is the size of the receive buffer, close to the maximum size of a
	// UDP datagram. Most messages fit into one packet without fragmentation.
	maxDatagram = 60 << 10
	// maxCrashes is the maximum number of crashes in one message.
	maxCrashes = 8
	// maxPendingCrashes is the maximum number of crashes that wait to be sent. Further
	// ones are not announced.
	maxPendingCrashes = 8 * maxCrashes
	// crashRepeats is the number of messages that repeat a crash, because datagrams
	// may be lost.
	crashRepeats = 6
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
}

// isSteady reports whether the replica is up, is not loading, and serves the same
// versions as in the previous message.
func (s *ReplicaState) isSteady(before *ReplicaState) bool {
	return s.Up && !s.Loading && before != nil && before.Up && !before.Loading && maps.Equal(s.Versions, before.Versions)
}

// message is one datagram.
type message struct {
	From      Member                 `json:"from"`
	Revisions map[string]uint64      `json:"revisions,omitempty"`
	Load      map[string]placer.Load `json:"load,omitempty"`
	// Summary is set if Load is the total of all entry daemons of the failure domain.
	Summary bool            `json:"summary,omitempty"`
	Replica *ReplicaState   `json:"replica,omitempty"`
	Crashes []blocker.Crash `json:"crashes,omitempty"`
	Members []Member        `json:"members,omitempty"`
	// RequestMembers asks the receiver for its member list.
	RequestMembers bool `json:"introduce,omitempty"`
}

// Gossiper sends and receives messages. Its exported fields are set before Run.
type Gossiper struct {
	Conn net.PacketConn
	// NearInterval and FarInterval are the times between messages to the same
	// and to other failure domains. 0 selects the default.
	NearInterval time.Duration
	FarInterval  time.Duration
	// SteadyFarInterval, if set, replaces FarInterval while the state of the replica
	// is steady.
	SteadyFarInterval time.Duration
	// Seeds are addresses of entry daemons. Each is contacted until it is a known
	// member.
	Seeds []string
	// Self returns the member entry of this daemon.
	Self func() Member
	// Revisions returns the revision of each kind of objects that this daemon mirrors,
	// if set.
	Revisions func() map[string]uint64
	// Load returns the load of this daemon by replica, if set.
	Load func() map[string]placer.Load
	// DomainLoad returns the load of all entry daemons of the failure domain, if set.
	// One of them sends it to the other failure domains.
	DomainLoad func(now time.Time) map[string]placer.Load
	// Replica returns the state of the local replica of an agent, if set.
	Replica func() *ReplicaState
	// OnLoad, OnReplica and OnCrash are called with the contents of received
	// messages, if set.
	OnLoad    func(from Member, summary bool, load map[string]placer.Load, now time.Time)
	OnReplica func(s ReplicaState, now time.Time)
	OnCrash   func(c blocker.Crash, now time.Time)
	Log       *logger.Logger

	Members Members

	mu                sync.Mutex
	crashes           []crashNotice
	lastMemberRequest time.Time
	// lastSentState is the replica state in the last message, and stateChangedAt is
	// when a message last contained a state that was not steady.
	lastSentState  *ReplicaState
	stateChangedAt time.Time
	sendSoon       chan struct{}
	once           sync.Once
}

// crashNotice is a crash with the number of messages that still have to repeat it.
type crashNotice struct {
	crash     blocker.Crash
	remaining int
}

// initialize creates the channel of SendSoon, which may be called before Run.
func (g *Gossiper) initialize() { g.once.Do(func() { g.sendSoon = make(chan struct{}, 1) }) }

// AnnounceCrash announces a crash to the other daemons.
func (g *Gossiper) AnnounceCrash(c blocker.Crash) {
	g.mu.Lock()
	if len(g.crashes) < maxPendingCrashes {
		g.crashes = append(g.crashes, crashNotice{crash: c, remaining: crashRepeats})
	}
	g.mu.Unlock()
	g.SendSoon()
}

// SendSoon makes Run send messages to the daemons of all failure domains at once,
// instead of at the next intervals.
func (g *Gossiper) SendSoon() {
	g.initialize()
	select {
	case g.sendSoon <- struct{}{}:
	default:
	}
}

// Run sends messages until ctx is canceled. Receive must run concurrently.
func (g *Gossiper) Run(ctx context.Context) {
	g.initialize()
	ticker := time.NewTicker(orDefault(g.NearInterval, DefaultNearInterval))
	defer ticker.Stop()
	var lastFar, lastSeed, lastMemberList time.Time
	for {
		immediate := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-g.sendSoon:
			immediate = true
		}
		now := time.Now()
		includeFar := immediate || now.Sub(lastFar) >= g.farInterval(now)
		if includeFar {
			lastFar = now
		}
		withMemberList := now.Sub(lastMemberList) >= memberListInterval
		if withMemberList {
			lastMemberList = now
		}
		g.sendRound(includeFar, withMemberList, now)
		g.requestMembers(now)
		if now.Sub(lastSeed) >= seedInterval {
			lastSeed = now
			g.contactSeeds(now)
		}
	}
}

// farInterval returns the time between messages to other failure domains. A new
// replica state is sent several times at the short interval, because datagrams may
// be lost.
func (g *Gossiper) farInterval(now time.Time) time.Duration {
	short := orDefault(g.FarInterval, DefaultFarInterval)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.SteadyFarInterval == 0 || g.lastSentState == nil || now.Sub(g.stateChangedAt) < steadyAfterMessages*short {
		return short
	}
	return g.SteadyFarInterval
}

// sendRound sends a message to the daemons of the same failure domain and, if
// includeFar is set, to those of other failure domains. The latter get the load only
// as a summary.
func (g *Gossiper) sendRound(includeFar, withMemberList bool, now time.Time) {
	self := g.Self()
	near, far := g.targets(self, now)
	if len(near) == 0 && (!includeFar || len(far) == 0) {
		return
	}
	m := g.compose(self, now)
	g.sendMessage(m, near)
	if !includeFar {
		return
	}
	m.Load = nil
	if g.DomainLoad != nil && g.isDomainSummarizer(self, now) {
		m.Load, m.Summary = g.DomainLoad(now), true
	}
	if withMemberList && self.Role == Entry {
		rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
		n := min(maxMemberListTargets, len(far))
		withMembers := m
		withMembers.Members = g.memberList(now)
		g.sendMessage(withMembers, far[:n])
		far = far[n:]
	}
	g.sendMessage(m, far)
}

func (g *Gossiper) sendMessage(m message, to []Member) {
	raw, err := json.Marshal(m)
	if err != nil {
		g.Log.Error("message not encoded", zap.Error(err))
		return
	}
	g.send(raw, to)
}

// requestMembers sends a member request to one known entry daemon while none is live.
// It prefers a daemon of the same failure domain.
func (g *Gossiper) requestMembers(now time.Time) {
	self := g.Self()
	if now.Sub(g.lastMemberRequest) < memberRequestInterval || len(g.Members.Live(Entry, now)) > 0 {
		return
	}
	near, far := g.targets(self, now)
	to := sample(near, 1)
	if len(to) == 0 {
		to = sample(far, 1)
	}
	if len(to) == 0 {
		return
	}
	g.lastMemberRequest = now
	m := g.compose(self, now)
	m.RequestMembers = true
	g.sendMessage(m, to)
}

// isDomainSummarizer reports whether this daemon sends the load summary of its failure
// domain: it is the first live entry daemon there, ordered by VM. Without a summary
// every daemon would send its load across failure domains, which is billed traffic.
func (g *Gossiper) isDomainSummarizer(self Member, now time.Time) bool {
	for _, m := range g.Members.Live(Entry, now) {
		if m.FailureDomain == self.FailureDomain && m.VM < self.VM {
			return false
		}
	}
	return self.Role == Entry
}

// targets returns the entry daemons to which messages are sent. Agents are not among
// them and receive only answers to their requests.
func (g *Gossiper) targets(self Member, now time.Time) (near, far []Member) {
	for _, m := range g.Members.Known(Entry, now) {
		switch {
		case m.Address == self.Address:
		case m.FailureDomain == self.FailureDomain:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	return sample(near, maxNearTargets), sample(far, maxFarTargets)
}

// sample returns at most n random members of the list, which it may reorder.
func sample(list []Member, n int) []Member {
	if len(list) <= n {
		return list
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:n]
}

// compose returns a message with the state of this daemon. It counts the crashes in
// the message as sent, and records the replica state for farInterval.
func (g *Gossiper) compose(self Member, now time.Time) message {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := message{From: self, Crashes: g.takeCrashes()}
	if g.Revisions != nil {
		m.Revisions = g.Revisions()
	}
	if g.Load != nil {
		m.Load = g.Load()
	}
	if g.Replica != nil {
		m.Replica = g.Replica()
		if !m.Replica.isSteady(g.lastSentState) {
			g.stateChangedAt = now
		}
		g.lastSentState = m.Replica
	}
	return m
}

func orDefault(d, defaultValue time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return defaultValue
}

// takeCrashes returns the crashes for the next message and removes those that have
// been sent crashRepeats times. It is called with the lock held.
func (g *Gossiper) takeCrashes() []blocker.Crash {
	var out []blocker.Crash
	keep := g.crashes[:0]
	for _, notice := range g.crashes {
		if len(out) < maxCrashes {
			out = append(out, notice.crash)
			notice.remaining--
		}
		if notice.remaining > 0 {
			keep = append(keep, notice)
		}
	}
	g.crashes = keep
	return out
}

// memberList returns live entry daemons, at most as many as fit into one message.
func (g *Gossiper) memberList(now time.Time) []Member {
	return sample(g.Members.Live(Entry, now), maxMembersPerMessage)
}

// contactSeeds sends a member request to each seed that is not a known member.
func (g *Gossiper) contactSeeds(now time.Time) {
	self := g.Self()
	known := map[string]bool{self.Address: true}
	for _, m := range g.Members.Known(Entry, now) {
		known[m.Address] = true
	}
	m := g.compose(self, now)
	m.RequestMembers = true
	raw, err := json.Marshal(m)
	if err != nil {
		return
	}
	for _, seed := range g.Seeds {
		if !known[seed] {
			g.send(raw, []Member{{Address: seed}})
		}
	}
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

// Receive handles messages until the connection is closed or ctx is canceled.
func (g *Gossiper) Receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := g.Conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			// A datagram sent earlier to a port without a listener causes an error here.
			continue
		}
		var m message
		if err := json.Unmarshal(buf[:n], &m); err != nil || m.From.Address == "" {
			g.Log.Debug("message not decoded", zap.Stringer("from", from))
			continue
		}
		g.receive(m, time.Now())
	}
}

// receive records the sender and the members in the message, passes the other contents
// to the callbacks, and answers a member request.
func (g *Gossiper) receive(m message, now time.Time) {
	joined := g.Members.RecordMessage(m.From, m.Revisions, now)
	if joined {
		g.Log.Info("daemon joined or returned", zap.String("vm", m.From.VM), zap.String("role", string(m.From.Role)),
			zap.String("address", m.From.Address), zap.Bool("ready", m.From.Ready))
	}
	g.Members.AddReported(m.Members, now)
	if m.Load != nil && g.OnLoad != nil {
		g.OnLoad(m.From, m.Summary, m.Load, now)
	}
	if m.Replica != nil && g.OnReplica != nil {
		g.OnReplica(*m.Replica, now)
	}
	for _, c := range m.Crashes {
		if g.OnCrash != nil {
			g.OnCrash(c, now)
		}
	}
	if m.RequestMembers {
		g.sendMembers(m.From, now)
	}
}

// sendMembers answers a member request with this daemon and the live members.
func (g *Gossiper) sendMembers(to Member, now time.Time) {
	self := g.Self()
	if self.Role != Entry {
		return
	}
	m := g.compose(self, now)
	m.Members = g.memberList(now)
	m.RequestMembers = false
	g.sendMessage(m, []Member{to})
}
