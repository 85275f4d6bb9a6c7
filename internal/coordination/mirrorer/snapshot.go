package mirrorer

import (
	"encoding/json"
	"time"
)

// Object is one object of the store.
type Object struct {
	Name string `json:"name"`
	// Revision is the position of the latest change, as all revisions of this package:
	// see JoinRevision.
	Revision uint64          `json:"revision"`
	Spec     json.RawMessage `json:"spec"`
	// Status is kept for kinds whose daemons write it.
	Status json.RawMessage `json:"status,omitempty"`
}

// Snapshot is the state of a kind at a revision of the store.
type Snapshot struct {
	Revision uint64 `json:"revision"`
	// ContentRevision is the revision at which the objects last changed. The revision
	// of the store also increases with changes of other kinds.
	ContentRevision uint64 `json:"content"`
	// Objects holds the objects by name.
	Objects map[string]Object `json:"objects"`
	// ReadAt is when the source was asked for the list, or zero if the answer may be older
	// than that.
	ReadAt time.Time `json:"-"`
	// ChangedAfter is the earliest time of the latest changes of a copy: when the source
	// was last asked and answered without them, or when a prompt watch delivered them. Soon
	// after a restore neither shows that they are new. It is zero if that is unknown.
	ChangedAfter time.Time `json:"-"`
	// MadeAfter is the earliest time at which a store that had no outage since made the
	// latest changes, also if another daemon learned of them first. It is zero if that is
	// unknown.
	MadeAfter time.Time `json:"-"`
	// Unanswered is set if this daemon polls the source, and the source answered none of
	// its polls between ChangedAfter and the latest changes.
	Unanswered bool `json:"-"`
}

// Change is the new state of an object, or its deletion.
type Change struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted,omitempty"`
}

// Changes holds the changes up to a revision.
type Changes struct {
	Revision uint64   `json:"revision"`
	List     []Change `json:"list"`
	// ReadAt is when the source was asked, or zero as in Snapshot.
	ReadAt time.Time `json:"-"`
	// Prompt is set if the watch would have waited at the store for changes.
	Prompt bool `json:"-"`
	// MadeAfter is that of the first of the changes, as in Snapshot.
	MadeAfter time.Time `json:"-"`
}

// Update brings the copy of another daemon up to date: Snapshot or Changes.
type Update interface{ update() }

func (Snapshot) update() {}
func (Changes) update()  {}
