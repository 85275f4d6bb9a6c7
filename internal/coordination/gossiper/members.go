package gossiper

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// silentAfter is how long a daemon counts as live without a message. It is
	// three times the interval of messages between regions.
	silentAfter = 1600 * time.Millisecond
	// forgetAfter is when a silent daemon is dropped from the list.
	forgetAfter = 5 * time.Minute
	// maxMembers bounds the list against messages from another program.
	maxMembers = 4096
)

// Member is another daemon.
type Member struct {
	VM            string `json:"vm"`
	Role          Role   `json:"role"`
	FailureDomain string `json:"failure-domain"`
	// Address takes messages of this package.
	Address string `json:"address"`
	// CallerAddress is where callers connect; empty for agents.
	CallerAddress string `json:"caller-address,omitempty"`
	// QueryAddress answers queries of other daemons; empty for agents.
	QueryAddress string `json:"query-address,omitempty"`
	// Incarnation is the start of the process in milliseconds. A later one
	// replaces an earlier one at the same address.
	Incarnation int64 `json:"incarnation"`
	// Ready is false while the daemon starts or drains.
	Ready bool `json:"ready"`
	// ReachesStore is false while the object store does not answer the daemon.
	ReachesStore bool `json:"reaches-store"`
}

// Role is what a daemon does.
type Role string

// Roles.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// heard is what is known of a member.
type heard struct {
	Member
	// at is when it last sent a message; zero when others told of it.
	at        time.Time
	toldAt    time.Time
	revisions map[string]uint64
}

// Members are the daemons that this one knows. The zero value is ready for use.
type Members struct {
	mu    sync.Mutex
	known map[string]*heard
}

// Hear records a message of a member.
func (m *Members) Hear(member Member, revisions map[string]uint64, now time.Time) (fresh bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.known[member.Address]
	if h != nil && h.Incarnation > member.Incarnation && h.VM == member.VM {
		return false
	}
	if h == nil {
		if h = m.add(member, now); h == nil {
			return false
		}
	}
	fresh = now.Sub(h.at) > silentAfter || h.Incarnation != member.Incarnation
	h.Member = member
	h.at = now
	h.revisions = revisions
	return fresh
}

// Tell records members of whom another daemon knows.
func (m *Members) Tell(members []Member, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range members {
		if m.known[member.Address] == nil {
			m.add(member, now)
		}
	}
}

func (m *Members) add(member Member, now time.Time) *heard {
	if m.known == nil {
		m.known = map[string]*heard{}
	}
	if member.Address == "" || len(m.known) >= maxMembers {
		return nil
	}
	h := &heard{Member: member, toldAt: now}
	m.known[member.Address] = h
	return h
}

// Live returns the members with the role that were heard lately, by VM.
func (m *Members) Live(role Role, now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Member
	for _, h := range m.known {
		if h.Role == role && now.Sub(h.at) <= silentAfter {
			out = append(out, h.Member)
		}
	}
	sortMembers(out)
	return out
}

// Known returns all members with the role, live or not, and drops those that
// have been silent for long.
func (m *Members) Known(role Role, now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Member
	for address, h := range m.known {
		last := h.at
		if h.toldAt.After(last) {
			last = h.toldAt
		}
		if now.Sub(last) > forgetAfter {
			delete(m.known, address)
			continue
		}
		if h.Role == role {
			out = append(out, h.Member)
		}
	}
	sortMembers(out)
	return out
}

// Newest returns the live member with the highest revision of a kind above the
// one given.
func (m *Members) Newest(kind string, above uint64, now time.Time) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var best *heard
	for _, h := range m.known {
		if h.QueryAddress == "" || now.Sub(h.at) > silentAfter || h.revisions[kind] <= above {
			continue
		}
		if best == nil || h.revisions[kind] > best.revisions[kind] || (h.revisions[kind] == best.revisions[kind] && h.VM < best.VM) {
			best = h
		}
	}
	if best == nil {
		return Member{}, false
	}
	return best.Member, true
}

func sortMembers(list []Member) {
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.VM+a.Address, b.VM+b.Address) })
}
