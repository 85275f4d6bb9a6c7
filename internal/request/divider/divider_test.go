package divider

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// modelDaemon is a daemon of a failure domain with the demand that it counts.
type modelDaemon struct {
	*Divider
	perSecond int
}

// newDaemons returns daemons that have counted requests for a while and have learned of each other.
// Demands holds the requests per second of the daemons of each failure domain.
func newDaemons(demands map[string][]int, now time.Time) (daemons []modelDaemon, vms map[string][]string) {
	const counted = 10 * time.Second
	vms = map[string][]string{}
	for domain, list := range demands {
		for i, perSecond := range list {
			d := modelDaemon{&Divider{VM: fmt.Sprint(domain, i), FailureDomain: domain}, perSecond}
			d.Begin(now.Add(-counted))
			for n := range int(counted.Seconds()) * perSecond {
				d.RecordRequest("s", now.Add(-counted+time.Duration(n)*time.Second/time.Duration(perSecond)))
			}
			daemons = append(daemons, d)
			vms[domain] = append(vms[domain], d.VM)
		}
	}
	for _, to := range daemons {
		to.Divide("s", nil, vms[to.FailureDomain], now)
		for _, from := range daemons {
			if demand, _ := from.Demand("s", now); from.VM != to.VM && from.FailureDomain == to.FailureDomain {
				to.SetReport(from.VM, map[string]float64{"s": demand}, now)
			}
		}
	}
	for _, to := range daemons {
		for _, from := range daemons {
			if demand, _ := from.DomainDemand("s", now); from.FailureDomain != to.FailureDomain {
				to.SetDomainReport(from.FailureDomain, map[string]float64{"s": demand}, now)
			}
		}
	}
	return daemons, vms
}

// TestSharesOfAllDaemons guards against slots of a replica that several daemons count as theirs, so
// that it gets more requests than it has slots, and against slots that nobody may use.
func TestSharesOfAllDaemons(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		demands, capacity := map[string][]int{}, map[string]int{}
		for i := range rapid.IntRange(1, 4).Draw(t, "domains") {
			domain := string(rune('a' + i))
			demands[domain] = rapid.SliceOfN(rapid.IntRange(0, 40), 1, 8).Draw(t, "demands")
			capacity[domain] = 12 * rapid.IntRange(0, 20).Draw(t, "replicas")
		}
		daemons, vms := newDaemons(demands, now)
		slots := rapid.IntRange(1, 64).Draw(t, "slots")
		for domain, n := range capacity {
			if n == 0 {
				continue
			}
			sum := 0
			for _, d := range daemons {
				known := vms[domain]
				if d.FailureDomain != domain {
					known = nil
				}
				sum += d.Divide("s", capacity, vms[d.FailureDomain], now).Share("r", domain, slots, known)
			}
			if sum != slots {
				t.Fatalf("the shares of a replica in %s with %d slots add up to %d", domain, slots, sum)
			}
		}
	})
}

// TestSharesWithinDomain guards against shares of a failure domain that differ from the sum of those of
// its daemons, and against an average number of slots that does not add up to the slots of the service.
func TestSharesWithinDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		demands, capacity, total := map[string][]int{}, map[string]int{}, 0
		for i := range rapid.IntRange(1, 4).Draw(t, "domains") {
			domain := string(rune('a' + i))
			demands[domain] = rapid.SliceOfN(rapid.IntRange(0, 40), 1, 8).Draw(t, "demands")
			capacity[domain] = 12 * rapid.IntRange(1, 20).Draw(t, "replicas")
			total += capacity[domain]
		}
		daemons, vms := newDaemons(demands, now)
		for domain, slots := range capacity {
			sums, shares, average := map[string]int{}, map[string]int{}, 0.0
			for _, d := range daemons {
				known := vms[domain]
				if d.FailureDomain != domain {
					known = nil
				}
				division := d.Divide("s", capacity, vms[d.FailureDomain], now)
				sums[d.FailureDomain] += division.Share("r", domain, slots, known)
				shares[d.FailureDomain] = division.DomainShare("r", domain, slots)
				average += division.SlotsPerDaemon()
			}
			if !maps.Equal(sums, shares) {
				t.Fatalf("the daemons' shares of a replica in %s add up to %v, those of the failure domains are %v", domain, sums, shares)
			}
			if math.Abs(average-float64(total)) > 1e-6*float64(total) {
				t.Fatalf("the daemons get %v of %d slots", average, total)
			}
		}
	})
}

