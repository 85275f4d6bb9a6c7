package warmer

import (
	"slices"
	"time"
)

// Missing returns the VMs of the entry daemons of this failure domain that are not live and have not drained. They may receive
// messages and send requests, while what they send to others is lost; the others inform them. Without limits there are none.
func (w *Warmer) Missing() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.limits) == 0 {
		return nil
	}
	var out []string
	for _, m := range w.view.Members {
		if m.FailureDomain == w.FailureDomain && !m.Live && m.Ready {
			out = append(out, m.VM)
		}
	}
	return out
}

// RecordMissing records which daemons are missing for another entry daemon of the failure domain.
func (w *Warmer) RecordMissing(by string, vms []string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.limits) == 0 || !slices.Contains(vms, w.VM) {
		delete(w.missingFor, by)
		return
	}
	if w.missingFor == nil {
		w.missingFor = map[string]time.Time{}
	}
	if len(w.missingFor) < maxLost {
		w.missingFor[by] = now
	}
}

// isMissing reports whether this daemon is missing for half of the live entry daemons of the failure domain. Some may lose
// several messages in a row without a failure.
func (w *Warmer) isMissing(now time.Time) bool {
	if len(w.missingFor) == 0 {
		return false
	}
	live, by := 0, 0
	for _, m := range w.view.Members {
		if m.FailureDomain != w.FailureDomain || m.VM == w.VM || !m.Live {
			continue
		}
		live++
		if at, ok := w.missingFor[m.VM]; ok && now.Sub(at) <= maxReportAge {
			by++
		}
	}
	return by > 0 && 2*by >= live
}
