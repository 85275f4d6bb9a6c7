package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/admitter"
	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	limitDaemons = 9
	limitSeconds = 60
	limitRate    = 200.0
	limitTeams   = 10
	// newsSeconds is the age of the demand that daemons hear of from others.
	newsSeconds = 2
)

// limitCase is a demand of one team, in requests per second of each daemon.
type limitCase struct {
	name string
	asks func(second, daemon int) float64
}

var limitCases = []limitCase{
	{"one-daemon", func(_, i int) float64 { return whenTrue(i == 0, 1.5*limitRate) }},
	{"even", func(int, int) float64 { return 0.3 * limitRate }},
	{"moving", func(second, i int) float64 { return whenTrue(i == second/20, 1.5*limitRate) }},
	{"start-everywhere", func(second, _ int) float64 { return whenTrue(second >= 10, limitRate) }},
}

func whenTrue(condition bool, rate float64) float64 {
	if condition {
		return rate
	}
	return 0
}

// benchLimits measures how much of its limit a team gets over several entry
// daemons, and the control traffic of the shares. Static shares, the limit
// divided by the number of daemons, are the baseline.
func benchLimits(w io.Writer) error {
	for _, c := range limitCases {
		for _, shared := range []bool{false, true} {
			taken := runLimits(c, shared)
			name := "limits-" + c.name + "-static"
			if shared {
				name = "limits-" + c.name + "-shares"
			}
			// The demand of each case is there from the 10th second at the latest.
			fmt.Fprintf(w, "%s-achieved %.3f of the limit\n", name, sum(taken[10:])/limitRate/(limitSeconds-10))
			fmt.Fprintf(w, "%s-at-rest %.3f of the limit\n", name, sum(taken[50:])/limitRate/(limitSeconds-50))
			fmt.Fprintf(w, "%s-overshoot %.1f s of the limit\n", name, overshoot(taken))
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

// overshoot returns what was taken above the limit in the seconds above it, in
// seconds of the limit.
func overshoot(taken []float64) float64 {
	over := 0.0
	for _, n := range taken {
		over += max(n-limitRate, 0) / limitRate
	}
	return over
}

// runLimits returns the requests of each second that were admitted.
func runLimits(c limitCase, shared bool) []float64 {
	var admitters [limitDaemons]*admitter.Admitter
	for i := range admitters {
		admitters[i] = &admitter.Admitter{
			Capacity: func(identifier.Target) int { return 1 << 20 },
			Entries:  func(time.Time) int { return limitDaemons },
		}
	}
	start := time.Now()
	team := &parser.Team{Name: "team", RequestsPerSecond: limitRate}
	var told [][limitDaemons]float32
	var taken []float64
	for second := range limitSeconds {
		now := start.Add(time.Duration(second) * time.Second)
		if shared {
			told = append(told, updateShares(admitters[:], told, now))
		}
		n := 0.0
		for i, a := range admitters {
			asked := int(c.asks(second, i))
			for k := range asked {
				at := now.Add(time.Duration(k) * time.Second / time.Duration(asked))
				req := &identifier.Request{Team: team, Cost: 1, Priority: messenger.Priority_PRIORITY_STANDARD, Target: identifier.Target{Model: benchModel}, Deadline: at.Add(time.Minute)}
				place, err := a.Admit(context.Background(), req, at)
				if err == nil {
					place.Release(at)
					n++
				}
			}
		}
		taken = append(taken, n)
	}
	return taken
}

// updateShares tells each daemon the demand that the others had newsSeconds ago.
func updateShares(admitters []*admitter.Admitter, told [][limitDaemons]float32, now time.Time) [limitDaemons]float32 {
	var here [limitDaemons]float32
	for i, a := range admitters {
		others := float32(0)
		if len(told) >= newsSeconds {
			for j, demand := range told[len(told)-newsSeconds] {
				if j != i {
					others += demand
				}
			}
		}
		for _, u := range a.UpdateShares([]*messenger.TeamUsage{{Team: "team", Requests: others}}, true, now) {
			here[i] = u.GetRequests()
		}
	}
	return here
}

// changingUsage is the demand of teams that changes by up to half each second.
type changingUsage struct {
	random *rand.Rand
}

func (c *changingUsage) usage([]*messenger.TeamUsage, bool, time.Time) []*messenger.TeamUsage {
	all := make([]*messenger.TeamUsage, limitTeams)
	for i := range all {
		r := float32(2 + c.random.Float64())
		all[i] = &messenger.TeamUsage{Team: fmt.Sprintf("team-number-%d", i), Requests: r, Tokens: 300 * r}
	}
	return all
}

// benchLimitBytes measures the control traffic with and without the demand of
// ten teams that all ask on all daemons.
func benchLimitBytes(w io.Writer) error {
	size := controlSize{daemons: 20, replicas: 20, otherReplicas: 80}
	without, err := measureControl(size)
	if err != nil {
		return err
	}
	size.usage = true
	with, err := measureControl(size)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "limits-member-bytes-static %.0f B/s\n", without.member)
	fmt.Fprintf(w, "limits-member-bytes-shares %.0f B/s\n", with.member)
	fmt.Fprintf(w, "limits-relay-bytes-static %.0f B/s\n", without.relay)
	fmt.Fprintf(w, "limits-relay-bytes-shares %.0f B/s\n", with.relay)
	fmt.Fprintf(w, "limits-core-share-static %.5f cores\n", without.core)
	fmt.Fprintf(w, "limits-core-share-shares %.5f cores\n", with.core)
	return nil
}
