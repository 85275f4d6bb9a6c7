package picker

import (
	"sync"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// prefixGeneration bounds each of the two generations of known prefixes. A
// prefix that is not heard of for a whole generation is forgotten.
const prefixGeneration = 1 << 15

// prefixes are the servers that reported to have a prompt prefix in their
// cache. The reports are late and have gaps, so they only correct rendezvous
// hashing: what is not reported changes nothing.
type prefixes struct {
	mu      sync.RWMutex
	current map[uint64]*Server
	older   map[uint64]*Server
}

func (p *prefixes) holder(hash uint64) *Server {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if s := p.current[hash]; s != nil {
		return s
	}
	return p.older[hash]
}

// cached notes that the server holds the prefix. An earlier holder that is
// still in the directory keeps it, as a move would cost its cached prefix.
func (p *prefixes) cached(hash uint64, s *Server, known map[serverKey]*Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	holder := p.current[hash]
	if holder == nil {
		holder = p.older[hash]
	}
	if holder == nil || known[serverKey{holder.VM, holder.Incarnation}] != holder {
		holder = s
	}
	if p.current == nil || len(p.current) >= prefixGeneration {
		p.older, p.current = p.current, make(map[uint64]*Server, prefixGeneration)
	}
	p.current[hash] = holder
}

func (p *prefixes) evicted(hash uint64, s *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current[hash] == s {
		delete(p.current, hash)
	}
	if p.older[hash] == s {
		delete(p.older, hash)
	}
}

// CacheEvents takes the cache events of one agent. Their hashes have to be
// those of identifier.PrefixHash; others have no effect.
func (p *Picker) CacheEvents(vm, incarnation string, events []*messenger.CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[serverKey{vm, incarnation}]
	if s == nil {
		return
	}
	for _, e := range events {
		if e.GetRemoved() {
			p.prefixes.evicted(e.GetPrefixHash(), s)
		} else {
			p.prefixes.cached(e.GetPrefixHash(), s, p.servers)
		}
	}
}
