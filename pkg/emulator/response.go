package emulator

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"maps"
	"net/http"
	"slices"
)

func writeJSON(w http.ResponseWriter, body any) { writeJSONStatus(w, http.StatusOK, body) }

func writeJSONStatus(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Encode fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(body)
}

// newInstanceID returns a random identifier of an engine process.
func newInstanceID() string {
	var b [8]byte
	// rand.Read never returns an error.
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func sortedKeys(m map[string]string) []string {
	return slices.Sorted(maps.Keys(m))
}
