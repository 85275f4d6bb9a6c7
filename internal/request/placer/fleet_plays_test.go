package placer

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// modelDomains are the failure domains of the plays.
var modelDomains = []string{"a", "b", "c"}

// ofDomain returns whether an engine is in a failure domain.
func ofDomain(domain string) func(e *modelEngine) bool {
	return func(e *modelEngine) bool { return e.domain == domain }
}

// justBelow is the load just below overload, of the capacity.
const justBelow = 0.95

// servable returns the answers in time per second and engine of a fleet without faults under a load
// just below overload.
func servable(t *testing.T, domains []string, kinds []kindOfRequest) float64 {
	const engines = 9
	var perSecond float64
	f := newFleetOfDomains(domains, engines, 9, kinds)
	f.play(constant(justBelow*capacity*engines), 16*time.Second)
	perSecond = f.perSecond(6*time.Second, 16*time.Second) / engines
	return perSecond
}

// TestFaultsUnderOverload guards against faults after which callers get less than the remaining
// replicas can serve: replicas with free slots while daemons refuse requests, because the shares of
// slots don't follow the daemons, the replicas or the demand, or daemons that place more on a
// replica than it has slots. It also guards against callers of a failure domain that are refused
// more often than those of the others.
func TestFaultsUnderOverload(t *testing.T) {
	const (
		engines = 9
		faultAt = 6 * time.Second
		// A play has some hundred requests of each failure domain in the span of the check, which are too
		// few to compare them. Waves of requests that end together make a single play vary as well.
		plays = 4
		// spread is the most by which the refused parts of the failure domains may differ.
		spread = 1.3
	)
	all := []int{0, 1, 2, 3, 4, 5, 6, 7, 8}
	at := func(do func(f *fleet)) []fault { return []fault{{faultAt, do}} }
	tests := []struct {
		name    string
		domains []string
		weights []float64
		loss    float64
		// load is that of all callers, of the capacity of the engines that remain.
		load      float64
		faults    []fault
		remaining float64
		// from and to are the span of the check.
		from, to time.Duration
		// lasting is set if the failure domains must have the same chance. While daemons come and go or have
		// wrong registrations, they don't have it yet.
		lasting bool
	}{
		{"no fault", modelDomains, nil, 0, 1.4, nil, 9, 6 * time.Second, 16 * time.Second, true},
		{"a failure domain is evacuated", modelDomains, nil, 0, 1.4, at(func(f *fleet) {
			f.evacuate("a")
		}), 6, 7 * time.Second, 16 * time.Second, true},
		{"the replicas of a failure domain are lost", modelDomains, nil, 0, 1.4, at(func(f *fleet) {
			f.loseEngines(ofDomain("a"))
		}), 6, 8 * time.Second, 16 * time.Second, true},
		{"a third of the replicas is lost, one failure domain", []string{"a"}, nil, 0, 1.4, at(func(f *fleet) {
			f.loseEngines(func(e *modelEngine) bool { return e.id == "r0" || e.id == "r1" || e.id == "r2" })
		}), 6, 8 * time.Second, 16 * time.Second, true},
		{"a failure domain loads weights", modelDomains, nil, 0, 1.4, at(func(f *fleet) {
			f.loadWeights(ofDomain("a"), 8*time.Second)
		}), 6, 6500 * time.Millisecond, 13500 * time.Millisecond, true},
		{"after a failure domain has loaded weights", modelDomains, nil, 0, 1.4, at(func(f *fleet) {
			f.loadWeights(ofDomain("a"), 2*time.Second)
		}), 9, 9 * time.Second, 16 * time.Second, true},
		// Six replicas load for a second each within three seconds, so that four remain on average.
		{"a failure domain is evacuated, then the others load weights in turn", modelDomains, nil, 0, 1.4, []fault{
			{faultAt, func(f *fleet) { f.evacuate("a") }},
			{faultAt + 3*time.Second, func(f *fleet) { f.loadInTurn("a", 500*time.Millisecond, time.Second) }},
		}, 4, faultAt + 3*time.Second, faultAt + 6*time.Second, false},
		{"all daemons restart", modelDomains, nil, 0, 1.4, at(func(f *fleet) { f.restart(all...) }), 9, faultAt, 10 * time.Second, false},
		{"all daemons restart, one failure domain", []string{"a"}, nil, 0, 1.4, at(func(f *fleet) { f.restart(all...) }), 9, faultAt, 10 * time.Second, false},
		{"half of the daemons restart", modelDomains, nil, 0, 1.4, at(func(f *fleet) { f.restart(0, 1, 2, 3) }), 9, faultAt, 10 * time.Second, false},
		{"half of the daemons restart, one failure domain", []string{"a"}, nil, 0, 1.4, at(func(f *fleet) { f.restart(0, 1, 2, 3) }), 9, faultAt, 10 * time.Second, false},
		{"a daemon is paused", modelDomains, nil, 0, 1.4, at(func(f *fleet) { f.pause(4) }), 9, 8 * time.Second, 14 * time.Second, false},
		{"a daemon is killed", modelDomains, nil, 0, 1.4, at(func(f *fleet) { f.kill(4) }), 9, 8 * time.Second, 14 * time.Second, false},
		{"half of the daemons are killed", modelDomains, nil, 0, 1.4, at(func(f *fleet) { f.kill(0, 1, 2, 3) }), 9, 8 * time.Second, 14 * time.Second, false},
		{"a third of the reports is lost", modelDomains, nil, 0.33, 1.4, nil, 9, 6 * time.Second, 16 * time.Second, true},
		{"all reports are lost", modelDomains, nil, 1, 1.4, nil, 9, 6 * time.Second, 16 * time.Second, true},
		{"a replica registers twice its slots", modelDomains, nil, 0, 1.4, at(func(f *fleet) { f.engines[4].register(24) }), 9, 8 * time.Second, 16 * time.Second, false},
		{"a replica registers half of its slots", modelDomains, nil, 0, 1.4, at(func(f *fleet) { f.engines[4].register(6) }), 8.5, 8 * time.Second, 16 * time.Second, false},
		{"uneven demand of failure domains", modelDomains, []float64{2, 1, 0.5, 2, 1, 0.5, 2, 1, 0.5}, 0, 1.4, nil, 9, 6 * time.Second, 16 * time.Second, true},
		{"uneven demand of daemons", modelDomains, []float64{3, 3, 3, 1, 1, 1, 0.5, 0.5, 0.5}, 0, 1.4, nil, 9, 6 * time.Second, 16 * time.Second, true},
	}
	perEngine := map[int]float64{1: servable(t, []string{"a"}, oneKind), 3: servable(t, modelDomains, oneKind)}
	t.Logf("answers in time per second and engine without faults: %.2f, in 3 failure domains %.2f", perEngine[1], perEngine[3])
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			got, want := 0.0, tc.remaining*perEngine[1]
			refused := make([]float64, len(tc.domains))
			for play := range plays {
				f := newFleetOfDomains(tc.domains, engines, len(all), oneKind)
				f.seed(play)
				f.loss, f.faults = tc.loss, tc.faults
				if tc.weights != nil {
					f.weights = tc.weights
				}
				f.play(func(at time.Duration) float64 {
					if at < faultAt {
						return tc.load * capacity * engines
					}
					return tc.load * capacity * tc.remaining
				}, 16*time.Second)
				got += f.perSecond(tc.from, tc.to) / plays
				for i, domain := range tc.domains {
					refused[i] += f.refusedShare(domain, tc.from, tc.to) / plays
				}
				t.Log(f.trace(tc.from, tc.to))
			}
			t.Logf("answers in time: %.2f of what the replicas can serve; refused by failure domain: %.2f", got/want, refused)
			qt.Check(t, got >= 0.9*want, qt.IsTrue)
			qt.Check(t, slices.Max(refused) <= spread*slices.Min(refused) || !tc.lasting, qt.IsTrue)
		})
	}
}

