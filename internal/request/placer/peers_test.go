package placer

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/lentilbridge/lentilbridge/internal/request/divider"
)

// TestPeerLoads guards against a load that differs from the sum of the recent reports:
// of peers that report again, fall silent, or are replaced, and of replicas that come
// and go.
func TestPeerLoads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		p := &Placer{FailureDomain: "a"}
		reports := map[string]peerLoad{}
		replicas := func() []Replica {
			var out []Replica
			for i := range rapid.IntRange(1, 4).Draw(t, "replicas") {
				out = append(out, Replica{ID: fmt.Sprint(i), Service: "s", Slots: 100})
			}
			return out
		}
		list := replicas()
		p.Update(list, now)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 5).Draw(t, "update") == 0 {
				list = replicas()
				p.Update(list, now)
			}
			vm := fmt.Sprint("vm-", rapid.IntRange(0, 5).Draw(t, "vm"))
			load := map[string]Load{}
			for i := range 4 {
				if n := rapid.IntRange(0, 3).Draw(t, "load"); n > 0 {
					load[fmt.Sprint(i)] = Load{Requests: n, PrefillMs: 10 * n}
				}
			}
			p.SetPeerLoad(vm, load, now)
			reports[vm] = peerLoad{replicas: load, at: now}
			for _, r := range list {
				want := Load{}
				for _, report := range reports {
					if now.Sub(report.at) <= maxPeerLoadAge {
						want.Requests += report.replicas[r.ID].Requests
						want.PrefillMs += report.replicas[r.ID].PrefillMs
					}
				}
				p.expirePeers(now)
				if got := p.byID[r.ID].others; got != want {
					t.Fatalf("load of replica %s is %v, want %v", r.ID, got, want)
				}
				if got := p.byID[r.ID].domainRequests; got != want.Requests {
					t.Fatalf("replica %s has %d requests of the failure domain, want %d", r.ID, got, want.Requests)
				}
			}
		}
	})
}

// BenchmarkPlace measures a choice among the replicas of a large fleet, with the reports
// of the failure domain and of four others.
func BenchmarkPlace(b *testing.B) {
	now := time.Unix(1000, 0)
	p := &Placer{VM: "vm-0", FailureDomain: "domain-0"}
	var list []Replica
	for i := range 265 {
		list = append(list, Replica{ID: fmt.Sprint("replica-", i), Service: "s", Slots: 8, FailureDomain: fmt.Sprint("domain-", i%5), Engine: &Engine{PrefillTokensPerSecond: 12700, Step: 13 * time.Millisecond, Stride: 4}})
	}
	p.Update(list, now)
	for peer := range 33 {
		load := map[string]Load{}
		for i := range list {
			if i%5 == 0 {
				load[list[i].ID] = Load{Requests: 1}
			}
		}
		p.SetPeerLoad(fmt.Sprint("vm-", peer+1), load, now.Add(time.Hour))
	}
	for i := range 4 {
		p.SetDomainLoad(fmt.Sprint("domain-", i+1), map[string]Load{}, now.Add(time.Hour))
	}
	q := Query{Service: "s", PromptTokens: 900, TargetLatency: 600 * time.Millisecond}
	for b.Loop() {
		now = now.Add(50 * time.Millisecond)
		p.mu.Lock()
		placed, ok := p.choose(q, 0, now)
		p.mu.Unlock()
		if ok {
			placed.Done(Neutral, now)
		}
	}
}

// TestReportsOfManyPeers guards against reports of other programs that fill the memory, and against
// limits that still hold once the reports are old.
func TestReportsOfManyPeers(t *testing.T) {
	c := qt.New(t)
	now := time.Now()
	p := &Placer{}
	report := map[string]Load{}
	for i := range 1000 {
		report[fmt.Sprint("replica-", i)] = Load{Requests: 1}
	}
	for i := range 2 * divider.DefaultMaxPeers {
		p.SetPeerLoad(fmt.Sprint("a-", i), nil, now)
	}
	c.Check(len(p.peers), qt.Equals, divider.DefaultMaxPeers)
	now = now.Add(maxPeerLoadAge + time.Second)
	for i := range divider.DefaultMaxPeers {
		p.SetPeerLoad(fmt.Sprint("b-", i), report, now)
	}
	c.Check(p.peerLoads, qt.Equals, maxPeerLoads/len(report)*len(report))
	now = now.Add(maxPeerLoadAge + time.Second)
	p.SetPeerLoad("c", report, now)
	p.SetPeerLoad("d", report, now)
	c.Check(len(p.peers) <= 2, qt.IsTrue, qt.Commentf("%d", len(p.peers)))
	c.Check(p.peers["d"].replicas, qt.HasLen, len(report))
	c.Check(p.peerLoads <= 2*len(report), qt.IsTrue)
}
