package picker

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// configuration is the configuration of a picker in a test.
type configuration struct {
	revision *parser.Revision
}

func (c *configuration) current() *parser.Revision { return c.revision }

// evacuate replaces the configuration by one that evacuates the failure domains.
func (c *configuration) evacuate(domains ...string) {
	set := parser.NewSet()
	for _, d := range domains {
		set.Add(&parser.Evacuation{Kind: parser.KindEvacuation, Name: d, FailureDomain: d})
	}
	set.Add(&parser.Route{Kind: parser.KindRoute, Name: "restricted", Regions: []string{"r1"}})
	number := uint64(1)
	if c.revision != nil {
		number = c.revision.Number + 1
	}
	c.revision = &parser.Revision{Number: number, Set: set}
}

func newConfiguredPicker(t testing.TB, all []Candidate, domains ...string) (*Picker, *configuration) {
	t.Helper()
	p := newPicker(t, nil)
	cfg := &configuration{}
	cfg.evacuate(domains...)
	p.Config = cfg.current
	p.Update(all, start)
	return p, cfg
}

// TestRestrictedPicks guards against a pick in an evacuated failure domain or outside
// of a request's regions, against capacity that counts such servers, and against a
// rejection without a reason. Domains d0, d2 and d4 are in region r0, the others in r1.
func TestRestrictedPicks(t *testing.T) {
	const (
		evacuated = "every failure domain in which a replica of m could run the request is evacuated"
		elsewhere = "no replica of m is ready in a region in which the request may run"
	)
	tests := []struct {
		name      string
		evacuated []string
		regions   matcher.Regions
		domains   []string
		refusal   string
	}{
		{name: "no restriction", domains: []string{"d0", "d1", "d2", "d3", "d4"}},
		{name: "own failure domain evacuated", evacuated: []string{"d0"}, domains: []string{"d1", "d2", "d3", "d4"}},
		{name: "unknown failure domain", evacuated: []string{"d9"}, domains: []string{"d0", "d1", "d2", "d3", "d4"}},
		{name: "all evacuated", evacuated: []string{"d0", "d1", "d2", "d3", "d4"}, refusal: evacuated},
		{name: "one region", regions: matcher.Regions{"r1"}, domains: []string{"d1", "d3"}},
		{name: "two regions", regions: matcher.Regions{"r1", "r0"}, domains: []string{"d0", "d1", "d2", "d3", "d4"}},
		{name: "no region", regions: matcher.Regions{}, refusal: elsewhere},
		{name: "region without servers", regions: matcher.Regions{"r7"}, refusal: elsewhere},
		{name: "region and evacuation", evacuated: []string{"d1"}, regions: matcher.Regions{"r1"}, domains: []string{"d3"}},
		{name: "whole region evacuated", evacuated: []string{"d1", "d3"}, regions: matcher.Regions{"r1"}, refusal: evacuated},
	}
	for _, tt := range tests {
		for _, policy := range []Policy{TwoChoices{}, Random{}, RoundRobin{}, LeastReported{}, LinearScan{}} {
			for _, prefix := range []uint64{0, 5} {
				t.Run(fmt.Sprintf("%s, %T, prefix %d", tt.name, policy, prefix), func(t *testing.T) {
					c := qt.New(t)
					p, _ := newConfiguredPicker(t, directory(10), tt.evacuated...)
					p.Policy = policy
					allowed := map[string]bool{}
					for _, d := range tt.domains {
						allowed[d] = true
					}
					for i := range 200 {
						choice, ok := p.Pick(&Query{Target: model, PrefixHash: prefix * uint64(i+1), Regions: tt.regions}, start)
						c.Assert(ok, qt.Equals, tt.refusal == "")
						if ok {
							c.Assert(allowed[choice.failureDomain], qt.IsTrue, qt.Commentf("picked in %s", choice.failureDomain))
							c.Assert(p.Permitted(choice, tt.regions, start), qt.IsNil)
						}
					}
					c.Check(p.Refusal(model, tt.regions, start), qt.Equals, tt.refusal)
					c.Check(p.Ready(model, tt.regions, start), qt.Equals, tt.refusal == "")
					// directory has two servers in each failure domain.
					c.Check(p.Capacity(model, tt.regions, start), qt.Equals, 2*32*len(tt.domains))
				})
			}
		}
	}
}

// TestPermittedFollowsConfiguration guards against an attempt that is sent after its
// failure domain was evacuated, because its server was chosen before.
func TestPermittedFollowsConfiguration(t *testing.T) {
	c := qt.New(t)
	p, cfg := newConfiguredPicker(t, near(1))
	choice, ok := p.Pick(&Query{Target: model}, start)
	c.Assert(ok, qt.IsTrue)
	p.Update(nil, start)
	c.Assert(p.Permitted(choice, nil, start), qt.IsNil)
	c.Assert(p.Permitted(choice, matcher.Regions{"r1"}, start), qt.ErrorMatches, `the request may not run in region "r0" of VM "vm0"`)
	cfg.evacuate("d0")
	c.Assert(p.Permitted(choice, nil, start), qt.ErrorMatches, `failure domain "d0" of VM "vm0" is evacuated`)
	c.Assert(p.Evacuations(), qt.Equals, 1)
	_, ok = p.Pick(&Query{Target: model}, start)
	c.Assert(ok, qt.IsFalse)
	// A server that starts during the evacuation is not used either.
	restarted := near(1)
	restarted[0].Replica.Incarnation = "j"
	p.Update(restarted, start)
	_, ok = p.Pick(&Query{Target: model}, start)
	c.Assert(ok, qt.IsFalse)
	cfg.evacuate()
	c.Assert(p.Permitted(choice, nil, start), qt.IsNil)
	c.Assert(p.Evacuations(), qt.Equals, 0)
	// Another evacuation that begins before the share has risen takes precedence.
	cfg.evacuate("d0")
	_, ok = p.Pick(&Query{Target: model}, start.Add(time.Second))
	c.Assert(ok, qt.IsFalse)
}

