package gossiper

import (
	"context"
	"net"
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
			HeardLoad:    h.setLoad,
			HeardCrash:   h.addCrash,
			HeardReplica: h.addReplica,
		}
		if i > 0 {
			g.Seeds = []string{gossipers[0].Self().Address}
		}
		if i == 3 {
			self.Role = Agent
			g.Load = nil
			g.Replica = func() *ReplicaState { return &ReplicaState{Address: "e:1", Up: true} }
		}
		gossipers = append(gossipers, g)
		go g.Run(ctx)
		go g.Receive(ctx)
	}
	crash := blocker.Crash{Fingerprint: 7, Replica: "r@e:1"}
	gossipers[1].Crashed(crash)
	for i := range 3 {
		heard[i].waitFor(func() bool {
			n := len(heard[i].load)
			hasCrash := i == 1 || len(heard[i].crashes) > 0
			return n == 2 && hasCrash && len(heard[i].replica) > 0
		})
	}
	heard[0].mu.Lock()
	defer heard[0].mu.Unlock()
	c.Assert(heard[0].crashes[0], qt.Equals, crash)
	c.Assert(heard[0].replica[0], qt.DeepEquals, ReplicaState{Address: "e:1", Up: true})
}

func (h *heardBy) setLoad(from Member, load map[string]placer.Load, _ time.Time) {
	h.mu.Lock()
	h.load[from.VM] = load
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
