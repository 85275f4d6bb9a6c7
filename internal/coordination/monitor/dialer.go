package monitor

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/ranker"
)

const (
	// Broken links are tried again after minRedial to maxRedial, with jitter.
	minRedial = time.Second
	maxRedial = 5 * time.Second
	// settleAfter is longer than any wait before a broken link is tried again.
	settleAfter = 2 * maxRedial
	// lingerLinks is how long a link that is no longer wanted stays, so that a
	// short disagreement about the relays does not tear links down.
	lingerLinks = 10 * time.Second
)

// dialer keeps one outbound link to an address.
type dialer struct {
	monitor *Monitor
	vm      string
	address string
	cancel  context.CancelFunc
	done    chan struct{}
	wanted  time.Time
}

// updateLinks starts and stops dialers so that this daemon is linked to the
// relays of its failure domain and, as a relay, to those of the others.
func (m *Monitor) updateLinks(ctx context.Context, now time.Time) {
	if m.Client == nil || ctx.Err() != nil {
		return
	}
	for address, vm := range m.targets(now) {
		d := m.dialers[address]
		if d == nil {
			d = &dialer{monitor: m, vm: vm, address: address, done: make(chan struct{})}
			dialCtx, cancel := context.WithCancel(ctx)
			d.cancel = cancel
			m.dialers[address] = d
			go d.run(dialCtx)
		}
		d.wanted = now
	}
	for address, d := range m.dialers {
		if now.Sub(d.wanted) >= lingerLinks {
			d.cancel()
			delete(m.dialers, address)
		}
	}
}

// targets returns the addresses to link to, with their VMs where known.
func (m *Monitor) targets(now time.Time) map[string]string {
	targets := map[string]string{}
	topo := m.topology()
	m.addRelays(targets, topo.relays)
	m.addRelays(targets, topo.ideal)
	if len(m.links) == 0 {
		m.addDiscovery(targets)
	} else if topo.relay {
		m.addCandidate(targets, now)
		m.addUnknownSeeds(targets)
	}
	delete(targets, m.self.GetRpcAddress())
	return targets
}

func (m *Monitor) addRelays(targets map[string]string, relays map[string][]string) {
	for domain, names := range relays {
		if domain != m.self.GetFailureDomain() && !m.topology().relay {
			continue
		}
		for _, vm := range names {
			if vm != m.self.GetVm() && !m.isCovered(vm) {
				targets[m.entries[vm].record.GetRpcAddress()] = vm
			}
		}
	}
}

// isCovered reports whether the peer keeps a link to this daemon already. Of
// two links between the same daemons the one from the lower VM name stays.
func (m *Monitor) isCovered(vm string) bool {
	for l := range m.links {
		if !l.outbound && l.peer != nil && l.peer.GetVm() == vm {
			return vm < m.self.GetVm() || !m.hasOutbound(vm)
		}
	}
	return false
}

func (m *Monitor) hasOutbound(vm string) bool {
	for l := range m.links {
		if l.outbound && l.peer != nil && l.peer.GetVm() == vm {
			return true
		}
	}
	return false
}

// discoveryLinks is how many daemons a daemon without links tries at once.
const discoveryLinks = 3

// addDiscovery adds daemons to ask for the membership: seeds and those that
// the object API names.
func (m *Monitor) addDiscovery(targets map[string]string) {
	var addresses []string
	addresses = append(addresses, m.Seeds...)
	for vm, e := range m.entries {
		if vm != m.self.GetVm() && !e.isGone() {
			addresses = append(addresses, e.record.GetRpcAddress())
		}
	}
	if len(addresses) == 0 {
		return
	}
	first := int(m.jitter() * float64(len(addresses)))
	for i := range min(discoveryLinks, len(addresses)) {
		address := addresses[(first+i)%len(addresses)]
		if _, known := targets[address]; !known {
			targets[address] = ""
		}
	}
}

// addUnknownSeeds adds the seeds at which no known daemon listens. Without
// that, daemons that first found each other would never look further.
func (m *Monitor) addUnknownSeeds(targets map[string]string) {
	known := make(map[string]bool, len(m.entries))
	for _, e := range m.entries {
		if e.confirmed {
			known[e.record.GetRpcAddress()] = true
		}
	}
	for _, address := range m.Seeds {
		if _, wanted := targets[address]; !known[address] && !wanted {
			targets[address] = ""
		}
	}
}

// addCandidate adds one of the daemons that only the object API has named.
// Without that, two groups of daemons of one failure domain that started apart
// would not find each other.
func (m *Monitor) addCandidate(targets map[string]string, now time.Time) {
	var names []string
	for vm, e := range m.entries {
		if !e.confirmed && !e.isGone() {
			names = append(names, vm)
		}
	}
	window := now.Truncate(lingerLinks).String()
	for _, vm := range ranker.Top(nil, window, names, 1) {
		targets[m.entries[vm].record.GetRpcAddress()] = vm
	}
}

func (d *dialer) run(ctx context.Context) {
	defer close(d.done)
	redial := minRedial
	for ctx.Err() == nil {
		started := time.Now()
		err := d.link(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(started) > maxRedial {
			redial = minRedial
		}
		d.monitor.Log.Info("link to entry daemon broke", zap.String("address", d.address), zap.Error(err))
		wait := redial/2 + time.Duration(d.monitor.jitter()*float64(redial))
		redial = min(2*redial, maxRedial)
		d.monitor.passOver(d.vm)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// link opens one stream and serves it until it breaks.
func (d *dialer) link(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	client, err := d.monitor.Client(d.address)
	if err != nil {
		return err
	}
	stream, err := client.Exchange(ctx)
	if err != nil {
		return err
	}
	l := d.monitor.newLink(stream, true, time.Now())
	if !d.monitor.addLink(l) {
		return &LinksError{Limit: maxLinks}
	}
	return d.monitor.serveLink(ctx, l)
}

// LinksError reports that this daemon has too many links.
type LinksError struct {
	Limit int
}

func (e *LinksError) Error() string { return "more links than the limit" }

// passOver keeps the VM from being taken for a relay until it is heard, if no
// other link leads to it.
func (m *Monitor) passOver(vm string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.passOverUnlinked(vm)
}

func (m *Monitor) passOverUnlinked(vm string) {
	if e := m.entries[vm]; e != nil && !e.unreachable && m.linkTo(vm, nil) == nil {
		e.unreachable = true
		m.entryGeneration++
	}
}

func (m *Monitor) closeDialers() {
	m.mu.Lock()
	dialers := m.dialers
	m.dialers = map[string]*dialer{}
	m.mu.Unlock()
	for _, d := range dialers {
		d.cancel()
	}
	for _, d := range dialers {
		<-d.done
	}
}
