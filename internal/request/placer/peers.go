package placer

import (
	"cmp"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/divider"
)

// SetPeerLoad records the load by replica of the daemon on another VM.
func (p *Placer) SetPeerLoad(vm string, replicas map[string]Load, now time.Time) {
	p.setLoad(vm, peerLoad{replicas: replicas, at: now}, now)
}

// domainPrefix precedes the name of a failure domain among the names of peers.
const domainPrefix = "domain "

// SetDomainLoad records the load by replica of all daemons of another failure
// domain.
func (p *Placer) SetDomainLoad(domain string, replicas map[string]Load, now time.Time) {
	p.setLoad(domainPrefix+domain, peerLoad{replicas: replicas, at: now, summary: true}, now)
}

const (
	// maxPeerLoads limits the loads of replicas in all reports. They need about 30 MB. Otherwise
	// messages of other programs could fill the memory.
	maxPeerLoads = 1 << 18
)

func (p *Placer) setLoad(name string, load peerLoad, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.peers == nil {
		p.peers = map[string]peerLoad{}
	}
	old, known := p.peers[name]
	loads := p.peerLoads + len(load.replicas) - len(old.replicas)
	if !known && len(p.peers) >= cmp.Or(p.Divider.MaxPeers, divider.DefaultMaxPeers) || loads > maxPeerLoads {
		p.expirePeers(now)
		return
	}
	p.peerLoads = loads
	p.addPeerLoad(old, -1)
	p.peers[name] = load
	p.addPeerLoad(load, 1)
	if load.at.Before(p.oldestReport) {
		p.oldestReport = load.at
	}
	p.expirePeers(now)
	p.admitWaiting(now)
}

// addPeerLoad adds a peer's report, multiplied by the sign, to the load of its replicas.
func (p *Placer) addPeerLoad(peer peerLoad, sign int) {
	for id, l := range peer.replicas {
		s := p.byID[id]
		if s == nil {
			continue
		}
		s.others.Requests += sign * l.Requests
		s.others.PrefillMs += sign * l.PrefillMs
		if !peer.summary {
			s.domainRequests += sign * l.Requests
		}
	}
}

// expirePeers removes the reports of peers that have not been renewed for
// maxPeerLoadAge, such as those of daemons that have been replaced.
func (p *Placer) expirePeers(now time.Time) {
	if now.Sub(p.oldestReport) <= maxPeerLoadAge {
		return
	}
	p.oldestReport = now
	for name, peer := range p.peers {
		if now.Sub(peer.at) > maxPeerLoadAge {
			p.addPeerLoad(peer, -1)
			p.peerLoads -= len(peer.replicas)
			delete(p.peers, name)
		} else if peer.at.Before(p.oldestReport) {
			p.oldestReport = peer.at
		}
	}
}

// DomainLoads returns the load by replica of all daemons of this failure domain.
func (p *Placer) DomainLoads(now time.Time) map[string]Load {
	out := p.Loads()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expirePeers(now)
	for _, peer := range p.peers {
		if peer.summary {
			continue
		}
		for id, l := range peer.replicas {
			sum := out[id]
			out[id] = Load{Requests: sum.Requests + l.Requests, PrefillMs: sum.PrefillMs + l.PrefillMs}
		}
	}
	return out
}

// Loads returns the load by replica of this daemon.
func (p *Placer) Loads() map[string]Load {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := map[string]Load{}
	for _, list := range p.services {
		for _, s := range list {
			if s.inFlight > 0 {
				out[s.ID] = Load{Requests: s.inFlight, PrefillMs: int(s.prefill.Milliseconds())}
			}
		}
	}
	return out
}
