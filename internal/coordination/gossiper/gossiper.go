// Package gossiper exchanges state between daemons: who is there, which revision of
// the configuration each has, and how many requests each has in progress on
// which replica.
//
// Messages are datagrams. A lost one is replaced by the next, and no connection
// has to be watched for silence; a stream would deliver old loads after new
// ones were known.
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
	// failure domain. They place requests on the same replicas, and in this time
	// an entry daemon places about two.
	DefaultNearInterval = 100 * time.Millisecond
	// DefaultFarInterval is the time between messages to other failure domains,
	// where bytes have a price.
	DefaultFarInterval = 500 * time.Millisecond
	// steadyAfter is the number of messages at the short interval after which a
	// state of a replica counts as steady.
	steadyAfter = 3
	// askInterval is how often a daemon that hears no other asks one of those that
	// it knows for members. Agents hear only answers. With one daemon asked instead
	// of all, and lists of members for three instead of all, a minute of 42 entry
	// daemons and 62 agents took 0.109 GB between regions instead of 0.170.
	askInterval = 5 * time.Second
	// maxIntroducedTo bounds the daemons of other failure domains that get a list
	// of members in one round.
	maxIntroducedTo = 3
	// maxFar bounds the daemons of other failure domains in one round, so that
	// the cost does not grow with the fleet.
	maxFar = 24
	// maxNear bounds those of the same failure domain.
	maxNear = 24
	// seedInterval is the time between messages to seeds that do not answer.
	seedInterval = time.Second
	// introductionInterval is the time between lists of members.
	introductionInterval = 2 * time.Second
	// maxIntroduced bounds the members named in one message.
	maxIntroduced = 12
	// maxDatagram fits one packet of a common link without fragments for most
	// messages, and the largest that the protocol allows for the rest.
	maxDatagram = 60 << 10
	// maxCrashes bounds the crashes repeated in each message.
	maxCrashes = 8
	// crashRepeats is how often each crash is told: datagrams may be lost.
	crashRepeats = 6
)

// ReplicaState is what an agent knows of the replica beside it.
type ReplicaState struct {
	Address string `json:"address"`
	// Up is false while the replica does not answer its agent.
	Up bool `json:"up"`
	// Versions are the model versions that it serves.
	Versions map[string]int `json:"versions,omitempty"`
	// Loading is set from the order to load until the new version serves.
	Loading bool `json:"loading,omitempty"`
}

// steady tells whether the state is one that lasts and was told before.
func (s *ReplicaState) steady(before *ReplicaState) bool {
	return s.Up && !s.Loading && before != nil && before.Up && !before.Loading && maps.Equal(s.Versions, before.Versions)
}

// message is one datagram.
type message struct {
	From      Member                 `json:"from"`
	Revisions map[string]uint64      `json:"revisions,omitempty"`
	Load      map[string]placer.Load `json:"load,omitempty"`
	// Summary is set when Load is that of all daemons of the failure domain.
	Summary bool            `json:"summary,omitempty"`
	Replica *ReplicaState   `json:"replica,omitempty"`
	Crashes []blocker.Crash `json:"crashes,omitempty"`
	Members []Member        `json:"members,omitempty"`
	// Introduce asks for the members.
	Introduce bool `json:"introduce,omitempty"`
}

