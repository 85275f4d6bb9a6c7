package gossiper

import (
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/warmer"
)

// EntryView returns the known entry daemons with this one, for the shares in cold replicas.
func (m *Members) EntryView(self Member, now time.Time) warmer.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	view := warmer.View{Alone: true}
	add := func(member Member, live bool) {
		next := warmer.Member{VM: member.VM, FailureDomain: member.FailureDomain, Live: live, Ready: member.Ready}
		// A daemon that has moved to another address is known twice.
		if last := len(view.Members) - 1; last >= 0 && view.Members[last].VM == next.VM {
			if live {
				view.Members[last] = next
			}
			return
		}
		view.Members = append(view.Members, next)
	}
	hasSelf := false
	addSelf := func() {
		if !hasSelf {
			hasSelf = true
			add(self, true)
		}
	}
	for _, s := range m.inOrder() {
		switch {
		case s.Role != Entry, s.isForgotten(now):
			continue
		case s.VM == self.VM:
			addSelf()
			continue
		case s.VM > self.VM:
			addSelf()
		}
		view.Alone = false
		add(s.Member, s.isLive(now))
	}
	addSelf()
	return view
}
