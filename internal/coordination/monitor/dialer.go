package monitor

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/pkg/ranker"
)

const (
	// minRedialDelay and maxRedialDelay bound the exponential backoff, before
	// jitter, between attempts to re-establish a broken link.
	minRedialDelay = time.Second
	maxRedialDelay = 5 * time.Second
	// reconnectGrace is the time that peers get to re-establish their links. It
	// is longer than the longest redial delay with jitter.
	reconnectGrace = 2 * maxRedialDelay
	// unusedLinkTimeout is how long a link stays open after it is no longer
	// needed, so that daemons that briefly disagree about the relays do not
	// close and reopen links.
	unusedLinkTimeout = 10 * time.Second
)

// dialer maintains one outbound link to an address.
type dialer struct {
	monitor *Monitor
	vm      string
	address string
	cancel  context.CancelFunc
	done    chan struct{}
	// lastWanted is when linkTargets last returned the address.
	lastWanted time.Time
}

// updateLinks starts and stops dialers so that this daemon has links to the
// relays of its failure domain and, if it is a relay, to the relays of the
// other failure domains.
func (m *Monitor) updateLinks(ctx context.Context, now time.Time) {
	if m.Client == nil || ctx.Err() != nil {
		return
	}
	for address, vm := range m.linkTargets(now) {
		d := m.dialers[address]
		if d == nil {
			d = &dialer{monitor: m, vm: vm, address: address, done: make(chan struct{})}
			dialCtx, cancel := context.WithCancel(ctx)
			d.cancel = cancel
			m.dialers[address] = d
			go d.run(dialCtx)
		}
		d.lastWanted = now
	}
	for address, d := range m.dialers {
		if now.Sub(d.lastWanted) >= unusedLinkTimeout {
			d.cancel()
			delete(m.dialers, address)
		}
	}
}

// linkTargets returns the addresses to dial, each with its VM or with an empty
// string if the VM is not known.
func (m *Monitor) linkTargets(now time.Time) map[string]string {
	targets := map[string]string{}
	topo := m.topology()
	m.addRelays(targets, topo.relays)
	m.addRelays(targets, topo.idealRelays)
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
			if vm != m.self.GetVm() && !m.hasPreferredInbound(vm) {
				targets[m.entries[vm].record.GetRpcAddress()] = vm
			}
		}
	}
}

// hasPreferredInbound reports whether an inbound link from the peer makes an
// outbound one unnecessary. Of two links between the same daemons, the one
// dialed by the daemon with the lower VM name is kept.
func (m *Monitor) hasPreferredInbound(vm string) bool {
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

// maxDiscoveryLinks is the number of daemons that a daemon without links dials
// concurrently.
const maxDiscoveryLinks = 3

// addDiscovery adds daemons from which to learn the membership: seeds, known
// daemons and those listed in the object API.
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
	for i := range min(maxDiscoveryLinks, len(addresses)) {
		address := addresses[(first+i)%len(addresses)]
		if _, known := targets[address]; !known {
			targets[address] = ""
		}
	}
}

// addUnknownSeeds adds the seeds at whose address no known daemon listens.
// Without it, a group of daemons that found each other first would never
// contact the remaining seeds.
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

// addCandidate adds one of the daemons that are known from the object API
// only. Without it, two groups of daemons in one failure domain that started
// without a link between them would never find each other.
func (m *Monitor) addCandidate(targets map[string]string, now time.Time) {
	var names []string
	for vm, e := range m.entries {
		if !e.confirmed && !e.isGone() {
			names = append(names, vm)
		}
	}
	window := now.Truncate(unusedLinkTimeout).String()
	for _, vm := range ranker.Top(nil, window, names, 1) {
		targets[m.entries[vm].record.GetRpcAddress()] = vm
	}
}

func (d *dialer) run(ctx context.Context) {
	defer close(d.done)
	redial := minRedialDelay
	for ctx.Err() == nil {
		started := time.Now()
		err := d.serve(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(started) > maxRedialDelay {
			redial = minRedialDelay
		}
		d.monitor.Log.Info("link to entry daemon broke", zap.String("address", d.address), zap.Error(err))
		wait := redial/2 + time.Duration(d.monitor.jitter()*float64(redial))
		redial = min(2*redial, maxRedialDelay)
		d.monitor.markUnreachable(d.vm)
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
		timer.Stop()
	}
}

// serve opens one stream and serves it until it ends.
func (d *dialer) serve(ctx context.Context) error {
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
		return &LinkLimitError{Limit: maxLinks}
	}
	return d.monitor.serveLink(ctx, l)
}

// LinkLimitError reports that this daemon has the maximum number of links.
type LinkLimitError struct {
	Limit int
}

func (e *LinkLimitError) Error() string { return fmt.Sprintf("limit of %d links reached", e.Limit) }

// markUnreachable excludes the VM from the choice of relays until a frame
// arrives from it, unless there is another link to it.
func (m *Monitor) markUnreachable(vm string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.markUnreachableLocked(vm)
}

// markUnreachableLocked is markUnreachable for callers that hold m.mu.
func (m *Monitor) markUnreachableLocked(vm string) {
	if e := m.entries[vm]; e != nil && !e.unreachable && m.linkTo(vm, nil) == nil {
		e.unreachable = true
		m.entryGeneration++
	}
}

// closeDialers stops all dialers and waits for them to return.
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