// TestBurstOfOneRank guards against a burst of one rank that takes the places of the others, and
// against shares of the ranks that stay small for longer than 2 s after its end.
func TestBurstOfOneRank(t *testing.T) {
	const (
		plays      = 8
		from, to   = 6 * time.Second, 10 * time.Second
		engines    = 9
		usualLoad  = 0.8
		afterBurst = 2 * time.Second
		// samplingError is about twice the standard error of the difference of two means.
		samplingError = 0.03
	)
	for _, rank := range []int{0, 2} {
		t.Run(rankedKinds[rank].name, func(t *testing.T) {
			worth := func(burst bool, from, to time.Duration) []float64 {
				out := make([]float64, len(rankedKinds))
				for play := range plays {
					f := newFleetOfDomains(modelDomains, engines, 9, rankedKinds)
					f.seed(play)
					if burst {
						f.burst = &rankBurst{kind: rank, from: 6 * time.Second, to: 10 * time.Second}
					}
					f.play(constant(usualLoad*capacity*engines), 16*time.Second)
					t.Log(f.trace(from, to))
					for i := range f.kinds {
						inTime, late := f.share(i, from, to)
						out[i] += (inTime + lateWorth*late) / plays
					}
				}
				return out
			}
			during := worth(true, from, to)
			after, usual := worth(true, to+afterBurst, to+2*afterBurst), worth(false, to+afterBurst, to+2*afterBurst)
			t.Logf("worth by rank: %.2f in the burst, %.2f two seconds after it, %.2f without it", during, after, usual)
			qt.Check(t, during[0] >= during[2]-samplingError, qt.IsTrue)
			for i := range rankedKinds {
				qt.Check(t, during[i] >= 0.3, qt.IsTrue)
				qt.Check(t, after[i] >= 0.9*usual[i], qt.IsTrue, qt.Commentf("rank %d", i))
			}
		})
	}
}

