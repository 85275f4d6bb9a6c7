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

// generator makes the requests of one run.
type generator struct {
	opts    *options
	entries []string
	keys    []string
	random  *rand.Rand
	zipf    *rand.Zipf
	shared  []string
	client  *http.Client
	results *results
	pending sync.WaitGroup
	slots   chan struct{}
}

func newGenerator(o *options) *generator {
	random := rand.New(rand.NewPCG(o.seed, o.seed))
	g := &generator{
		opts:    o,
		entries: strings.Split(o.entries, ","),
		keys:    strings.Split(o.keys, ","),
		random:  random,
		zipf:    rand.NewZipf(random, o.skew, 1, uint64(o.prefixes-1)),
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.maxInFlight}},
		results: newResults(),
		slots:   make(chan struct{}, o.maxInFlight),
	}
	for i := range o.prefixes {
		g.shared = append(g.shared, sharedPrefix(i, o.prefixBytes))
	}
	return g
}

// sharedPrefix repeats a numbered sentence, so that two prefixes differ from
// their first block on.
func sharedPrefix(number, length int) string {
	sentence := fmt.Sprintf("Specification %d, drafted for inspection. ", number)
	return strings.Repeat(sentence, length/len(sentence)+1)[:length]
}

// interval returns the time to the next arrival.
func (g *generator) interval() time.Duration {
	mean := float64(time.Second) / g.opts.rate
	if g.opts.arrivals == arrivalsFixed {
		return time.Duration(mean)
	}
	return time.Duration(g.random.ExpFloat64() * mean)
}

// next makes the request that is due at a time.
func (g *generator) next(number int, due time.Time) *call {
	c := &call{
		generator: g,
		due:       due,
		entry:     strings.TrimSuffix(g.entries[number%len(g.entries)], "/"),
		key:       g.keys[g.random.IntN(len(g.keys))],
		stream:    g.random.Float64() < g.opts.streamShare,
		seed:      int64(number + 1),
	}
	least := max(g.opts.maxTokens/4, 1)
	c.maxTokens = least + g.random.IntN(g.opts.maxTokens-least+1)
	c.prompt = fmt.Sprintf("%s question %d", g.shared[g.zipf.Uint64()], number)
	return c
}

// send sends for the whole duration, waits for the answers and prints the
// results.
func (g *generator) send(ctx context.Context, w io.Writer) error {
	fmt.Fprintf(w, "load/seed %d number\n", g.opts.seed)
	started := time.Now()
	end := started.Add(g.opts.duration)
	due := started
	for number := 0; ; number++ {
		due = due.Add(g.interval())
		if !due.Before(end) || !waiter.Wait(ctx, time.Until(due)) {
			break
		}
		c := g.next(number, due)
		select {
		case g.slots <- struct{}{}:
			g.pending.Add(1)
			go c.run(ctx)
		default:
			g.results.skip()
		}
	}
	g.pending.Wait()
	return g.results.print(w, time.Since(started))
}
