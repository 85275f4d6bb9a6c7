package reporter

import (
	"encoding/json"
	"strings"

	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// document is the value of status/<region> and its parts.
type document struct {
	Region     string `json:"region"`
	TimeUnixMS int64  `json:"time-unix-ms"`
	// Part counts from 0; Parts is the number of parts, all but the first of
	// them at status/<region>/<part>.
	Part    int               `json:"part"`
	Parts   int               `json:"parts"`
	Daemons []json.RawMessage `json:"daemons"`
}

type daemon struct {
	VM             string     `json:"vm"`
	Role           string     `json:"role"`
	Region         string     `json:"region"`
	Revision       uint64     `json:"revision"`
	Model          string     `json:"model,omitempty"`
	Service        string     `json:"service,omitempty"`
	Fleet          string     `json:"fleet,omitempty"`
	Version        string     `json:"version,omitempty"`
	VersionName    string     `json:"version-name,omitempty"`
	State          string     `json:"state"`
	Transfers      []transfer `json:"transfers,omitempty"`
	LastOrderError string     `json:"last-order-error,omitempty"`
}

type transfer struct {
	Digest             string `json:"digest"`
	ChunksHeld         uint32 `json:"chunks-held"`
	ChunksTotal        uint32 `json:"chunks-total"`
	BytesFromOrigin    uint64 `json:"bytes-from-origin"`
	BytesFromPeers     uint64 `json:"bytes-from-peers"`
	BytesAcrossRegions uint64 `json:"bytes-across-regions"`
	Complete           bool   `json:"complete"`
	Error              string `json:"error,omitempty"`
}

// encodeDaemon returns the JSON of one daemon's status.
func encodeDaemon(s *messenger.DaemonStatus) json.RawMessage {
	r := s.GetReplica()
	d := daemon{
		VM: s.GetVm(), Role: s.GetRole(), Region: s.GetRegion(), Revision: s.GetRevision(),
		Model: r.GetModel(), Service: r.GetService(), Fleet: r.GetFleet(),
		Version: r.GetVersion(), VersionName: r.GetVersionName(),
		State: stateName(r), LastOrderError: s.GetLastOrderError(),
	}
	for _, t := range s.GetTransfers() {
		d.Transfers = append(d.Transfers, transfer{
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

// stateName returns "ready" for REPLICA_STATE_READY, and for an entry daemon,
// which has no replica.
func stateName(r *messenger.Replica) string {
	if r == nil {
		return "ready"
	}
	return strings.ToLower(strings.TrimPrefix(r.GetState().String(), "REPLICA_STATE_"))
}
