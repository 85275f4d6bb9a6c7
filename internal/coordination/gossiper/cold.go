package gossiper

import "time"

// minColdChange is the least extension of the time for which a replica remains cold that is sent at once.
const minColdChange = 500 * time.Millisecond

// isColder reports whether the replica remains cold for longer than a state of an earlier time says.
func (s *ReplicaState) isColder(before *ReplicaState) bool {
	return s.ColdMs > 0 && s.ColdMs > before.ColdMs+int(minColdChange.Milliseconds())
}
