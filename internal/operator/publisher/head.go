package publisher

import (
	"encoding/json"
	"regexp"
	"slices"
	"strings"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

const (
	// HeadKey is the key of the head. Its change puts a revision in force.
	HeadKey = "config/head"
	// PartPrefix is the prefix of the content-addressed parts.
	PartPrefix = "config/parts/"

	// maxParts times maxPartBytes bounds a revision to 57.6 MB, less than half
	// of the 128 MB that a daemon may use.
	maxParts = 64
	// maxHistory bounds the edits that the head lists. An operator who takes
	// longer than this number of edits has to read the objects again.
	maxHistory = 64
	// maxHistoryChanges bounds the changed objects listed over all edits.
	maxHistoryChanges = 512
)

var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Head names the current revision and its parts, for example:
//
//	{"revision":7,"parts":["3f…"],"writer":"5be1…","history":[{"revision":7,"writer":"5be1…","author":"mali",
//	 "time-unix-ms":1780000000000,"changes":[{"kind":"team","name":"presses","fields":["weight"]}]}]}
type Head struct {
	Revision uint64   `json:"revision"`
	Parts    []string `json:"parts"`
	// Writer identifies one publish; a lost answer is resolved by it.
	Writer string `json:"writer"`
	// History lists the last edits, the newest last.
	History []HistoryEntry `json:"history"`
}

// HistoryEntry is one published edit.
type HistoryEntry struct {
	Revision   uint64 `json:"revision"`
	Writer     string `json:"writer"`
	Author     string `json:"author"`
	TimeMillis int64  `json:"time-unix-ms"`
	// Changes lists the changed objects. All is set instead when there are too
	// many of them.
	Changes []HistoryChange `json:"changes,omitempty"`
	All     bool            `json:"all,omitempty"`
}

// HistoryChange is one object that an edit changed.
type HistoryChange struct {
	Kind   string   `json:"kind"`
	Name   string   `json:"name"`
	Fields []string `json:"fields,omitempty"`
	// Deleted is set when the edit deleted the object.
	Deleted bool `json:"deleted,omitempty"`
}

// DecodeHead reads the value of the head and checks it.
func DecodeHead(value []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(value, &h); err != nil {
		return Head{}, &CorruptError{Key: HeadKey, Message: "cannot be decoded", Cause: err}
	}
	switch {
	case h.Revision == 0:
		return Head{}, &CorruptError{Key: HeadKey, Message: "revision is 0"}
	case len(h.Parts) == 0 || len(h.Parts) > maxParts:
		return Head{}, &CorruptError{Key: HeadKey, Message: "number of parts is not from 1 to 64"}
	}
	for _, digest := range h.Parts {
		if !digestPattern.MatchString(digest) {
			return Head{}, &CorruptError{Key: HeadKey, Message: "a part is not named by a digest"}
		}
	}
	return h, nil
}

// wroteRevision returns the revision that the writer published, or 0.
func (h Head) wroteRevision(writer string) uint64 {
	for _, entry := range h.History {
		if entry.Writer == writer {
			return entry.Revision
		}
	}
	return 0
}

// addHistory appends the entry and drops the oldest ones above the limits.
func addHistory(history []HistoryEntry, entry HistoryEntry) []HistoryEntry {
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

// oldestBase returns the lowest revision of which all later changes are known.
func (h Head) oldestBase() uint64 {
	if len(h.History) == 0 {
		return h.Revision
	}
	return h.History[0].Revision - 1
}

// lastChange returns the newest edit after the base revision that touched the
// object.
func (h Head) lastChange(ref parser.Ref, base uint64) (HistoryEntry, HistoryChange, bool) {
	for i := len(h.History) - 1; i >= 0; i-- {
		entry := h.History[i]
		if entry.Revision <= base {
			break
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

// references tells whether the object is a part of the revision.
func (h Head) references(o adapter.Object) bool {
	digest := strings.TrimPrefix(o.Key, PartPrefix)
	return slices.Contains(h.Parts, digest)
}
