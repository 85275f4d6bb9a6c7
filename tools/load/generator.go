package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/shared/waiter"
)

const (
	arrivalsPoisson = "poisson"
	arrivalsFixed   = "fixed"
)

// generator generates the requests of one run.
type generator struct {
	opts     *options
	entries  []string
	keys     []string
	rng      *rand.Rand
	zipf     *rand.Zipf
	prefixes []string
	client   *http.Client
	results  *results
	running  sync.WaitGroup
	inFlight chan struct{}
}

func newGenerator(o *options) *generator {
	rng := rand.New(rand.NewPCG(o.seed, o.seed))
	g := &generator{
		opts:     o,
		entries:  strings.Split(o.entries, ","),
		keys:     strings.Split(o.keys, ","),
		rng:      rng,
		zipf:     rand.NewZipf(rng, o.skew, 1, uint64(o.prefixes-1)),
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.maxInFlight}},
		results:  newResults(),
		inFlight: make(chan struct{}, o.maxInFlight),
	}
	for i := range o.prefixes {
		g.prefixes = append(g.prefixes, sharedPrefix(i, o.prefixBytes))
	}
	return g
}

// sharedPrefix repeats a numbered sentence, so that different prefixes share no
// block of the prefix cache.
func sharedPrefix(number, length int) string {
	sentence := fmt.Sprintf("Specification %d, drafted for inspection. ", number)
	return strings.Repeat(sentence, length/len(sentence)+1)[:length]
}

// nextInterval returns the time until the next arrival.
func (g *generator) nextInterval() time.Duration {
	mean := float64(time.Second) / g.opts.rate
	if g.opts.arrivals == arrivalsFixed {
		return time.Duration(mean)
	}
	return time.Duration(g.rng.ExpFloat64() * mean)
}

// newCall returns the request that is due at dueAt.
func (g *generator) newCall(number int, dueAt time.Time) *call {
	c := &call{
		generator: g,
		dueAt:     dueAt,
		entry:     strings.TrimSuffix(g.entries[number%len(g.entries)], "/"),
		key:       g.keys[g.rng.IntN(len(g.keys))],
		stream:    g.rng.Float64() < g.opts.streamShare,
		seed:      int64(number + 1),
	}
	minTokens := max(g.opts.maxTokens/4, 1)
	c.maxTokens = minTokens + g.rng.IntN(g.opts.maxTokens-minTokens+1)
	c.prompt = fmt.Sprintf("%s question %d", g.prefixes[g.zipf.Uint64()], number)
	return c
}

// run sends requests for the configured duration, waits for the responses and
// prints the results.
func (g *generator) run(ctx context.Context, w io.Writer) error {
	fmt.Fprintf(w, "load/seed %d number\n", g.opts.seed)
	started := time.Now()
	end := started.Add(g.opts.duration)
	dueAt := started
	for number := 0; ; number++ {
		dueAt = dueAt.Add(g.nextInterval())
		if !dueAt.Before(end) || !waiter.Wait(ctx, time.Until(dueAt)) {
			break
		}
		c := g.newCall(number, dueAt)
		select {
		case g.inFlight <- struct{}{}:
			g.running.Add(1)
			go c.run(ctx)
		default:
			g.results.recordUnsent()
		}
	}
	g.running.Wait()
	return g.results.print(w, time.Since(started))
}
