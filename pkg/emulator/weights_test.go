package emulator_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lentilbridge/lentilbridge/pkg/adapter"
	"github.com/lentilbridge/lentilbridge/pkg/emulator"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

func newWeights(t *testing.T) (*emulator.Weights, *adapter.HTTPWeightSource) {
	w := &emulator.Weights{Sources: map[string]emulator.WeightsVersion{
		"m/1": {Model: "m", Name: "m-1", SizeBytes: 200_000, ChunkSizeBytes: 65536, Seed: 3},
	}}
	server := httptest.NewServer(w)
	t.Cleanup(server.Close)
	return w, &adapter.HTTPWeightSource{BaseURL: server.URL}
}

// Guards against ranges that do not match the manifest and against reads that are
// not counted.
func TestWeightsServesManifestAndRanges(t *testing.T) {
	c := qt.New(t)
	w, source := newWeights(t)
	raw, err := source.Manifest(t.Context(), "m/1")
	c.Assert(err, qt.IsNil)
	m, err := verifier.ParseExpectedManifest(raw, w.Digest("m/1"))
	c.Assert(err, qt.IsNil)
	c.Assert(m.Chunks, qt.HasLen, 4)
	for i := range m.Chunks {
		data, err := source.ReadRange(t.Context(), "m/1", m.ChunkOffset(i), m.ChunkBytes(i))
		c.Assert(err, qt.IsNil)
		_, err = verifier.VerifyChunk(m, i, data)
		c.Assert(err, qt.IsNil)
	}
	c.Assert(w.Stats()["m/1"], qt.Equals, emulator.WeightsStats{Requests: 4, DataBytes: 200_000, Manifests: 1})
}

// Guards against a client that accepts an error body or a short response as
// weights.
func TestWeightSourceReportsFailures(t *testing.T) {
	c := qt.New(t)
	w, source := newWeights(t)
	assertReadFails := func(path string, offset, length int64) {
		t.Helper()
		_, err := source.ReadRange(t.Context(), path, offset, length)
		var sourceErr *adapter.WeightSourceError
		c.Assert(errors.As(err, &sourceErr), qt.IsTrue, qt.Commentf("%v", err))
	}
	assertReadFails("m/2", 0, 10)
	assertReadFails("m/1", 199_999, 2)
	assertReadFails("m/1", -1, 2)
	assertReadFails("m/1", 0, 0)
	w.SetFaults(emulator.WeightsFaults{Down: true})
	assertReadFails("m/1", 0, 10)
	_, err := source.Manifest(t.Context(), "m/1")
	c.Assert(err, qt.IsNotNil)
}

// Guards against faults that cannot be set over HTTP or have no effect.
func TestWeightsInjectsFaults(t *testing.T) {
	c := qt.New(t)
	w, source := newWeights(t)
	post := func(body string, status int) {
		t.Helper()
		resp, err := http.Post(source.BaseURL+"/faults", "application/json", strings.NewReader(body))
		c.Assert(err, qt.IsNil)
		defer resp.Body.Close()
		c.Assert(resp.StatusCode, qt.Equals, status)
	}
	post(`{"corrupt-every":2}`, http.StatusNoContent)
	post(`{"corrupt":2}`, http.StatusBadRequest)
	first, err := source.ReadRange(t.Context(), "m/1", 0, 100)
	c.Assert(err, qt.IsNil)
	second, err := source.ReadRange(t.Context(), "m/1", 0, 100)
	c.Assert(err, qt.IsNil)
	c.Assert(string(first) == string(second), qt.IsFalse)
	post(`{"stall":true}`, http.StatusNoContent)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = source.ReadRange(ctx, "m/1", 0, 100)
	c.Assert(err, qt.ErrorIs, context.DeadlineExceeded)
	w.SetFaults(emulator.WeightsFaults{})
	_, err = source.ReadRange(t.Context(), "m/1", 0, 100)
	c.Assert(err, qt.IsNil)
	resp, err := http.Get(source.BaseURL + "/stats")
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(string(body), qt.Contains, `"corrupted":1`)
}
