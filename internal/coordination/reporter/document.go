package reporter

import (
	"encoding/json"
	"strings"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// document is the value of the object status/<region> and of its other parts.
type document struct {
	Region     string `json:"region"`
	TimeUnixMS int64  `json:"time-unix-ms"`
	// Part is the index of this part, from 0. Parts is the number of parts. Part 0 is
	// stored at status/<region>, the others at status/<region>/<part>.
	Part    int               `json:"part"`
	Parts   int               `json:"parts"`
	Daemons []json.RawMessage `json:"daemons"`
}

// encodeDaemon returns the JSON encoding of the status of one daemon.
func encodeDaemon(s *messenger.DaemonStatus) json.RawMessage {
	r := s.GetReplica()
	d := parser.DaemonStatus{
		VM: s.GetVm(), Role: s.GetRole(), Region: s.GetRegion(), Revision: s.GetRevision(),
		Model: r.GetModel(), Service: r.GetService(), Fleet: r.GetFleet(),
		Version: r.GetVersion(), VersionName: r.GetVersionName(),
		State: stateName(r), LastOrderError: s.GetLastOrderError(),
	}
	for _, t := range s.GetTransfers() {
		d.Transfers = append(d.Transfers, parser.TransferStatus{
			Digest: t.GetDigest(), ChunksHeld: t.GetChunksHeld(), ChunksTotal: t.GetChunksTotal(),
			BytesFromOrigin: t.GetBytesFromOrigin(), BytesFromPeers: t.GetBytesFromPeers(),
			BytesAcrossRegions: t.GetBytesAcrossRegions(), Complete: t.GetComplete(), Error: t.GetError(),
		})
	}
	encoded, err := json.Marshal(d)
	if err != nil {
		panic(err) // A struct of strings and numbers always encodes.
	}
	return encoded
}

// stateName returns the state of a replica in lower case without its enum prefix. For
// an entry daemon, which has no replica, it returns "ready".
func stateName(r *messenger.Replica) string {
	if r == nil {
		return "ready"
	}
	return strings.ToLower(strings.TrimPrefix(r.GetState().String(), "REPLICA_STATE_"))
}
