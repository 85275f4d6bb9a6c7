package cataloger

import (
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/placer"
)

// RecordReplaced records that another replica responded at the address of one, which is not there any more.
// Its registration is not used until it changes, or until the store would have removed it. It reports whether
// that is new.
func (c *Catalog) RecordReplaced(r placer.Replica, now time.Time) (isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[r.ID]
	if e == nil || e.suspicion != notSuspected || e.replica.Address != r.Address || e.replica.StartedAtMs != r.StartedAtMs {
		return false
	}
	e.suspicion, e.takenAt, e.confirmed = addressTaken, now, false
	c.logChange("another replica responded at its address, not used", e.replica, now)
	return true
}
