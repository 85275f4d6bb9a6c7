package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lentilbridge/lentilbridge/platform/simulator"
)

const (
	// grownRoutes is how many routes the operator adds in two steps, as on the sheets. The
	// configuration stays below the ValueBytes of the store.
	grownRoutes = 2 * 1968
	// A storm has stormChanges changes, stormGap apart, and begins when its machine freezes.
	stormChanges = 27
	stormGap     = 150 * time.Millisecond
	// A machine freezes a few times in a row, and runs for a moment in between.
	freezes    = 4
	eachFreeze = time.Second
	awakeFor   = 60 * time.Millisecond
	// settled is the time from the end of that to the first request that counts: the stable
	// window of the grown deployments and a second.
	settled = 5 * time.Second
	// frozenEntries is the number of entry daemons that freeze, one after the other.
	frozenEntries = 6
	// noticed is the time in which each daemon that waits for changes of the configuration
	// waits for the change that was made at its beginning.
	noticed = 8 * time.Second
	// probesEach is the number of requests to each entry daemon.
	probesEach = 3
)

// behindAfterStorm lets entry daemons freeze, one after the other, while configurations come in
// quick succession. Once they are in touch again, all are asked for a route that was added
// meanwhile, and with a key that was taken away. The daemons that freeze are some of those that
// do not wait at the store for changes of the configuration, as most of a large zone.
func (p *play) behindAfterStorm() (bool, error) {
	version := uint64(1)
	change := func(round int) error {
		version++
		if status := p.writeConfiguration(version, grownRoutes, routeOf(round)); status/100 != 2 {
			return fmt.Errorf("the store answers a configuration with %d", status)
		}
		p.record.add("change", "version %d with route /%s/ and %d old keys is acknowledged", version, routeOf(round), len(p.oldKeys))
		return nil
	}
	for i := range frozenEntries {
		p.oldKeys = append(p.oldKeys, keyOf(i+1))
	}
	if err := change(0); err != nil {
		return false, err
	}
	changed := time.Now()
	time.Sleep(noticed)
	var chosen []*machine
	for i, m := range p.entries {
		if !p.watches(i, changed) && len(chosen) < frozenEntries {
			chosen = append(chosen, m)
		}
	}
	p.report("%d entry daemons freeze", len(chosen))
	broken := false
	for i, m := range chosen {
		frozen := make(chan struct{})
		go func() {
			p.freeze(m)
			close(frozen)
		}()
		p.oldKeys = p.oldKeys[1:]
		changes := stormChanges
		if !p.Trouble {
			changes = 1
		}
		for range changes {
			next := time.Now().Add(stormGap)
			if err := change(i + 1); err != nil {
				return false, err
			}
			time.Sleep(time.Until(next))
		}
		acknowledged := time.Now()
		<-frozen
		ended := time.Now()
		time.Sleep(settled)
		p.report("%s: version %d was acknowledged %.3f s ago, the machine is awake for %.3f s", m.Name, version, time.Since(acknowledged).Seconds(), time.Since(ended).Seconds())
		broken = p.askAll(i+1) || broken
	}
	return broken, nil
}

// freeze freezes a machine a few times in a row.
func (p *play) freeze(m *machine) {
	for range freezes {
		if p.Trouble {
			p.record.add("freeze", "%s", m.Name)
			m.Process().Signal(syscall.SIGSTOP)
		}
		time.Sleep(eachFreeze)
		p.record.add("wake", "%s", m.Name)
		m.Process().Signal(syscall.SIGCONT)
		time.Sleep(awakeFor)
	}
}

func routeOf(round int) string { return fmt.Sprintf("added%d", round) }

func keyOf(round int) string { return fmt.Sprintf("key-%d-of-mill", round) }

// askAll asks all entry daemons for the route that was added in a round, and with the key that
// was taken away. It reports whether an answer is one that only an older version allows.
func (p *play) askAll(round int) bool {
	var broken atomic.Bool
	var wg sync.WaitGroup
	for i, m := range p.entries {
		for n := range probesEach {
			r := soundRequest(n)
			r.Host, r.Key, r.Model, r.Deadline = host, apiKey, model, deadline
			added, dropped := r, r
			added.ID, added.Path = fmt.Sprintf("added-%d-%d-%d", round, i, n), "/"+routeOf(round)+"/x"
			dropped.ID, dropped.Key = fmt.Sprintf("dropped-%d-%d-%d", round, i, n), keyOf(round)
			wg.Go(func() {
				if status := p.ask(m, i, added); status == http.StatusNotFound {
					p.report("%s answers %s with %d although the route is there", m.Name, added.ID, status)
					broken.Store(true)
				}
				if status := p.ask(m, i, dropped); status == http.StatusOK {
					p.report("%s answers %s with %d although the key was taken away", m.Name, dropped.ID, status)
					broken.Store(true)
				}
			})
		}
	}
	wg.Wait()
	return broken.Load()
}

// ask sends a request to an entry daemon and returns the status of the answer, or 0.
func (p *play) ask(m *machine, i int, r simulator.Request) int {
	p.record.add("sent", "%s to %s", r.ID, m.Name)
	status := p.probe(p.address(netEntries, i, frontPort), r)
	p.record.add("answered", "%s status %d", r.ID, status)
	return status
}

func (p *play) probe(entry string, r simulator.Request) int {
	ctx, cancel := context.WithTimeout(context.Background(), r.Deadline)
	defer cancel()
	resp, err := simulator.Send(ctx, http.DefaultTransport, entry, r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusOK && checkStream(r.ID, resp) != nil {
		return 0
	}
	return resp.StatusCode
}
