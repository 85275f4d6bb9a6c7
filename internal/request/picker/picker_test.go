package picker

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// targetReplicas is the number of replicas of a large deployment.
const targetReplicas = 4300

var (
	model = identifier.Target{Model: "m"}
	start = time.Unix(1_000_000, 0)
)

// directory returns n replicas in 5 failure domains of 2 regions.
func directory(n int) []Candidate {
	all := make([]Candidate, n)
	for i := range all {
		domain := i % 5
		all[i] = Candidate{
			Replica: &messenger.Replica{
				Vm: fmt.Sprintf("vm%d", i), Model: "m", Version: "v1", Incarnation: "i",
				Region: fmt.Sprintf("r%d", domain%2), FailureDomain: fmt.Sprintf("d%d", domain),
				State: messenger.ReplicaState_REPLICA_STATE_READY,
			},
			Load: &messenger.Load{Queued: uint32(i % 7), Rate: 100},
		}
	}
	return all
}

// near returns n replicas in the failure domain of the entry daemon.
func near(n int) []Candidate {
	all := directory(n)
	for _, c := range all {
		c.Replica.Region, c.Replica.FailureDomain = "r0", "d0"
		c.Load.Queued = 0
	}
	return all
}

func newPicker(t testing.TB, all []Candidate) *Picker {
	t.Helper()
	const seed = 7
	t.Logf("seed %d", seed)
	p := &Picker{VM: "entry", Region: "r0", FailureDomain: "d0", Random: rand.NewPCG(seed, seed).Uint64}
	p.Update(all, start)
	return p
}

// TestPickAllocations checks that a pick does not allocate memory.
func TestPickAllocations(t *testing.T) {
	tests := []struct {
		name   string
		prefix uint64
	}{
		{name: "two choices"},
		{name: "prefix affinity", prefix: 99},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := newPicker(t, directory(targetReplicas))
			allocs := testing.AllocsPerRun(1000, func() {
				q := Query{Subject: "req", Target: model, PrefixHash: tt.prefix}
				c, _ := p.Pick(&q, start)
				c.Done(true, start)
			})
			qt.Assert(t, allocs, qt.Equals, 0.0)
		})
	}
}

// TestPickConditions guards against picking a server that does not match the
// query, or that is less suitable than another one.
func TestPickConditions(t *testing.T) {
	tests := []struct {
		name   string
		change func(all []Candidate, q *Query)
		want   string
	}{
		{name: "near one first", change: func(all []Candidate, _ *Query) { all[1].Replica.FailureDomain = "d2" }, want: "vm0"},
		{name: "region before other regions", change: func(all []Candidate, _ *Query) {
			all[0].Replica.FailureDomain = "d2"
			all[1].Replica.Region = "r1"
		}, want: "vm0"},
		{name: "far one when the near one is loaded", change: func(all []Candidate, _ *Query) {
			all[0].Load.Queued = 50
			all[1].Replica.FailureDomain = "d2"
		}, want: "vm1"},
		{name: "not a suspect one", change: func(all []Candidate, _ *Query) { all[0].Suspect = true }, want: "vm1"},
		{name: "a suspect one when there is no other", change: func(all []Candidate, _ *Query) {
			all[0].Suspect = true
			all[1].Replica.Model = "other"
		}, want: "vm0"},
		{name: "not a draining one", change: func(all []Candidate, _ *Query) {
			all[0].Replica.State = messenger.ReplicaState_REPLICA_STATE_DRAINING
		}, want: "vm1"},
		{name: "not one that reports draining", change: func(all []Candidate, _ *Query) { all[0].Load.Draining = true }, want: "vm1"},
		{name: "the wanted version", change: func(all []Candidate, q *Query) {
			all[1].Replica.Version = "v2"
			q.Version = "v2"
		}, want: "vm1"},
		{name: "no other version", change: func(_ []Candidate, q *Query) { q.Version = "v2" }},
		{name: "the wanted adapter", change: func(all []Candidate, q *Query) {
			all[1].Replica.Adapters = []string{"a"}
			q.Target.Adapter = "a"
		}, want: "vm1"},
	}
	for _, tt := range tests {
		for _, prefix := range []uint64{0, 5} {
			t.Run(fmt.Sprintf("%s, prefix %d", tt.name, prefix), func(t *testing.T) {
				all := near(2)
				q := Query{Target: model, PrefixHash: prefix}
				tt.change(all, &q)
				p := newPicker(t, all)
				for range 50 {
					c, ok := p.Pick(&q, start)
					qt.Assert(t, ok, qt.Equals, tt.want != "")
					if ok {
						qt.Assert(t, c.VM, qt.Equals, tt.want)
						c.Release()
					}
				}
			})
		}
	}
}

