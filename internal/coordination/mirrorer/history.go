package mirrorer

import "time"

// maxHistoryChanges is the maximum number of changes that are kept for other daemons.
// It covers a restart of a fleet of some hundred replicas.
const maxHistoryChanges = 1024

// history holds which objects the latest changes of a copy concern. Their contents are
// in the copy: a large object that changes often would take its size for each change.
type history struct {
	// start is the revision from which on all changes are in batches.
	start   uint64
	batches []Changes
	changes int
}

// add adds changes without the contents of their objects.
func (h *history) add(c Changes) {
	list := make([]Change, len(c.List))
	for i, change := range c.List {
		list[i] = Change{Object: Object{Name: change.Object.Name, Revision: change.Object.Revision}, Deleted: change.Deleted}
	}
	c.List = list
	h.batches = append(h.batches, c)
	h.changes += len(c.List)
	for h.changes > maxHistoryChanges {
		h.changes -= len(h.batches[0].List)
		h.start = h.batches[0].Revision
		h.batches = h.batches[1:]
	}
}

// since returns the changes after a content revision, only the latest of each object, the
// earliest time of the first one, and false if they are not all known. The revision may
// lie within a batch, whose changes are then returned again: applying a change twice has
// no effect.
func (h *history) since(content uint64) (list []Change, madeAfter time.Time, ok bool) {
	if content == 0 || content < h.start {
		return nil, time.Time{}, false
	}
	positions := map[string]int{}
	for _, b := range h.batches {
		if b.Revision <= content {
			continue
		}
		if len(list) == 0 || b.MadeAfter.Before(madeAfter) {
			madeAfter = b.MadeAfter
		}
		for _, change := range b.List {
			if i, found := positions[change.Object.Name]; found {
				list[i] = change
				continue
			}
			positions[change.Object.Name] = len(list)
			list = append(list, change)
		}
	}
	return list, madeAfter, true
}
