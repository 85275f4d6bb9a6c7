package gossiper

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// livenessTimeout is how long a daemon counts as live after its last message. It
	// is about three times DefaultNearInterval.
	livenessTimeout = 1600 * time.Millisecond
	// domainLivenessTimeout is how long a daemon of another failure domain counts as
	// live after the last digest that lists it. It is about three times
	// completeInterval.
	domainLivenessTimeout = 3200 * time.Millisecond
	// memberRetention is the time after which a silent daemon is removed.
	memberRetention = 5 * time.Minute
	// DefaultMaxMembers limits memory use if another program sends messages.
	DefaultMaxMembers = 4096
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
	// Evacuations is the revision of the daemon's copy of the evacuations, or 0 if it has none. Digests carry
	// it for each daemon of a failure domain.
	Evacuations uint64 `json:"evacuations,omitempty"`
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
	// listedAt is when a digest of its failure domain last listed the member. It is
	// zero after a complete digest without it.
	listedAt time.Time
	// reportedAt is when the member was added.
	reportedAt time.Time
	// revisions holds the revision of each kind of objects that the member mirrors.
	revisions map[string]uint64
}

// Members holds the known daemons by address. The zero value is ready for use. Max is set before use.
type Members struct {
	// Max is the number of daemons that are kept. 0 stands for DefaultMaxMembers.
	Max int

	mu    sync.Mutex
	known map[string]*memberState
	// ordered holds the members by VM. It is nil after a change of the members.
	ordered []*memberState
}

// RecordMessage records a message of a member. It reports whether the member is new,
// has restarted, or was not live. Messages of an earlier incarnation are ignored.
func (m *Members) RecordMessage(member Member, revisions map[string]uint64, now time.Time) (joined bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.known[member.Address]
	if s != nil && s.supersedes(member) {
		return false
	}
	if s == nil {
		if s = m.add(member, now); s == nil {
			return false
		}
	}
	joined = !s.isLive(now) || s.Incarnation != member.Incarnation
	m.update(s, member)
	s.lastMessageAt = now
	s.revisions = revisions
	return joined
}

// isReturning reports whether a message is of a member that has sent some before, was not live
// since and has not been restarted.
func (m *Members) isReturning(member Member, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.known[member.Address]
	return s != nil && !s.lastMessageAt.IsZero() && s.Incarnation == member.Incarnation && !s.isLive(now)
}

// supersedes reports whether the record is of a later incarnation than a message. That of a
// member that is known only from the object store or from lists shows nothing, as it may be wrong.
func (s *memberState) supersedes(member Member) bool {
	confirmed := !s.lastMessageAt.IsZero() || !s.listedAt.IsZero()
	return confirmed && s.VM == member.VM && s.Incarnation > member.Incarnation
}

// isLive reports whether the member sent a message recently or was listed by a recent
// digest.
func (s *memberState) isLive(now time.Time) bool {
	return now.Sub(s.lastMessageAt) <= livenessTimeout || now.Sub(s.listedAt) <= domainLivenessTimeout
}

// RecordDomain records the live members of another failure domain. With complete, the
// others of that domain are not live, unless they sent a message recently.
func (m *Members) RecordDomain(domain string, members []Member, complete bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, member := range members {
		s := m.known[member.Address]
		if s == nil {
			if s = m.add(member, now); s == nil {
				continue
			}
		}
		if s.supersedes(member) {
			continue
		}
		m.update(s, member)
		s.listedAt = now
	}
	if !complete {
		return
	}
	for _, s := range m.known {
		if s.FailureDomain == domain && s.listedAt != now {
			s.listedAt = time.Time{}
		}
	}
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
	if member.Address == "" || len(m.known) >= cmp.Or(m.Max, DefaultMaxMembers) {
		return nil
	}
	s := &memberState{Member: member, reportedAt: now}
	m.known[member.Address] = s
	m.ordered = nil
	return s
}

// update replaces the record of a member.
func (m *Members) update(s *memberState, member Member) {
	if s.VM != member.VM {
		m.ordered = nil
	}
	s.Member = member
}

// inOrder returns all members by VM. It is called with the lock held.
func (m *Members) inOrder() []*memberState {
	if m.ordered == nil {
		for _, s := range m.known {
			m.ordered = append(m.ordered, s)
		}
		slices.SortFunc(m.ordered, func(a, b *memberState) int { return compareMembers(&a.Member, &b.Member) })
	}
	return m.ordered
}

// Live returns the members with the role of which reports have arrived recently,
// ordered by VM.
func (m *Members) Live(role Role, now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Member, 0, len(m.known))
	for _, s := range m.inOrder() {
		if s.Role == role && s.isLive(now) {
			out = append(out, s.Member)
		}
	}
	return out
}

// Known returns all members with the role, live or not, ordered by VM. It removes
// members that have been silent for longer than memberRetention.
func (m *Members) Known(role Role, now time.Time) []Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Member, 0, len(m.known))
	for _, s := range m.inOrder() {
		if s.isForgotten(now) {
			delete(m.known, s.Address)
			m.ordered = nil
			continue
		}
		if s.Role == role {
			out = append(out, s.Member)
		}
	}
	return out
}

// isForgotten reports whether the member has been silent for longer than
// memberRetention.
func (s *memberState) isForgotten(now time.Time) bool {
	return now.Sub(s.lastMessageAt) > memberRetention && now.Sub(s.reportedAt) > memberRetention && now.Sub(s.listedAt) > memberRetention
}

// Newest returns a live member with the highest revision of a kind, if that is above
// the given one. Members of other failure domains are considered only if includeFar is
// set and there is none in the given one, and those to avoid if there is no other. One of
// several is chosen at random, so that a change spreads as along a tree. Members that answer
// no queries are left out.
func (m *Members) Newest(kind string, above uint64, failureDomain string, includeFar bool, avoid func(*Member) bool, now time.Time) (Member, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var near, far, avoided newestMembers
	for _, s := range m.known {
		revision := s.revisions[kind]
		if s.QueryAddress == "" || now.Sub(s.lastMessageAt) > livenessTimeout || revision <= above {
			continue
		}
		isNear := s.FailureDomain == failureDomain
		switch {
		case !isNear && !includeFar:
		case avoid(&s.Member):
			avoided.add(s.Member, revision)
		case isNear:
			near.add(s.Member, revision)
		default:
			far.add(s.Member, revision)
		}
	}
	for _, list := range [][]Member{near.list, far.list, avoided.list} {
		if len(list) > 0 {
			return list[rand.IntN(len(list))], true
		}
	}
	return Member{}, false
}

// newestMembers are the members with the highest revision.
type newestMembers struct {
	list     []Member
	revision uint64
}

// add adds a member, or replaces the list if the member has a higher revision.
func (n *newestMembers) add(m Member, revision uint64) {
	switch {
	case revision > n.revision:
		n.list, n.revision = []Member{m}, revision
	case revision == n.revision:
		n.list = append(n.list, m)
	}
}

func sortMembers(list []Member) {
	slices.SortFunc(list, func(a, b Member) int { return compareMembers(&a, &b) })
}

func compareMembers(a, b *Member) int {
	return cmp.Or(strings.Compare(a.VM, b.VM), strings.Compare(a.Address, b.Address))
}