// TestPrefixBound guards against a frequent prefix that overloads its server.
func TestPrefixBound(t *testing.T) {
	p := newPicker(t, near(8))
	q := Query{Target: model, PrefixHash: 12}
	for picked := 1; picked <= 160; picked++ {
		_, ok := p.Pick(&q, start)
		qt.Assert(t, ok, qt.IsTrue)
		for _, s := range p.Servers(model) {
			mean := float64(picked) / 8
			qt.Assert(t, float64(s.InFlight()) <= max(maxAffinityLoadRatio*mean, mean+1), qt.IsTrue)
		}
	}
}

// TestPrefixBoundOfReportedLoad guards against a prefix that stays on a server
// overloaded by other entry daemons.
func TestPrefixBoundOfReportedLoad(t *testing.T) {
	all := near(8)
	p := newPicker(t, all)
	q := Query{Target: model, PrefixHash: 12}
	first, ok := p.Pick(&q, start)
	qt.Assert(t, ok, qt.IsTrue)
	first.Release()
	for i, running := range []uint32{8, 16} {
		now := start.Add(time.Duration(i+1) * 10 * time.Second)
		for _, c := range all {
			c.Load.Sequence = uint64(i + 1)
			c.Load.Running = 8
			if c.Replica.GetVm() == first.VM {
				c.Load.Running = running
			}
		}
		p.Update(all, now)
		c, ok := p.Pick(&q, now)
		qt.Assert(t, ok, qt.IsTrue)
		c.Release()
		qt.Assert(t, c.VM == first.VM, qt.Equals, running == 8, qt.Commentf("%d running", running))
	}
}

// TestHerding guards against sending all requests to the server that looked
// least loaded in the last, outdated reports.
func TestHerding(t *testing.T) {
	all := near(8)
	for i, c := range all {
		c.Load.Queued = uint32(min(i, 1))
	}
	p := newPicker(t, all)
	for range 80 {
		_, ok := p.Pick(&Query{Target: model}, start)
		qt.Assert(t, ok, qt.IsTrue)
	}
	for _, s := range p.Servers(model) {
		qt.Assert(t, s.InFlight() <= 13, qt.IsTrue, qt.Commentf("%d of 80 on %s", s.InFlight(), s.VM))
	}
}

// TestUpdateWhilePicking guards against data races between updates of the
// directory and picks, and against losing counters in an update.
func TestUpdateWhilePicking(t *testing.T) {
	all := near(20)
	p := &Picker{VM: "entry", Region: "r0", FailureDomain: "d0"}
	p.Update(all, start)
	var done sync.WaitGroup
	for range 4 {
		done.Add(1)
		go pickMany(p, &done)
	}
	for i := range 50 {
		p.Update(all[i%10:], start)
	}
	done.Wait()
	p.Update(all, start)
	for _, s := range p.Servers(model) {
		qt.Assert(t, s.InFlight(), qt.Equals, 0)
	}
}

// pickMany picks servers and reports results while the directory is updated.
func pickMany(p *Picker, done *sync.WaitGroup) {
	defer done.Done()
	for i := range 2000 {
		c, ok := p.Pick(&Query{Target: model, PrefixHash: uint64(i % 3)}, start)
		if ok {
			c.Report(&messenger.Load{Sequence: uint64(i), Rate: 1}, start)
			c.FirstToken(time.Millisecond, start)
			c.Done(i%4 != 0, start)
		}
	}
}

// TestPrefixAffinity guards against moving a prefix whose server is still in the
// directory and not overloaded.
func TestPrefixAffinity(t *testing.T) {
	all := near(16)
	p := newPicker(t, all)
	server := map[uint64]string{}
	for round := range 3 {
		moved := 0
		for prefix := uint64(1); prefix <= 200; prefix++ {
			c, _ := p.Pick(&Query{Target: model, PrefixHash: prefix}, start)
			c.Release()
			if server[prefix] != "" && server[prefix] != c.VM {
				moved++
				qt.Assert(t, server[prefix], qt.Equals, "vm0")
			}
			server[prefix] = c.VM
		}
		if round == 1 {
			qt.Assert(t, moved, qt.Equals, 0)
		}
		if round == 1 {
			p.Update(all[1:], start)
		}
	}
}

