package gossiper

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// livenessTimeout is how long a daemon counts as live after its last message. It
	// is about three times DefaultFarInterval.
	livenessTimeout = 1600 * time.Millisecond
	// memberRetention is the time after which a silent daemon is removed.
	memberRetention = 5 * time.Minute
	// maxMembers limits memory use if another program sends messages.
	maxMembers = 4096
)

// Member is another daemon.
type Member struct {
	VM            string `json:"vm"`
	Role          Role   `json:"role"`
	FailureDomain string `json:"failure-domain"`
	// Address is the UDP address for messages of this package.
	Address string `json:"address"`
	// CallerAddress is the address for callers. It is empty for agents.
	CallerAddress string `json:"caller-address,omitempty"`
	// QueryAddress is the address for queries of other daemons. It is empty for agents.
	QueryAddress string `json:"query-address,omitempty"`
	// Incarnation is the start time of the process in Unix milliseconds. A later
	// incarnation replaces an earlier one at the same address.
	Incarnation int64 `json:"incarnation"`
	// Ready is false while the daemon is starting or draining.
	Ready bool `json:"ready"`
	// StoreReachable reports whether the object store answers the daemon.
	StoreReachable bool `json:"reaches-store"`
}

// Role is the kind of a daemon. Entry daemons accept the requests of callers, and
// agents manage the replica on their VM.
type Role string

// Roles.
const (
	Entry Role = "entry"
	Agent Role = "agent"
)

// memberState is a member with the times and revisions that were received for it.
type memberState struct {
	Member
	// lastMessageAt is when the member last sent a message. It is zero for a member
	// that is known only from other daemons.
	lastMessageAt time.Time
	// reportedAt is when the member was added.
	reportedAt time.Time
	// revisions holds the revision of each kind of objects that the member mirrors.
	revisions map[string]uint64
}

// Members holds the known daemons by address. The zero value is ready for use.
type Members struct {
	mu    sync.Mutex
	known map[string]*memberState
}

// RecordMessage records a message of a member. It reports whether the member is new,
// has restarted, or was not live. Messages of an earlier incarnation are ignored.
func (m *Members) RecordMessage(member Member, revisions map[string]uint64, now time.Time) (joined bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.known[member.Address]
	if s != nil && s.Incarnation > member.Incarnation && s.VM == member.VM {
		return false
	}
	if s == nil {
		if s = m.add(member, now); s == nil {
			return false
		}
	}
	joined = now.Sub(s.lastMessageAt) > livenessTimeout || s.Incarnation != member.Incarnation
	s.Member = member
	s.lastMessageAt = now
	s.revisions = revisions
	return joined
}

// AddReported adds the members that another daemon has listed. It does not mark them
// as live.
func (m *Members) AddReported(members []Member, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range members {
		if m.known[member.Address] == nil {
			m.add(member, now)
		}
	}
}

func (m *Members) add(member Member, now time.Time) *memberState {
	if m.known == nil {
		m.known = map[string]*memberState{}
	}
	if member.Address == "" || len(m.known) >= maxMembers {
		return nil
	}
	s := &memberState{Member: member, reportedAt: now}
	m.known[member.Address] = s
	return s
}

// Live returns the members with the role that have sent a message within
// livenessTimeout, ordered by VM.
func (m *Members) Live(role Role, now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Member
	for _, s := range m.known {
		if s.Role == role && now.Sub(s.lastMessageAt) <= livenessTimeout {
			out = append(out, s.Member)
		}
	}
	sortMembers(out)
	return out
}

// Known returns all members with the role, live or not, ordered by VM. It removes
// members that have been silent for longer than memberRetention.
func (m *Members) Known(role Role, now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []Member
	for address, s := range m.known {
		last := s.lastMessageAt
		if s.reportedAt.After(last) {
			last = s.reportedAt
		}
		if now.Sub(last) > memberRetention {
			delete(m.known, address)
			continue
		}
		if s.Role == role {
			out = append(out, s.Member)
		}
	}
	sortMembers(out)
	return out
}

// Newest returns the live member with the highest revision of a kind, if that is
// above the given one. Members that answer no queries are left out.
func (m *Members) Newest(kind string, above uint64, now time.Time) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var best *memberState
	for _, s := range m.known {
		if s.QueryAddress == "" || now.Sub(s.lastMessageAt) > livenessTimeout || s.revisions[kind] <= above {
			continue
		}
		if best == nil || s.revisions[kind] > best.revisions[kind] || (s.revisions[kind] == best.revisions[kind] && s.VM < best.VM) {
			best = s
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