// TestReturnIsGradual guards against all requests at once on the idle servers of a
// failure domain whose evacuation has ended, also on one that starts then, and against
// a share that never becomes full again.
func TestReturnIsGradual(t *testing.T) {
	all := near(8)
	for i, cand := range all {
		if i >= 4 {
			cand.Replica.FailureDomain = "d2"
		}
	}
	tests := []struct {
		name string
		// after is the time since the end of the evacuation, and low and high are bounds
		// of the requests on a returning server relative to those on the others.
		after     time.Duration
		low, high float64
	}{
		{name: "at once", low: 0, high: 0.3},
		{name: "half", after: returnTime / 2, low: 0.2, high: 0.7},
		{name: "full", after: returnTime, low: 0.9, high: 1.1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			p, cfg := newConfiguredPicker(t, nil, "d2")
			p.FailureDomain = "d5"
			p.Update(all, start)
			cfg.evacuate()
			p.Update(all, start)
			now := start.Add(tt.after)
			counts := map[string]int{}
			for range 8 * 24 {
				choice, ok := p.Pick(&Query{Target: model}, now)
				c.Assert(ok, qt.IsTrue)
				counts[choice.failureDomain]++
			}
			ratio := float64(counts["d2"]) / float64(counts["d0"])
			c.Check(ratio >= tt.low && ratio <= tt.high, qt.IsTrue, qt.Commentf("%d and %d", counts["d2"], counts["d0"]))
			c.Check(p.Capacity(model, nil, now) <= 4*32+4*max(1, int(32*float64(tt.after)/float64(returnTime))), qt.IsTrue)
		})
	}
}

// TestRegionOutsideOfSubset guards against a restricted request that is rejected
// because the daemon's subset has no server of its regions, and against other
// requests on servers outside of the subset.
func TestRegionOutsideOfSubset(t *testing.T) {
	c := qt.New(t)
	all := directory(400)
	for i, cand := range all {
		// 4 of 400 servers are in region far.
		if i%100 == 99 {
			cand.Replica.Region, cand.Replica.FailureDomain = "far", "f0"
		}
	}
	p, cfg := newConfiguredPicker(t, all)
	p.SubsetSize = 8
	p.Update(all, start)
	inSubset := map[*Server]bool{}
	for _, s := range p.Servers(model) {
		inSubset[s] = true
		c.Assert(s.region, qt.Not(qt.Equals), "far", qt.Commentf("the seed of the test's names puts no far server into the subset"))
	}
	c.Assert(p.Capacity(model, matcher.Regions{"far"}, start), qt.Equals, 4*32)
	c.Assert(p.Reserved(model, matcher.Regions{"far"}, start), qt.Equals, 4*32)
	c.Assert(p.Reserved(model, nil, start), qt.Equals, 0)
	for range 100 {
		choice, ok := p.Pick(&Query{Target: model, Regions: matcher.Regions{"far"}}, start)
		c.Assert(ok, qt.IsTrue)
		c.Assert(choice.region, qt.Equals, "far")
		choice, ok = p.Pick(&Query{Target: model}, start)
		c.Assert(ok, qt.IsTrue)
		c.Assert(inSubset[choice.Server], qt.IsTrue)
	}
	cfg.evacuate("f0")
	_, ok := p.Pick(&Query{Target: model, Regions: matcher.Regions{"far"}}, start)
	c.Assert(ok, qt.IsFalse)
}

// TestRestrictedPickAllocations checks that the restrictions of a configuration and of a
// request cost a pick and the check before a send no memory.
func TestRestrictedPickAllocations(t *testing.T) {
	p, _ := newConfiguredPicker(t, directory(targetReplicas), "d2")
	regions := matcher.Regions{"r1"}
	allocs := testing.AllocsPerRun(1000, func() {
		q := Query{Subject: "req", Target: model, Regions: regions}
		choice, _ := p.Pick(&q, start)
		if p.Permitted(choice, regions, start) != nil {
			t.Fatal("a server in the regions is not permitted")
		}
		choice.Done(true, start)
	})
	qt.Assert(t, allocs, qt.Equals, 0.0)
}

// TestLoadReportDuringEvacuation guards against a load report or a new record of the
// directory that makes a server of an evacuated failure domain usable again.
func TestLoadReportDuringEvacuation(t *testing.T) {
	c := qt.New(t)
	all := near(1)
	p, _ := newConfiguredPicker(t, all, "d0")
	all[0].Replica.Sequence, all[0].Load = 9, &messenger.Load{Sequence: 9, Rate: 100}
	p.Update(all, start.Add(time.Second))
	c.Assert(p.Capacity(model, nil, start.Add(time.Second)), qt.Equals, 0)
	_, ok := p.Pick(&Query{Target: model}, start.Add(time.Second))
	c.Assert(ok, qt.IsFalse)
}
