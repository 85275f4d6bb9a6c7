package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/admitter"
	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/matcher"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	limitEntryDaemons      = 9
	limitSeconds           = 60
	limitRequestsPerSecond = 200.0
	limitTeams             = 10
	// usageDelaySeconds is the age of the other daemons' demand when a daemon
	// learns it.
	usageDelaySeconds = 2
)

// limitCase is a demand pattern of one team: its requests per second at each
// daemon.
type limitCase struct {
	name   string
	demand func(second, daemon int) float64
}

var limitCases = []limitCase{
	{"one-daemon", func(_, i int) float64 { return rateIf(i == 0, 1.5*limitRequestsPerSecond) }},
	{"even", func(int, int) float64 { return 0.3 * limitRequestsPerSecond }},
	{"moving", func(second, i int) float64 { return rateIf(i == second/20, 1.5*limitRequestsPerSecond) }},
	{"start-everywhere", func(second, _ int) float64 { return rateIf(second >= 10, limitRequestsPerSecond) }},
}

// rateIf returns the rate if the condition holds, else 0.
func rateIf(condition bool, rate float64) float64 {
	if condition {
		return rate
	}
	return 0
}

// benchLimits measures how much of its rate limit a team gets over several entry
// daemons, and the control traffic that the exchange of demand causes. The
// baseline is static shares: the limit divided by the number of daemons.
func benchLimits(w io.Writer) error {
	for _, c := range limitCases {
		for _, shared := range []bool{false, true} {
			admitted := runLimits(c, shared)
			name := "limits-" + c.name + "-static"
			if shared {
				name = "limits-" + c.name + "-shares"
			}
			// In each case the demand has started by second 10.
			fmt.Fprintf(w, "%s-achieved %.3f of the limit\n", name, sum(admitted[10:])/limitRequestsPerSecond/(limitSeconds-10))
			fmt.Fprintf(w, "%s-at-rest %.3f of the limit\n", name, sum(admitted[50:])/limitRequestsPerSecond/(limitSeconds-50))
			fmt.Fprintf(w, "%s-overshoot %.1f s of the limit\n", name, overshoot(admitted))
		}
	}
	return benchLimitBytes(w)
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

// overshoot returns the requests admitted above the limit, in seconds of the
// limit: 1 is as many requests as the limit allows in one second.
func overshoot(admitted []float64) float64 {
	total := 0.0
	for _, n := range admitted {
		total += max(n-limitRequestsPerSecond, 0) / limitRequestsPerSecond
	}
	return total
}

// runLimits simulates the case and returns the number of requests admitted in
// each second. With shared, the daemons exchange the team's demand; otherwise
// their shares are static.
func runLimits(c limitCase, shared bool) []float64 {
	var admitters [limitEntryDaemons]*admitter.Admitter
	for i := range admitters {
		admitters[i] = &admitter.Admitter{
			Capacity: func(identifier.Target, matcher.Regions, time.Time) int { return 1 << 20 },
			Entries:  func(time.Time) int { return limitEntryDaemons },
		}
	}
	start := time.Now()
	team := &parser.Team{Name: "team", RequestsPerSecond: limitRequestsPerSecond}
	var reported [][limitEntryDaemons]float32
	var admitted []float64
	for second := range limitSeconds {
		now := start.Add(time.Duration(second) * time.Second)
		if shared {
			reported = append(reported, updateShares(admitters[:], reported, now))
		}
		n := 0.0
		for i, a := range admitters {
			requests := int(c.demand(second, i))
			for k := range requests {
				at := now.Add(time.Duration(k) * time.Second / time.Duration(requests))
				req := &identifier.Request{Team: team, Cost: 1, Priority: messenger.Priority_PRIORITY_STANDARD, Target: identifier.Target{Model: benchModel}, Deadline: at.Add(time.Minute)}
				permit, err := a.Admit(context.Background(), req, at)
				if err == nil {
					permit.Release(at)
					n++
				}
			}
		}
		admitted = append(admitted, n)
	}
	return admitted
}

// updateShares updates the share of each daemon from the demand that the others
// reported usageDelaySeconds ago, and returns the current demand of each daemon.
func updateShares(admitters []*admitter.Admitter, reported [][limitEntryDaemons]float32, now time.Time) [limitEntryDaemons]float32 {
	var current [limitEntryDaemons]float32
	for i, a := range admitters {
		others := float32(0)
		if len(reported) >= usageDelaySeconds {
			for j, demand := range reported[len(reported)-usageDelaySeconds] {
				if j != i {
					others += demand
				}
			}
		}
		for _, u := range a.UpdateShares([]*messenger.TeamUsage{{Team: "team", Requests: others}}, true, now) {
			current[i] = u.GetRequests()
		}
	}
	return current
}

// randomUsage generates a demand of teams that changes by up to half each second.
type randomUsage struct {
	random *rand.Rand
}

func (u *randomUsage) usage([]*messenger.TeamUsage, bool, time.Time) []*messenger.TeamUsage {
	all := make([]*messenger.TeamUsage, limitTeams)
	for i := range all {
		r := float32(2 + u.random.Float64())
		all[i] = &messenger.TeamUsage{Team: fmt.Sprintf("team-number-%d", i), Requests: r, Tokens: 300 * r}
	}
	return all
}

// benchLimitBytes measures the control traffic with and without the exchange of
// demand, with ten teams that send requests to all daemons.
func benchLimitBytes(w io.Writer) error {
	size := controlSize{daemons: 20, replicas: 20, otherReplicas: 80}
	without, err := measureControl(size)
	if err != nil {
		return err
	}
	size.teamUsage = true
	with, err := measureControl(size)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "limits-member-bytes-static %.0f B/s\n", without.memberBytesPerSecond)
	fmt.Fprintf(w, "limits-member-bytes-shares %.0f B/s\n", with.memberBytesPerSecond)
	fmt.Fprintf(w, "limits-relay-bytes-static %.0f B/s\n", without.relayBytesPerSecond)
	fmt.Fprintf(w, "limits-relay-bytes-shares %.0f B/s\n", with.relayBytesPerSecond)
	fmt.Fprintf(w, "limits-core-share-static %.5f cores\n", without.coreShare)
	fmt.Fprintf(w, "limits-core-share-shares %.5f cores\n", with.coreShare)
	return nil
}
