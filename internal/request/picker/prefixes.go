package picker

import (
	"sync"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// maxPrefixesPerGeneration is the maximum number of prefixes in each of the two
// generations. A prefix that is not reported during a whole generation is
// dropped.
const maxPrefixesPerGeneration = 1 << 15

// prefixTable maps the hash of a prompt prefix to the server that reported it as
// cached. Reports arrive late and with gaps, so the table only overrides
// rendezvous hashing; prefixes without a report are placed by hash alone.
type prefixTable struct {
	mu sync.RWMutex
	// current is the generation that new reports are added to, and older the one
	// before.
	current map[uint64]*Server
	older   map[uint64]*Server
}

// holder returns the server that has cached the prefix, or nil if none is known.
func (p *prefixTable) holder(hash uint64) *Server {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if s := p.current[hash]; s != nil {
		return s
	}
	return p.older[hash]
}

// recordCached records that the server has cached the prefix. An earlier holder that
// is still in the directory remains the holder, because moving the prefix would
// waste its cache.
func (p *prefixTable) recordCached(hash uint64, s *Server, known map[serverKey]*Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	holder := p.current[hash]
	if holder == nil {
		holder = p.older[hash]
	}
	if holder == nil || known[serverKey{holder.VM, holder.Incarnation}] != holder {
		holder = s
	}
	if p.current == nil || len(p.current) >= maxPrefixesPerGeneration {
		p.older, p.current = p.current, make(map[uint64]*Server, maxPrefixesPerGeneration)
	}
	p.current[hash] = holder
}

// recordEvicted records that the server has evicted the prefix from its cache.
func (p *prefixTable) recordEvicted(hash uint64, s *Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current[hash] == s {
		delete(p.current, hash)
	}
	if p.older[hash] == s {
		delete(p.older, hash)
	}
}

// ApplyCacheEvents applies the cache events of one agent. Their hashes must come from
// identifier.PrefixHash; other hashes never match a query.
func (p *Picker) ApplyCacheEvents(vm, incarnation string, events []*messenger.CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.servers[serverKey{vm, incarnation}]
	if s == nil {
		return
	}
	for _, e := range events {
		if e.GetRemoved() {
			p.prefixes.recordEvicted(e.GetPrefixHash(), s)
		} else {
			p.prefixes.recordCached(e.GetPrefixHash(), s, p.servers)
		}
	}
}