// TestCacheEvents guards against moving prefixes to a new server while an old
// one has them cached, and against keeping them there after an eviction.
func TestCacheEvents(t *testing.T) {
	all := near(16)
	p := newPicker(t, all[:8])
	event := func(vm string, hash uint64, removed bool) {
		p.ApplyCacheEvents(vm, "i", []*messenger.CacheEvent{{PrefixHash: hash, Removed: removed}})
	}
	servers := func() (names []string) {
		for prefix := uint64(1); prefix <= 100; prefix++ {
			c, _ := p.Pick(&Query{Target: model, PrefixHash: prefix}, start)
			c.Release()
			names = append(names, c.VM)
		}
		return names
	}
	before := servers()
	for i, vm := range before {
		event(vm, uint64(i+1), false)
	}
	p.Update(all, start)
	qt.Assert(t, servers(), qt.DeepEquals, before)
	for i, vm := range before {
		event(vm, uint64(i+1), true)
	}
	hashed := newPicker(t, all)
	for i, vm := range servers() {
		c, _ := hashed.Pick(&Query{Target: model, PrefixHash: uint64(i + 1)}, start)
		c.Release()
		qt.Assert(t, vm, qt.Equals, c.VM)
	}
	qt.Assert(t, servers(), qt.Not(qt.DeepEquals), before)
}

// TestEjection guards against sending many requests to servers that fail fast,
// and against ejecting more than a third of a model's replicas.
func TestEjection(t *testing.T) {
	p := newPicker(t, near(9))
	failing := map[string]bool{"vm0": true, "vm1": true, "vm2": true, "vm3": true, "vm4": true}
	picked := 0
	const requests = 3000
	for i := range requests {
		now := start.Add(time.Duration(i) * time.Millisecond)
		c, _ := p.Pick(&Query{Target: model}, now)
		if failing[c.VM] {
			picked++
		}
		c.Done(!failing[c.VM], now)
		ejected := 0
		for _, s := range p.Servers(model) {
			if s.ejectedUntil.Load() > now.UnixNano() {
				ejected++
			}
		}
		qt.Assert(t, ejected <= 3, qt.IsTrue)
	}
	qt.Assert(t, picked < requests/4, qt.IsTrue, qt.Commentf("%d of %d picks on failing servers", picked, requests))
}

// TestSubset guards against subsets that are too large, that change much when a
// few replicas leave, or that have no replicas outside the failure domain.
func TestSubset(t *testing.T) {
	all := make([]SubsetReplica, targetReplicas)
	for i := range all {
		all[i] = SubsetReplica{VM: fmt.Sprintf("vm%d", i), Distance: i % 3}
	}
	chosen := Subset("entry", all, DefaultSubsetSize)
	qt.Assert(t, chosen, qt.HasLen, DefaultSubsetSize)
	perDistance := [numDistances]int{}
	names := map[string]bool{}
	for _, i := range chosen {
		perDistance[all[i].Distance]++
		names[all[i].VM] = true
	}
	qt.Assert(t, perDistance, qt.Equals, [numDistances]int{32, 16, 16})
	kept := 0
	for _, i := range Subset("entry", all[100:], DefaultSubsetSize) {
		if names[all[100+i].VM] {
			kept++
		}
	}
	qt.Assert(t, kept >= DefaultSubsetSize-8, qt.IsTrue, qt.Commentf("%d of %d kept", kept, DefaultSubsetSize))
	qt.Assert(t, Subset("entry", all[:5], DefaultSubsetSize), qt.HasLen, 5)
}

func BenchmarkPick(b *testing.B) {
	tests := []struct {
		name   string
		policy Policy
		subset int
		prefix uint64
	}{
		{name: "two-choices", policy: TwoChoices{}},
		{name: "prefix", policy: TwoChoices{}, prefix: 99},
		{name: "two-choices-without-subset", policy: TwoChoices{}, subset: targetReplicas},
		{name: "random", policy: Random{}, subset: targetReplicas},
		{name: "round-robin", policy: RoundRobin{}, subset: targetReplicas},
		{name: "least-reported", policy: LeastReported{}, subset: targetReplicas},
		{name: "linear-scan", policy: LinearScan{}, subset: targetReplicas},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			p := &Picker{VM: "entry", Region: "r0", FailureDomain: "d0", Policy: tt.policy, SubsetSize: tt.subset}
			p.Update(directory(targetReplicas), start)
			b.ReportAllocs()
			for b.Loop() {
				q := Query{Subject: "req", Target: model, PrefixHash: tt.prefix}
				c, _ := p.Pick(&q, start)
				c.Done(true, start)
			}
		})
	}
}
