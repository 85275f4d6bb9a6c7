package parser

import (
	"encoding/json"
	"fmt"
)

// wireRevision is the JSON form in which daemons send revisions to each other.
type wireRevision struct {
	Number  uint64          `json:"revision"`
	Objects json.RawMessage `json:"objects"`
}

// EncodeRevision returns the JSON form of a revision:
//
//	{"revision":7,"objects":[…]}
func EncodeRevision(revision *Revision) ([]byte, error) {
	objects, err := Encode(revision.Set)
	if err != nil {
		return nil, err
	}
	return json.Marshal(wireRevision{Number: revision.Number, Objects: objects})
}

// DecodeRevision decodes the output of EncodeRevision.
func DecodeRevision(data []byte) (*Revision, error) {
	var wire wireRevision
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, fmt.Errorf("decode revision: %w", err)
	}
	set, err := Decode(wire.Objects)
	if err != nil {
		return nil, err
	}
	return &Revision{Number: wire.Number, Set: set}, nil
}
