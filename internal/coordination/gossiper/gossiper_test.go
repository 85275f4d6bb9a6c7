package gossiper

import (
	"context"
	"encoding/json"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/blocker"
	"github.com/lentilbridge/lentilbridge/internal/request/placer"
)

// TestMembers guards against naming a daemon that fell silent, against an old
// message that replaces a newer process, and against asking a daemon that has
// nothing newer.
func TestMembers(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var m Members
	a := Member{VM: "a", Role: Entry, Address: "a:1", QueryAddress: "a:2", Incarnation: 2}
	c.Assert(m.Hear(a, map[string]uint64{"k": 5}, now), qt.IsTrue)
	c.Assert(m.Hear(a, map[string]uint64{"k": 6}, now), qt.IsFalse)
	older := a
	older.Incarnation = 1
	m.Hear(older, map[string]uint64{"k": 9}, now)
	got, ok := m.Newest("k", 5, now)
	c.Assert(ok, qt.IsTrue)
	c.Assert(got.Incarnation, qt.Equals, int64(2))
	_, ok = m.Newest("k", 6, now)
	c.Assert(ok, qt.IsFalse)
	m.Tell([]Member{{VM: "b", Role: Entry, Address: "b:1"}}, now)
	c.Assert(m.Live(Entry, now), qt.HasLen, 1)
	c.Assert(m.Known(Entry, now), qt.HasLen, 2)
	c.Assert(m.Live(Entry, now.Add(silentAfter+time.Millisecond)), qt.HasLen, 0)
	c.Assert(m.Known(Entry, now.Add(forgetAfter+time.Second)), qt.HasLen, 0)
}

// heardBy notes what a daemon heard.
type heardBy struct {
	mu      sync.Mutex
	load    map[string]map[string]placer.Load
	crashes []blocker.Crash
	replica []ReplicaState
	news    chan struct{}
}

func (h *heardBy) notify() {
	select {
	case h.news <- struct{}{}:
	default:
	}
}

