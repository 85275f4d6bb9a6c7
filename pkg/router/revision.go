package router

import (
	"encoding/json"
	"fmt"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// wireRevision is a revision as daemons pass it on.
type wireRevision struct {
	Number  uint64          `json:"revision"`
	Objects json.RawMessage `json:"objects"`
}

func encodeRevision(revision *parser.Revision) ([]byte, error) {
	objects, err := parser.Encode(revision.Set)
	if err != nil {
		return nil, err
	}
	return json.Marshal(wireRevision{Number: revision.Number, Objects: objects})
}

func decodeRevision(data []byte) (*parser.Revision, error) {
	var wire wireRevision
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, fmt.Errorf("decode revision: %w", err)
	}
	set, err := parser.Decode(wire.Objects)
	if err != nil {
		return nil, err
	}
	return &parser.Revision{Number: wire.Number, Set: set}, nil
}