// smallService is a service with few replicas.
type smallService struct {
	name             string
	domains          []string
	engines, daemons int
	reports          bool
}

// inTime returns the answers in time per second under a load.
func (s smallService) inTime(t *testing.T, load float64) (perSecond float64) {
	const plays = 4
	for play := range plays {
		f := newFleetOfDomains(s.domains, s.engines, s.daemons, oneKind)
		f.seed(play)
		f.reports = s.reports
		f.play(constant(load*capacity*float64(s.engines)), 16*time.Second)
		perSecond += f.perSecond(6*time.Second, 16*time.Second) / plays
		t.Log(f.trace(6*time.Second, 16*time.Second))
	}
	return perSecond
}

// check compares a service with one whose only daemon knows all that it has placed.
func (s smallService) check(t *testing.T) {
	for _, load := range []float64{0.5, 1.4} {
		alone := smallService{domains: []string{"a"}, engines: s.engines, daemons: 1, reports: true}
		got, want := s.inTime(t, load), 0.0
		if s.reports {
			want = alone.inTime(t, min(load, justBelow))
		} else {
			// Without reports, each failure domain uses its own replica.
			alone.engines = 1
			want = float64(s.engines) * alone.inTime(t, min(load, justBelow))
		}
		t.Logf("load %.1f: %.2f of what one daemon serves", load, got/want)
		qt.Check(t, got >= 0.9*want, qt.IsTrue)
	}
}

// TestSmallServices guards against shares of slots that leave the few slots of a small service unused, or
// that overload them: with one to three replicas, most daemons are in failure domains without one.
func TestSmallServices(t *testing.T) {
	tests := []smallService{
		{"one replica, one daemon", []string{"a"}, 1, 1, true},
		{"one replica, three daemons", []string{"a"}, 1, 3, true},
		{"one replica, three failure domains", modelDomains, 1, 3, true},
		{"three replicas, one daemon", []string{"a"}, 3, 1, true},
		{"three replicas, three failure domains", modelDomains, 3, 3, true},
		{"three replicas, nine daemons", modelDomains, 3, 9, true},
		{"three replicas, three failure domains, no reports", modelDomains, 3, 3, false},
	}
	for _, tc := range tests {
		t.Run(tc.name, tc.check)
	}
}

// TestOneReplicaOfManyDaemons guards against the same with one replica whose daemons have one or two slots
// each. Some slots are always the share of a daemon without requests.
func TestOneReplicaOfManyDaemons(t *testing.T) {
	smallService{domains: modelDomains, engines: 1, daemons: 9, reports: true}.check(t)
}

// TestDomainWithoutDaemons guards against replicas that nobody uses because no daemon of their failure
// domain reports its load and demand.
func TestDomainWithoutDaemons(t *testing.T) {
	const engines = 9
	want := engines * servable(t, modelDomains, oneKind)
	f := newFleetOfDomains(modelDomains, engines, 9, oneKind)
	f.daemons, f.weights = []*Placer{f.daemons[0], f.daemons[1], f.daemons[3], f.daemons[4]}, f.weights[:4]
	for _, d := range f.daemons {
		f.know(d, []string{"a", "b"})
	}
	// The daemons may not know all others at first.
	const from, to = 12 * time.Second, 22 * time.Second
	f.play(constant(1.4*capacity*engines), to)
	got := f.perSecond(from, to)
	t.Logf("answers in time: %.2f of what the replicas can serve; %s", got/want, f.trace(from, to))
	qt.Check(t, got >= 0.9*want, qt.IsTrue)
}
