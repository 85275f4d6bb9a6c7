package gossiper

import (
	"context"
	"encoding/json"
	"net"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/request/blocker"
	"github.com/lentilbridge/lentilbridge/internal/request/placer"
)

// TestMembers guards against listing a silent daemon as live, against a message of
// an earlier incarnation that replaces a later one, and against choosing a daemon
// without a newer revision.
func TestMembers(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var m Members
	a := Member{VM: "a", Role: Entry, Address: "a:1", QueryAddress: "a:2", Incarnation: 2}
	c.Assert(m.RecordMessage(a, map[string]uint64{"k": 5}, now), qt.IsTrue)
	c.Assert(m.RecordMessage(a, map[string]uint64{"k": 6}, now), qt.IsFalse)
	older := a
	older.Incarnation = 1
	m.RecordMessage(older, map[string]uint64{"k": 9}, now)
	none := func(*Member) bool { return false }
	got, ok := m.Newest("k", 5, "", true, none, now)
	c.Assert(ok, qt.IsTrue)
	c.Assert(got.Incarnation, qt.Equals, int64(2))
	_, ok = m.Newest("k", 6, "", true, none, now)
	c.Assert(ok, qt.IsFalse)
	_, ok = m.Newest("k", 5, "elsewhere", false, none, now)
	c.Assert(ok, qt.IsFalse)
	m.AddReported([]Member{{VM: "b", Role: Entry, Address: "b:1"}}, now)
	c.Assert(m.Live(Entry, now), qt.HasLen, 1)
	c.Assert(m.Known(Entry, now), qt.HasLen, 2)
	c.Assert(m.Live(Entry, now.Add(livenessTimeout+time.Millisecond)), qt.HasLen, 0)
	c.Assert(m.Known(Entry, now.Add(memberRetention+time.Second)), qt.HasLen, 0)
}