// TestSharesOfDomains guards against callers of one failure domain that get fewer places than those
// of others, because its replicas were evacuated or more callers are there.
func TestSharesOfDomains(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name     string
		demands  map[string][]int
		replicas map[string]int
		// want is the part of all slots that the daemons of each failure domain may use.
		want map[string]float64
	}{
		{"even", map[string][]int{"a": {10, 10}, "b": {10, 10}}, map[string]int{"a": 20, "b": 20}, map[string]float64{"a": 0.5, "b": 0.5}},
		{"one evacuated", map[string][]int{"a": {10, 10}, "b": {10, 10}, "c": {10, 10}}, map[string]int{"b": 20, "c": 20}, map[string]float64{"a": 0.33, "b": 0.33, "c": 0.33}},
		{"uneven demand", map[string][]int{"a": {30, 30}, "b": {10, 10}}, map[string]int{"a": 20, "b": 20}, map[string]float64{"a": 0.74, "b": 0.26}},
		{"no demand", map[string][]int{"a": {0}, "b": {10, 10}}, map[string]int{"a": 20, "b": 20}, map[string]float64{"a": 0, "b": 1}},
		{"one daemon each", map[string][]int{"a": {10}, "b": {20}}, map[string]int{"a": 20, "b": 20}, map[string]float64{"a": 0.35, "b": 0.65}},
		{"more daemons than slots of a replica", map[string][]int{"a": slices.Repeat([]int{5}, 16), "b": slices.Repeat([]int{5}, 16)}, map[string]int{"b": 40}, map[string]float64{"a": 0.5, "b": 0.5}},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			const slots = 12
			daemons, vms := newDaemons(tc.demands, now)
			capacity, all := map[string]int{}, 0
			for domain, n := range tc.replicas {
				capacity[domain] = n * slots
				all += n * slots
			}
			for domain, want := range tc.want {
				sum := 0
				for _, d := range daemons {
					if d.FailureDomain != domain {
						continue
					}
					division := d.Divide("s", capacity, vms[domain], now)
					for in, n := range tc.replicas {
						known := vms[in]
						if in != domain {
							known = nil
						}
						for i := range n {
							sum += division.Share(fmt.Sprint(in, "-r", i), in, slots, known)
						}
					}
				}
				got := float64(sum) / float64(all)
				qt.Check(t, got > want-0.03 && got < want+0.03, qt.IsTrue, qt.Commentf("%s: %.2f, want %.2f", domain, got, want))
			}
		})
	}
}

// TestDemandAfterStart guards against a daemon that has just started and gets hardly any slots, because
// it has counted its requests for a shorter time than the others.
func TestDemandAfterStart(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		after time.Duration
		known bool
	}{
		{time.Second, false},
		{2 * time.Second, true},
		{4 * time.Second, true},
		{20 * time.Second, true},
	}
	for _, tc := range tests {
		d := &Divider{VM: "a0"}
		d.Begin(start)
		for at := time.Duration(0); at < tc.after; at += 50 * time.Millisecond {
			d.RecordRequest("s", start.Add(at))
		}
		demand, known := d.Demand("s", start.Add(tc.after))
		qt.Check(t, known, qt.Equals, tc.known)
		if known {
			qt.Check(t, demand > 19 && demand < 21, qt.IsTrue, qt.Commentf("%v after %v, 20 expected", demand, tc.after))
		}
	}
}

// BenchmarkDivide measures the division of the slots of a large service: 4,300 replicas and 1,000 daemons
// in 5 failure domains, with 8 daemons for each replica of the own one.
func BenchmarkDivide(b *testing.B) {
	now := time.Unix(1000, 0)
	d := &Divider{VM: "a0", FailureDomain: "a"}
	d.Begin(now.Add(-time.Minute))
	capacity := map[string]int{}
	for _, domain := range []string{"a", "b", "c", "d", "e"} {
		capacity[domain] = 860 * 12
		d.SetDomainReport(domain, map[string]float64{"s": 13000}, now)
	}
	capacity["e"] = 0
	var vms []string
	for i := range 200 {
		vms = append(vms, fmt.Sprint("a", i))
		d.SetReport(vms[i], map[string]float64{"s": 67}, now)
	}
	replicas := make([]string, 4*860)
	for i := range replicas {
		replicas[i] = fmt.Sprint("replica-", i)
	}
	for b.Loop() {
		division := d.Divide("s", capacity, vms, now)
		for i, r := range replicas {
			domain := string(rune('a' + i%4))
			if domain == "a" {
				division.Share(r, domain, 12, vms[:8])
			} else {
				division.Share(r, domain, 12, nil)
			}
		}
	}
}

// TestDaemonDomains guards against the replicas of a failure domain that stay unused because its daemons are
// gone, and against their use while these may only be cut off.
func TestDaemonDomains(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name string
		// seen are the times at which daemons of the failure domain were live, after the start.
		seen []time.Duration
		at   time.Duration
		want bool
	}{
		{"never seen, at the start", nil, 4 * time.Second, true},
		{"never seen", nil, 6 * time.Second, false},
		{"live", []time.Duration{0, 60 * time.Second}, 60 * time.Second, true},
		{"silent for a moment", []time.Duration{60 * time.Second}, 69 * time.Second, true},
		{"gone", []time.Duration{60 * time.Second}, 71 * time.Second, false},
		{"back", []time.Duration{60 * time.Second, 90 * time.Second}, 91 * time.Second, true},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			d := &Divider{VM: "vm", FailureDomain: "a"}
			d.RecordRequest("s", start)
			d.SetDaemonDomains([]string{"a"}, start)
			for _, after := range tc.seen {
				d.SetDaemonDomains([]string{"b"}, start.Add(after))
			}
			qt.Check(t, d.HasDaemons("b", start.Add(tc.at)), qt.Equals, tc.want)
		})
	}
	qt.Check(t, (&Divider{}).HasDaemons("b", start), qt.IsTrue)
}