// Gossiper sends and receives messages. Fields are set before Run.
type Gossiper struct {
	Conn net.PacketConn
	// NearInterval and FarInterval are the times between messages to the same
	// and to other failure domains; 0 is the default.
	NearInterval time.Duration
	FarInterval  time.Duration
	// SteadyFarInterval replaces FarInterval while the state of the replica
	// stays the same, if set.
	SteadyFarInterval time.Duration
	// Seeds are addresses to ask when no other daemon is known.
	Seeds []string
	// Self returns what this daemon says of itself.
	Self func() Member
	// Revisions returns the revision of each mirrored kind, if set.
	Revisions func() map[string]uint64
	// Load returns the load of this daemon by replica, if set.
	Load func() map[string]placer.Load
	// DomainLoad returns the load of all entry daemons of the failure domain. One
	// of them tells it to the other failure domains, if set.
	DomainLoad func(now time.Time) map[string]placer.Load
	// Replica returns the state of the replica beside an agent, if set.
	Replica func() *ReplicaState
	// HeardLoad, HeardReplica and HeardCrash take what others say, if set.
	HeardLoad    func(from Member, summary bool, load map[string]placer.Load, now time.Time)
	HeardReplica func(s ReplicaState, now time.Time)
	HeardCrash   func(c blocker.Crash, now time.Time)
	Log          *logger.Logger

	Members Members

	mu      sync.Mutex
	crashes []told
	asked   time.Time
	// toldState is the state of the replica in the last message, and changed when
	// it last was another one.
	toldState *ReplicaState
	changed   time.Time
	urgent    chan struct{}
	once      sync.Once
}

type told struct {
	crash blocker.Crash
	left  int
}

func (g *Gossiper) setUp() { g.once.Do(func() { g.urgent = make(chan struct{}, 1) }) }

// Crashed tells the other daemons of a crash.
func (g *Gossiper) Crashed(c blocker.Crash) {
	g.mu.Lock()
	if len(g.crashes) < 8*maxCrashes {
		g.crashes = append(g.crashes, told{crash: c, left: crashRepeats})
	}
	g.mu.Unlock()
	g.Hurry()
}

// Hurry sends a message to all live daemons soon.
func (g *Gossiper) Hurry() {
	g.setUp()
	select {
	case g.urgent <- struct{}{}:
	default:
	}
}

// Run sends messages until ctx ends. Receive runs beside it.
func (g *Gossiper) Run(ctx context.Context) {
	g.setUp()
	ticker := time.NewTicker(orDefault(g.NearInterval, DefaultNearInterval))
	defer ticker.Stop()
	var lastFar, lastSeed, lastIntroduction time.Time
	for {
		hurry := false
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-g.urgent:
			hurry = true
		}
		now := time.Now()
		far := hurry || now.Sub(lastFar) >= g.farInterval(now)
		if far {
			lastFar = now
		}
		introduce := now.Sub(lastIntroduction) >= introductionInterval
		if introduce {
			lastIntroduction = now
		}
		g.sendRound(far, introduce, now)
		g.ask(now)
		if now.Sub(lastSeed) >= seedInterval {
			lastSeed = now
			g.askSeeds(now)
		}
	}
}

// farInterval is the time between messages to other failure domains. A new state
// of the replica is told a few times at the short interval, because datagrams
// may be lost.
func (g *Gossiper) farInterval(now time.Time) time.Duration {
	short := orDefault(g.FarInterval, DefaultFarInterval)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.SteadyFarInterval == 0 || g.toldState == nil || now.Sub(g.changed) < steadyAfter*short {
		return short
	}
	return g.SteadyFarInterval
}

// sendRound sends one message to the near daemons and, if far is set, to those
// of other failure domains.
func (g *Gossiper) sendRound(far, introduce bool, now time.Time) {
	self := g.Self()
	near, distant := g.targets(self, now)
	if len(near) == 0 && (!far || len(distant) == 0) {
		return
	}
	m := g.compose(self, now)
	g.sendMessage(m, near)
	if !far {
		return
	}
	m.Load = nil
	if g.DomainLoad != nil && g.summarizes(self, now) {
		m.Load, m.Summary = g.DomainLoad(now), true
	}
	if introduce && self.Role == Entry {
		rand.Shuffle(len(distant), func(i, j int) { distant[i], distant[j] = distant[j], distant[i] })
		n := min(maxIntroducedTo, len(distant))
		introduction := m
		introduction.Members = g.introductions(now)
		g.sendMessage(introduction, distant[:n])
		distant = distant[n:]
	}
	g.sendMessage(m, distant)
}

func (g *Gossiper) sendMessage(m message, to []Member) {
	raw, err := json.Marshal(m)
	if err != nil {
		g.Log.Error("message cannot be encoded", zap.Error(err))
		return
	}
	g.send(raw, to)
}