// TestFarInterval guards against a new state of a replica that is told once and
// lost, and against bytes between failure domains for a state that stays.
func TestFarInterval(t *testing.T) {
	now := time.Unix(1000, 0)
	state := ReplicaState{Up: true, Versions: map[string]int{"m": 1}}
	g := &Gossiper{FarInterval: time.Second, SteadyFarInterval: 2 * time.Second, Replica: func() *ReplicaState { s := state; return &s }}
	tests := []struct {
		name   string
		change func()
		after  time.Duration
		want   time.Duration
	}{
		{"first", func() {}, 0, time.Second},
		{"same", func() {}, 4 * time.Second, 2 * time.Second},
		{"loading", func() { state.Loading = true }, 0, time.Second},
		{"still loading", func() {}, 10 * time.Second, time.Second},
		{"a new version", func() { state = ReplicaState{Up: true, Versions: map[string]int{"m": 2}} }, 0, time.Second},
		{"told again", func() {}, 2 * time.Second, time.Second},
		{"the same version", func() {}, 2 * time.Second, 2 * time.Second},
		{"down", func() { state.Up = false }, 0, time.Second},
	}
	for _, tc := range tests {
		now = now.Add(tc.after)
		tc.change()
		g.compose(Member{Role: Agent}, now)
		qt.Check(t, g.farInterval(now), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// packets is a connection that counts the messages sent.
type packets struct {
	net.PacketConn
	sent []message
}

// WriteTo implements net.PacketConn.
func (p *packets) WriteTo(b []byte, _ net.Addr) (int, error) {
	var m message
	if err := json.Unmarshal(b, &m); err != nil {
		return 0, err
	}
	p.sent = append(p.sent, m)
	return len(b), nil
}

// TestIntroductionsAreFew guards against answers with lists of members from all
// entry daemons to all agents, and against such lists to all failure domains: on
// tmfpa grown they were most of the bytes between regions.
func TestIntroductionsAreFew(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	tests := []struct {
		role              Role
		asked, introduced int
	}{
		{Agent, 1, 0},
		{Entry, 1, maxIntroducedTo},
	}
	for _, tc := range tests {
		conn := &packets{}
		g := &Gossiper{Conn: conn, Log: zap.NewNop(), Self: func() Member { return Member{VM: "self", Role: tc.role, Address: "127.0.0.1:1", FailureDomain: "a"} }}
		for i := range 10 {
			g.Members.Tell([]Member{{VM: strconv.Itoa(i), Role: Entry, FailureDomain: "b", Address: "127.0.0.1:" + strconv.Itoa(100+i)}}, now)
		}
		for range 3 {
			g.sendRound(true, true, now)
			g.ask(now)
		}
		asked, introduced := 0, 0
		for _, m := range conn.sent {
			if m.Introduce {
				asked++
			}
			if m.Members != nil {
				introduced++
			}
		}
		c.Check(asked, qt.Equals, tc.asked, qt.Commentf(string(tc.role)))
		c.Check(introduced <= 3*tc.introduced, qt.IsTrue, qt.Commentf("%s: %d", tc.role, introduced))
	}
}

// TestMeshFromOneSeed guards against daemons that do not find each other from
// one seed, and against loads, crashes and states of engines that do not arrive.
func TestMeshFromOneSeed(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var gossipers []*Gossiper
	heard := make([]*heardBy, 4)
	for i := range 4 {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		address := conn.LocalAddr().String()
		self := Member{VM: strconv.Itoa(i), Role: Entry, FailureDomain: "d" + strconv.Itoa(i%2), Address: address, Incarnation: 1}
		h := &heardBy{load: map[string]map[string]placer.Load{}, news: make(chan struct{}, 1)}
		heard[i] = h
		g := &Gossiper{
			Conn: conn, Self: func() Member { return self }, Log: zap.NewNop(),
			NearInterval: 5 * time.Millisecond, FarInterval: 10 * time.Millisecond,
			Load:         func() map[string]placer.Load { return map[string]placer.Load{"r": {Requests: i}} },
			DomainLoad:   func(time.Time) map[string]placer.Load { return map[string]placer.Load{"r": {Requests: 10 + i}} },
			HeardLoad:    h.setLoad,
			HeardCrash:   h.addCrash,
			HeardReplica: h.addReplica,
		}
		if i > 0 {
			g.Seeds = []string{gossipers[0].Self().Address}
		}
		if i == 3 {
			self.Role = Agent
			g.Load, g.DomainLoad = nil, nil
			g.Replica = func() *ReplicaState { return &ReplicaState{Address: "e:1", Up: true} }
		}
		gossipers = append(gossipers, g)
		go g.Run(ctx)
		go g.Receive(ctx)
	}
	crash := blocker.Crash{Fingerprint: 7, Replica: "r@e:1"}
	gossipers[1].Crashed(crash)
	// Daemons 0 and 2 share a failure domain, and 0 speaks for it.
	loads := [][]string{{"2", "summary of 1"}, {"summary of 0"}, {"0", "summary of 1"}}
	for i := range 3 {
		heard[i].waitFor(func() bool {
			hasLoads := !slices.ContainsFunc(loads[i], func(name string) bool { return heard[i].load[name] == nil })
			hasCrash := i == 1 || len(heard[i].crashes) > 0
			return hasLoads && hasCrash && len(heard[i].replica) > 0
		})
	}
	heard[1].mu.Lock()
	c.Assert(heard[1].load["summary of 0"]["r"].Requests, qt.Equals, 10)
	heard[1].mu.Unlock()
	heard[0].mu.Lock()
	defer heard[0].mu.Unlock()
	c.Assert(heard[0].load["2"]["r"].Requests, qt.Equals, 2)
	c.Assert(heard[0].load["summary of 1"]["r"].Requests, qt.Equals, 11)
	c.Assert(heard[0].crashes[0], qt.Equals, crash)
	c.Assert(heard[0].replica[0], qt.DeepEquals, ReplicaState{Address: "e:1", Up: true})
}

func (h *heardBy) setLoad(from Member, summary bool, load map[string]placer.Load, _ time.Time) {
	name := from.VM
	if summary {
		name = "summary of " + name
	}
	h.mu.Lock()
	h.load[name] = load
	h.mu.Unlock()
	h.notify()
}

func (h *heardBy) addCrash(c blocker.Crash, _ time.Time) {
	h.mu.Lock()
	h.crashes = append(h.crashes, c)
	h.mu.Unlock()
	h.notify()
}

func (h *heardBy) addReplica(s ReplicaState, _ time.Time) {
	h.mu.Lock()
	h.replica = append(h.replica, s)
	h.mu.Unlock()
	h.notify()
}

// waitFor returns once the condition holds; the test's own deadline ends a wait
// that does not.
func (h *heardBy) waitFor(ok func() bool) {
	for {
		h.mu.Lock()
		done := ok()
		h.mu.Unlock()
		if done {
			return
		}
		<-h.news
	}
}
