package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sort"
	"strings"

	"github.com/lentilbridge/lentilbridge/pkg/parser"
	"github.com/lentilbridge/lentilbridge/pkg/verifier"
)

// readDeployment reads the objects of a deployment.
func readDeployment(path string) (*parser.Set, error) {
	declaration, err := parser.ReadPaths([]string{path})
	if err != nil {
		return nil, err
	}
	set := parser.NewSet()
	for _, o := range declaration.Objects {
		set.Add(o.Object)
	}
	return set, nil
}

// regionsOf returns the regions of the fleets. The first one is the first region
// of the largest fleet, where the weight origin is.
func regionsOf(set *parser.Set) []string {
	var largest *parser.Fleet
	for _, f := range set.Fleets {
		if largest == nil || f.Replicas > largest.Replicas {
			largest = f
		}
	}
	regions := slices.Clone(largest.Regions)
	for _, f := range set.Fleets {
		for _, region := range f.Regions {
			if !slices.Contains(regions, region) {
				regions = append(regions, region)
			}
		}
	}
	return regions
}

// weightVersions returns the --versions argument of the weight origin: each
// version as SOURCE=SIZE:CHUNK-SIZE:SEED with its own seed.
//
//	draft/v1=16777216:131072:7,draft/v2=16777216:131072:8
func (s *system) weightVersions() string {
	var versions []string
	for k, name := range s.versionNames() {
		v := s.set.ModelVersions[name]
		versions = append(versions, fmt.Sprintf("%s=%d:%d:%d", v.Source, s.opts.WeightBytes, s.opts.ChunkBytes, s.opts.Seed+uint64(k)))
	}
	for _, a := range s.set.Adapters {
		versions = append(versions, fmt.Sprintf("%s=%d:%d:%d", a.Source, s.opts.WeightBytes/16, s.opts.ChunkBytes, s.opts.Seed+100))
	}
	sort.Strings(versions)
	return strings.Join(versions, ",")
}

func (s *system) versionNames() []string {
	names := make([]string, 0, len(s.set.ModelVersions))
	for name := range s.set.ModelVersions {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// resolveDigests sets the digests and sizes of the generated weights in the
// objects.
func (s *system) resolveDigests(ctx context.Context) error {
	for _, v := range s.set.ModelVersions {
		digest, err := s.manifestDigest(ctx, v.Source)
		if err != nil {
			return err
		}
		v.Digest = digest
		v.SizeBytes = s.opts.WeightBytes
	}
	for _, a := range s.set.Adapters {
		digest, err := s.manifestDigest(ctx, a.Source)
		if err != nil {
			return err
		}
		a.Digest = digest
		a.SizeBytes = s.opts.WeightBytes / 16
	}
	return nil
}

func (s *system) manifestDigest(ctx context.Context, source string) (string, error) {
	body, err := get(ctx, s.weightsURL+"/"+source+"/manifest")
	if err != nil {
		return "", err
	}
	return verifier.Sum(body), nil
}

// keyOf returns the API key of a team in the example deployments.
func (s *system) keyOf(team string) string {
	return s.opts.Deployment + "-" + team
}

// baseObjects returns all objects except rollouts.
func (s *system) baseObjects() []parser.Object {
	var objects []parser.Object
	for _, o := range s.set.All() {
		if _, isRollout := o.(*parser.Rollout); !isRollout {
			objects = append(objects, o)
		}
	}
	return objects
}

// rollout returns the rollout of the deployment.
func (s *system) rollout() *parser.Rollout {
	for _, r := range s.set.Rollouts {
		return r
	}
	return nil
}

// apply writes the objects to a file and applies it with the lentil command.
func (s *system) apply(ctx context.Context, w io.Writer, objects []parser.Object) error {
	file := filepath.Join(s.dir, "objects.yaml")
	var text strings.Builder
	for _, o := range objects {
		encoded, err := parser.EncodeObject(o)
		if err != nil {
			return err
		}
		text.WriteString("---\n")
		text.Write(encoded)
		text.WriteString("\n")
	}
	if err := os.WriteFile(file, []byte(text.String()), 0o644); err != nil {
		return err
	}
	if err := s.runLentil(ctx, w, "check", file); err != nil {
		return err
	}
	return s.runLentil(ctx, w, "apply", "--wait", "--timeout", "20s", file)
}

// runLentil runs the lentil command and prints the command line and its output.
func (s *system) runLentil(ctx context.Context, w io.Writer, args ...string) error {
	fmt.Fprintf(w, "$ lentil %s\n", strings.Join(args, " "))
	cmd := exec.CommandContext(ctx, filepath.Join(s.opts.Bin, "lentil"), args...)
	cmd.Env = append(os.Environ(), "LENTIL_OBJECT_API="+s.objectAPIURL)
	cmd.Stdout = w
	cmd.Stderr = w
	if err := cmd.Run(); err != nil {
		return fmt.Errorf("lentil %s: %w", strings.Join(args, " "), err)
	}
	return nil
}

func get(ctx context.Context, url string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: status %d: %s", url, resp.StatusCode, body)
	}
	return body, nil
}
