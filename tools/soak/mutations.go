package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
)

// mutation removes one mechanism from the daemons, to show that the soak detects
// its absence. The sources stay unchanged: the build replaces the file with a
// changed copy by an overlay.
type mutation struct {
	name     string
	file     string
	old, new string
}

var mutations = []mutation{
	{
		"replica-check", "platform/sender.go",
		"h.Set(HeaderExpectReplica, a.Replica.ID)", "h.Del(HeaderExpectReplica)",
	},
	{
		"not-run-proof", "platform/sender.go",
		"return dispatcher.Lost{Cause: err, Broken: true}\n}\n\n// isAddress",
		"return dispatcher.Refused{Proof: prover.NeverSent(err.Error())}\n}\n\n// isAddress",
	},
	{
		"digest-check", "pkg/verifier/chunk.go",
		"found := m.sum(data)", "found := m.Chunks[index]",
	},
	{
		"drain", "platform/registration.go",
		"r.Draining = state == \"draining\"", "r.Draining = false",
	},
	{
		"stop-intake", "internal/request/drainer/drainer.go",
		"return now.Before(p.IntakeEnds) && (repeatable || !p.hasOtherDaemon(now))", "return true",
	},
	{
		"part-block", "internal/request/blocker/parts.go",
		"\t\tif s := b.parts.blocked[part]; s != nil && s.inForce(now) {\n\t\t\treturn true",
		"\t\tif s := b.parts.blocked[part]; s != nil && s.inForce(now) {\n\t\t\treturn false",
	},
	{
		"version-check", "platform/entry.go",
		"e.versionTracker.CheckPause = s.VersionTime,", "e.versionTracker.CheckPause = 1000*s.VersionTime,",
	},
	{
		"leaving-check", "platform/signals.go",
		"s.OnLeaving(r, now)", "_ = s.OnLeaving",
	},
	{
		"hold-off-check", "platform/signals.go",
		"s.OnHoldOff(r, wait, now)", "_ = s.OnHoldOff",
	},
	{
		"silent-attempt", "platform/events.go",
		"startSilenceTimer(a.EventSilence, a.OnSilence)", "startSilenceTimer(a.EventSilence, s.cancelStalled)",
	},
	{
		"store-era", "platform/store.go",
		"value := h.Get(eraHeader)", "value := \"\"",
	},
	{
		"evacuation-check", "internal/request/placer/evacuation.go",
		"p.evacuated[domain] = true", "_ = domain",
	},
	{
		"cold-limit", "internal/request/placer/cold.go",
		"s.ColdUntil, s.ColdRate = state.Until, state.Rate", "_ = state",
	},
	{
		"evacuation-currency", "internal/coordination/evacuator/currency.go",
		"return !c.evidence.Time.IsZero() && now.Since(c.evidence) <= c.Limit", "return true",
	},
}

func mutationNames() []string {
	var names []string
	for _, m := range mutations {
		names = append(names, m.name)
	}
	return names
}

// mutationError reports a mutation that cannot be applied.
type mutationError struct{ Name, Reason string }

func (e *mutationError) Error() string { return fmt.Sprintf("mutation %q: %s", e.Name, e.Reason) }

// build builds the daemon, with a mutation unless it is empty, and returns the
// path of the binary.
func build(dir, mutation string) (string, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", err
	}
	root, err := moduleRoot()
	if err != nil {
		return "", err
	}
	binary := filepath.Join(dir, "lentil-platform")
	args := []string{"build", "-o", binary}
	if mutation != "" {
		binary += "-without-" + mutation
		overlay, err := writeOverlay(root, dir, mutation)
		if err != nil {
			return "", err
		}
		args = []string{"build", "-overlay", overlay, "-o", binary}
	}
	cmd := exec.Command("go", append(args, "./cmd/lentil-platform")...)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("building the daemon: %w: %s", err, out)
	}
	return binary, nil
}

func moduleRoot() (string, error) {
	out, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return "", err
	}
	return filepath.Dir(strings.TrimSpace(string(out))), nil
}

// writeOverlay writes the changed copy of the file and the overlay that replaces
// the original with it. It returns the path of the overlay.
func writeOverlay(root, dir, name string) (overlay string, err error) {
	for _, m := range mutations {
		if m.name != name {
			continue
		}
		path := filepath.Join(root, m.file)
		source, err := os.ReadFile(path)
		if err != nil {
			return "", err
		}
		if strings.Count(string(source), m.old) != 1 {
			return "", &mutationError{Name: name, Reason: "the text to change does not occur exactly once in " + m.file}
		}
		changed := filepath.Join(dir, name+".go")
		if err := os.WriteFile(changed, []byte(strings.Replace(string(source), m.old, m.new, 1)), 0o600); err != nil {
			return "", err
		}
		raw, err := json.Marshal(map[string]any{"Replace": map[string]string{path: changed}})
		if err != nil {
			return "", err
		}
		overlay = filepath.Join(dir, name+".json")
		return overlay, os.WriteFile(overlay, raw, 0o600)
	}
	return "", &mutationError{Name: name, Reason: "does not exist; there are " + strings.Join(mutationNames(), ", ")}
}