// ask asks one of the known daemons for members, a near one if there is one.
func (g *Gossiper) ask(now time.Time) {
	self := g.Self()
	if now.Sub(g.asked) < askInterval || len(g.Members.Live(Entry, now)) > 0 {
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
	g.asked = now
	m := g.compose(self, now)
	m.Introduce = true
	g.sendMessage(m, to)
}

// summarizes tells whether this daemon speaks for its failure domain: the first
// of the live ones by VM. Without a summary each daemon would tell its load to
// all others, where bytes have a price.
func (g *Gossiper) summarizes(self Member, now time.Time) bool {
	for _, m := range g.Members.Live(Entry, now) {
		if m.FailureDomain == self.FailureDomain && m.VM < self.VM {
			return false
		}
	}
	return self.Role == Entry
}

// targets are the entry daemons to which messages go. Agents hear only from
// those that they ask.
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
	return sample(near, maxNear), sample(far, maxFar)
}

func sample(list []Member, n int) []Member {
	if len(list) <= n {
		return list
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:n]
}

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
		if !m.Replica.steady(g.toldState) {
			g.changed = now
		}
		g.toldState = m.Replica
	}
	return m
}

func orDefault(d, byDefault time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return byDefault
}

// takeCrashes is called with the lock held.
func (g *Gossiper) takeCrashes() []blocker.Crash {
	var out []blocker.Crash
	keep := g.crashes[:0]
	for _, t := range g.crashes {
		if len(out) < maxCrashes {
			out = append(out, t.crash)
			t.left--
		}
		if t.left > 0 {
			keep = append(keep, t)
		}
	}
	g.crashes = keep
	return out
}

func (g *Gossiper) introductions(now time.Time) []Member {
	return sample(g.Members.Live(Entry, now), maxIntroduced)
}

// askSeeds introduces this daemon to the seeds while it knows no live daemon or
// while a seed is not known.
func (g *Gossiper) askSeeds(now time.Time) {
	self := g.Self()
	known := map[string]bool{self.Address: true}
	for _, m := range g.Members.Known(Entry, now) {
		known[m.Address] = true
	}
	m := g.compose(self, now)
	m.Introduce = true
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

// Receive takes messages until the connection is closed.
func (g *Gossiper) Receive(ctx context.Context) {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := g.Conn.ReadFrom(buf)
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return
		}
		if err != nil {
			// A datagram to a port without a listener returns an error here.
			continue
		}
		var m message
		if err := json.Unmarshal(buf[:n], &m); err != nil || m.From.Address == "" {
			g.Log.Debug("message cannot be decoded", zap.Stringer("from", from))
			continue
		}
		g.receive(m, time.Now())
	}
}

func (g *Gossiper) receive(m message, now time.Time) {
	fresh := g.Members.Hear(m.From, m.Revisions, now)
	if fresh {
		g.Log.Info("daemon joined or returned", zap.String("vm", m.From.VM), zap.String("role", string(m.From.Role)),
			zap.String("address", m.From.Address), zap.Bool("ready", m.From.Ready))
	}
	g.Members.Tell(m.Members, now)
	if m.Load != nil && g.HeardLoad != nil {
		g.HeardLoad(m.From, m.Summary, m.Load, now)
	}
	if m.Replica != nil && g.HeardReplica != nil {
		g.HeardReplica(*m.Replica, now)
	}
	for _, c := range m.Crashes {
		if g.HeardCrash != nil {
			g.HeardCrash(c, now)
		}
	}
	if m.Introduce {
		g.answer(m.From, now)
	}
}

// answer introduces this daemon and those it knows.
func (g *Gossiper) answer(to Member, now time.Time) {
	self := g.Self()
	if self.Role != Entry {
		return
	}
	m := g.compose(self, now)
	m.Members = g.introductions(now)
	m.Introduce = false
	g.sendMessage(m, []Member{to})
}
