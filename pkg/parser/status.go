package parser

import "encoding/json"

// Prefixes of the object API keys under which daemons store status objects.
const (
	StatusPrefix  = "status/"
	RolloutPrefix = "rollouts/"
	BlockPrefix   = "blocks/"
	EntryPrefix   = "entries/"
)

// Phases of a rollout, as reported in RolloutStatus.
const (
	PhasePending      = "pending"
	PhaseTransferring = "transferring"
	PhaseActivating   = "activating"
	PhaseDone         = "done"
	PhasePaused       = "paused"
	PhaseAborted      = "aborted"
	PhaseFailed       = "failed"
)

// RegionStatus is the value of the object status/<region>.
type RegionStatus struct {
	Region     string         `json:"region"`
	TimeMillis int64          `json:"time-unix-ms"`
	Daemons    []DaemonStatus `json:"daemons"`
}

// DaemonStatus is the status of one entry daemon or agent.
type DaemonStatus struct {
	VM             string           `json:"vm"`
	Role           string           `json:"role"`
	Region         string           `json:"region"`
	Revision       uint64           `json:"revision"`
	Model          string           `json:"model,omitempty"`
	Service        string           `json:"service,omitempty"`
	Fleet          string           `json:"fleet,omitempty"`
	Version        string           `json:"version,omitempty"`
	VersionName    string           `json:"version-name,omitempty"`
	State          string           `json:"state"`
	Transfers      []TransferStatus `json:"transfers,omitempty"`
	LastOrderError string           `json:"last-order-error,omitempty"`
}

// TransferStatus is the progress of the transfer of one model version to one
// agent.
type TransferStatus struct {
	Digest             string `json:"digest"`
	ChunksHeld         uint32 `json:"chunks-held"`
	ChunksTotal        uint32 `json:"chunks-total"`
	BytesFromOrigin    uint64 `json:"bytes-from-origin"`
	BytesFromPeers     uint64 `json:"bytes-from-peers"`
	BytesAcrossRegions uint64 `json:"bytes-across-regions"`
	Complete           bool   `json:"complete"`
	Error              string `json:"error,omitempty"`
}

// RolloutStatus is the value of the object rollouts/<name>.
type RolloutStatus struct {
	Rollout     string `json:"rollout"`
	Fleet       string `json:"fleet"`
	Version     string `json:"version"`
	Digest      string `json:"digest"`
	Phase       string `json:"phase"`
	Replicas    int    `json:"replicas"`
	Transferred int    `json:"transferred"`
	Active      int    `json:"active"`
	// Evacuated is the number of replicas in evacuated failure domains that do not
	// serve the version and are not waited for.
	Evacuated       int    `json:"evacuated,omitempty"`
	StartedMillis   int64  `json:"started-unix-ms"`
	DoneMillis      int64  `json:"done-unix-ms,omitempty"`
	BytesFromOrigin uint64 `json:"bytes-from-origin"`
	Message         string `json:"message,omitempty"`
}

// BlockList is the value of the object blocks/<shard>.
type BlockList struct {
	Blocks []Block `json:"blocks"`
	// Lifted are the blocks that operators have lifted before their end.
	Lifted []Lift `json:"lifted,omitempty"`
}

// Lift is the removal of a block by an operator. A later block of the fingerprint
// has another end.
type Lift struct {
	Fingerprint string `json:"fingerprint"`
	UntilMillis int64  `json:"until-unix-ms"`
}

// Block prevents requests with the fingerprint from running until it expires.
type Block struct {
	Fingerprint string   `json:"fingerprint"`
	Team        string   `json:"team"`
	VMs         []string `json:"vms"`
	UntilMillis int64    `json:"until-unix-ms"`
}

// DecodeStatus decodes a status object. It ignores unknown fields, so that an
// older lentil command can read the status of newer daemons.
func DecodeStatus[T RegionStatus | RolloutStatus | BlockList](value []byte) (T, error) {
	var status T
	err := json.Unmarshal(value, &status)
	return status, err
}
