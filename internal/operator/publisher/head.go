package publisher

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	// HeadKey is the key of the head. Updating it brings a revision into force.
	HeadKey = "config/head"
	// PartPrefix is the key prefix of parts; the rest of the key is the SHA-256
	// digest of the part's objects.
	PartPrefix = "config/parts/"

	// maxParts limits the parts of a revision. With maxPartBytes it limits a
	// revision to 57.6 MB, less than half of the 128 MB that a daemon may use.
	maxParts = 64
	// maxHistory limits the entries of the head's history. An edit whose base
	// revision is older than the history is refused.
	maxHistory = 64
	// maxHistoryChanges limits the changed objects over all history entries.
	maxHistoryChanges = 512
)

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Head identifies the current revision and its parts, for example:
//
//	{"revision":7,"parts":["3f…"],"writer":"5be1…","history":[{"revision":7,"writer":"5be1…","author":"mali",
//	 "time-unix-ms":1780000000000,"changes":[{"kind":"team","name":"presses","fields":["weight"]}]}]}
type Head struct {
	Revision uint64 `json:"revision"`
	// Parts are the digests of the parts, in the order of the objects.
	Parts []string `json:"parts"`
	// Writer identifies the Publish call that wrote the head. If the response to
	// the update is lost, it shows whether the update was applied.
	Writer string `json:"writer"`
	// History lists the latest publishes, oldest first.
	History []HistoryEntry `json:"history"`
	// Era is the era of the store from which the head was read.
	Era uint64 `json:"-"`
}

// HistoryEntry records one publish.
type HistoryEntry struct {
	// Revision is the revision that the publish created.
	Revision uint64 `json:"revision"`
	// Writer identifies the Publish call.
	Writer string `json:"writer"`
	// Author is the operator's name.
	Author     string `json:"author"`
	TimeMillis int64  `json:"time-unix-ms"`
	// Changes lists the changed objects. If there are more than
	// maxHistoryChanges, it is empty and All is set.
	Changes []HistoryChange `json:"changes,omitempty"`
	// All marks every object as changed for conflict detection.
	All bool `json:"all,omitempty"`
	// CarriedOver is the earlier revision whose content a daemon published again
	// after a restore of the store, or 0. With All, only edits with an older base
	// conflict.
	CarriedOver uint64 `json:"carried-over,omitempty"`
}

// HistoryChange records one changed object of a publish.
type HistoryChange struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Fields are the changed fields, without kind and name.
	Fields []string `json:"fields,omitempty"`
	// Deleted reports whether the publish deleted the object.
	Deleted bool `json:"deleted,omitempty"`
}

// DecodeHead decodes and validates the value of the head. It returns a
// *CorruptError if the value is malformed.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, &CorruptError{Key: HeadKey, Message: "cannot be decoded", Cause: err}
	}
	switch {
	case h.Revision == 0:
		return Head{}, &CorruptError{Key: HeadKey, Message: "the revision is 0"}
	case len(h.Parts) == 0 || len(h.Parts) > maxParts:
		return Head{}, &CorruptError{Key: HeadKey, Message: fmt.Sprintf("the number of parts is %d, not 1 to %d", len(h.Parts), maxParts)}
	}
	for i, digest := range h.Parts {
		if !digestPattern.MatchString(digest) {
			return Head{}, &CorruptError{Key: HeadKey, Message: fmt.Sprintf("the name of part %d is not a SHA-256 digest", i)}
		}
	}
	return h, nil
}

// revisionBy returns the revision that the writer published, or 0 if the
// history has none.
func (h Head) revisionBy(writer string) uint64 {
	for _, entry := range h.History {
		if entry.Writer == writer {
			return entry.Revision
		}
	}
	return 0
}

// appendHistory returns a copy of the history with the entry appended. It drops
// the oldest entries beyond maxHistory and maxHistoryChanges.
func appendHistory(history []HistoryEntry, entry HistoryEntry) []HistoryEntry {
	if len(entry.Changes) > maxHistoryChanges {
		entry.Changes = nil
		entry.All = true
	}
	all := append(append([]HistoryEntry(nil), history...), entry)
	changes := 0
	first := len(all)
	for first > 0 && len(all)-first < maxHistory && changes+len(all[first-1].Changes) <= maxHistoryChanges {
		first--
		changes += len(all[first].Changes)
	}
	return all[first:]
}

// oldestKnownBase returns the lowest revision after which the history is
// complete. Edits with an older base cannot be checked for conflicts.
func (h Head) oldestKnownBase() uint64 {
	if len(h.History) == 0 {
		return h.Revision
	}
	return h.History[0].Revision - 1
}

// lastChange returns the newest change of the object after the base revision,
// with its history entry. The change is empty for an entry with All set.
func (h Head) lastChange(ref parser.Ref, base uint64) (HistoryEntry, HistoryChange, bool) {
	for i := len(h.History) - 1; i >= 0; i-- {
		entry := h.History[i]
		if entry.Revision <= base {
			break
		}
		if entry.CarriedOver > 0 && base >= entry.CarriedOver {
			continue
		}
		if entry.All {
			return entry, HistoryChange{}, true
		}
		for _, change := range entry.Changes {
			if change.Kind == ref.Kind && change.Name == ref.Name {
				return entry, change, true
			}
		}
	}
	return HistoryEntry{}, HistoryChange{}, false
}

// references reports whether the head lists the part.
func (h Head) references(o adapter.Object) bool {
	digest := strings.TrimPrefix(o.Key, PartPrefix)
	return slices.Contains(h.Parts, digest)
}