// TestNewestMember guards against a copy that is fetched from a daemon to avoid while
// another one has it, or from none although one to avoid has it.
func TestNewestMember(t *testing.T) {
	tests := []struct {
		name       string
		revisions  map[string]uint64
		avoid      string
		includeFar bool
		want       string
	}{
		{"near before far", map[string]uint64{"near-1": 5, "far-1": 9}, "", true, "near-1"},
		{"highest of several", map[string]uint64{"near-1": 5, "near-2": 6}, "", true, "near-2"},
		{"lower instead of avoided", map[string]uint64{"near-1": 5, "near-2": 6}, "near-2", true, "near-1"},
		{"far instead of avoided", map[string]uint64{"near-1": 6, "far-1": 5}, "near-1", true, "far-1"},
		{"avoided if far ones are not asked", map[string]uint64{"near-1": 6, "far-1": 5}, "near-1", false, "near-1"},
		{"avoided if it is the only one", map[string]uint64{"far-1": 6, "far-2": 4}, "far-1", true, "far-1"},
		{"none is newer", map[string]uint64{"near-1": 4}, "near-1", true, ""},
	}
	now := time.Unix(1000, 0)
	for _, tc := range tests {
		var m Members
		for vm, revision := range tc.revisions {
			failureDomain, _, _ := strings.Cut(vm, "-")
			m.RecordMessage(Member{VM: vm, Role: Entry, FailureDomain: failureDomain, Address: vm, QueryAddress: vm}, map[string]uint64{"k": revision}, now)
		}
		got, _ := m.Newest("k", 4, "near", tc.includeFar, func(m *Member) bool { return m.VM == tc.avoid }, now)
		qt.Check(t, got.VM, qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// messageRecorder records what a daemon received.
type messageRecorder struct {
	mu      sync.Mutex
	load    map[string]map[string]placer.Load
	crashes []blocker.Crash
	replica []ReplicaState
	updated chan struct{}
}

func (r *messageRecorder) notify() {
	select {
	case r.updated <- struct{}{}:
	default:
	}
}

// TestSteadyInterval guards against a new replica state that is sent only once and
// lost, and against frequent messages of agents while the state is steady.
func TestSteadyInterval(t *testing.T) {
	now := time.Unix(1000, 0)
	state := ReplicaState{Up: true, Versions: map[string]int{"m": 1}}
	g := &Gossiper{NearInterval: time.Second, SteadyInterval: 2 * time.Second, Replica: func() *ReplicaState { s := state; return &s }}
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
		{"sent again", func() {}, 2 * time.Second, time.Second},
		{"the same version", func() {}, 2 * time.Second, 2 * time.Second},
		{"down", func() { state.Up = false }, 0, time.Second},
	}
	for _, tc := range tests {
		now = now.Add(tc.after)
		tc.change()
		g.compose(Member{Role: Agent}, now)
		qt.Check(t, g.nearInterval(now), qt.Equals, tc.want, qt.Commentf(tc.name))
	}
}

// recordingConn is a connection that records the messages sent.
type recordingConn struct {
	net.PacketConn
	sent []message
}

// WriteTo implements net.PacketConn.
func (p *recordingConn) WriteTo(b []byte, _ net.Addr) (int, error) {
	var m message
	if err := json.Unmarshal(b, &m); err != nil {
		return 0, err
	}
	p.sent = append(p.sent, m)
	return len(b), nil
}

// TestMemberListTraffic guards against member lists from all entry daemons to all
// agents, and to all daemons of other failure domains. In a large deployment, such
// lists were most of the traffic between regions.
func TestMemberListTraffic(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	tests := []struct {
		role                  Role
		requests, memberLists int
	}{
		{Agent, 1, 0},
		{Entry, 1, maxMemberListTargets},
	}
	for _, tc := range tests {
		conn := &recordingConn{}
		g := &Gossiper{Conn: conn, Log: zap.NewNop(), Self: func() Member { return Member{VM: "self", Role: tc.role, Address: "127.0.0.1:1", FailureDomain: "a"} }}
		for i := range 10 {
			g.Members.AddReported([]Member{{VM: strconv.Itoa(i), Role: Entry, FailureDomain: "b", Address: "127.0.0.1:" + strconv.Itoa(100+i)}}, now)
		}
		for range 3 {
			g.sendRound(true, now)
		}
		requests, memberLists := 0, 0
		for _, m := range conn.sent {
			if m.RequestMembers {
				requests++
			}
			if m.Members != nil {
				memberLists++
			}
		}
		c.Check(requests, qt.Equals, tc.requests, qt.Commentf(string(tc.role)))
		c.Check(memberLists <= 3*tc.memberLists, qt.IsTrue, qt.Commentf("%s: %d", tc.role, memberLists))
	}
}

// TestMeshFromOneSeed guards against daemons that do not find each other through one
// seed, and against loads, crashes and replica states that do not arrive.
func TestMeshFromOneSeed(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var gossipers []*Gossiper
	recorders := make([]*messageRecorder, 4)
	for i := range 4 {
		conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
		c.Assert(err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		address := conn.LocalAddr().String()
		self := Member{VM: strconv.Itoa(i), Role: Entry, FailureDomain: "d" + strconv.Itoa(i%2), Address: address, Incarnation: 1}
		recorder := &messageRecorder{load: map[string]map[string]placer.Load{}, updated: make(chan struct{}, 1)}
		recorders[i] = recorder
		g := &Gossiper{
			Conn: conn, Self: func() Member { return self }, Log: zap.NewNop(),
			SharedInterval: 5 * time.Millisecond, NearInterval: 5 * time.Millisecond, DigestInterval: 10 * time.Millisecond,
			Load:       func() map[string]placer.Load { return map[string]placer.Load{"r": {Requests: i}} },
			DomainLoad: func(time.Time) map[string]placer.Load { return map[string]placer.Load{"r": {Requests: 10 + i}} },
			OnLoad:     recorder.setLoad,
			OnCrash:    recorder.addCrash,
			OnReplica:  recorder.addReplica,
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
	gossipers[1].AnnounceCrash(crash, time.Now())
	// Daemons 0 and 2 share a failure domain, and 0 sends its summary.
	loads := [][]string{{"2", "summary of 1"}, {"summary of 0"}, {"0", "summary of 1"}}
	for i := range 3 {
		recorders[i].waitFor(func() bool {
			hasLoads := !slices.ContainsFunc(loads[i], func(name string) bool { return recorders[i].load[name] == nil })
			hasCrash := i == 1 || len(recorders[i].crashes) > 0
			return hasLoads && hasCrash && len(recorders[i].replica) > 0
		})
	}
	recorders[1].mu.Lock()
	c.Assert(recorders[1].load["summary of 0"]["r"].Requests, qt.Equals, 10)
	recorders[1].mu.Unlock()
	recorders[0].mu.Lock()
	defer recorders[0].mu.Unlock()
	c.Assert(recorders[0].load["2"]["r"].Requests, qt.Equals, 2)
	c.Assert(recorders[0].load["summary of 1"]["r"].Requests, qt.Equals, 11)
	c.Assert(recorders[0].crashes[0], qt.DeepEquals, crash)
	c.Assert(recorders[0].replica[0], qt.DeepEquals, ReplicaState{Address: "e:1", Up: true})
}

func (r *messageRecorder) setLoad(from Member, summary bool, load map[string]placer.Load, _ time.Time) {
	name := from.VM
	if summary {
		name = "summary of " + name
	}
	r.mu.Lock()
	r.load[name] = load
	r.mu.Unlock()
	r.notify()
}

func (r *messageRecorder) addCrash(c blocker.Crash, _ time.Time) bool {
	r.mu.Lock()
	isNew := !slices.ContainsFunc(r.crashes, func(known blocker.Crash) bool { return reflect.DeepEqual(known, c) })
	r.crashes = append(r.crashes, c)
	r.mu.Unlock()
	r.notify()
	return isNew
}

func (r *messageRecorder) addReplica(s ReplicaState, _ time.Time) {
	r.mu.Lock()
	r.replica = append(r.replica, s)
	r.mu.Unlock()
	r.notify()
}

// waitFor waits until the condition holds. The timeout of the test ends a wait for a
// condition that never holds.
func (r *messageRecorder) waitFor(ok func() bool) {
	for {
		r.mu.Lock()
		done := ok()
		r.mu.Unlock()
		if done {
			return
		}
		<-r.updated
	}
}
