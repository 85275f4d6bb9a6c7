package emulator

import (
	"context"
	"flag"
	"fmt"
	"io"
	"path"
	"strings"
)

func registerWeights(flags *flag.FlagSet) func(ctx context.Context, out io.Writer) error {
	s := &Weights{}
	address := flags.String("address", "127.0.0.1:0", "`address` to listen on, HOST:PORT")
	flags.Float64Var(&s.BytesPerSecond, "bytes-per-second", 0, "total rate limit of all reads in `bytes/s`; 0 means no limit")
	versions := flags.String("versions", "", "`versions` to serve, as source=size:chunk-size:seed (bytes), separated by commas (required)")
	return func(ctx context.Context, out io.Writer) error {
		sources, err := parseWeightsVersions(*versions)
		if err != nil {
			return err
		}
		s.Sources = sources
		return serve(ctx, *address, s, out)
	}
}

// parseWeightsVersions parses the value of --versions.
//
//	drafting/v1=16777216:131072:1  →  model "drafting", version "v1"
func parseWeightsVersions(text string) (map[string]WeightsVersion, error) {
	sources := map[string]WeightsVersion{}
	for _, part := range strings.Split(text, ",") {
		source, params, found := strings.Cut(part, "=")
		v := WeightsVersion{Model: path.Dir(source), Name: path.Base(source)}
		n, err := fmt.Sscanf(params, "%d:%d:%d", &v.SizeBytes, &v.ChunkSizeBytes, &v.Seed)
		if !found || source == "" || err != nil || n != 3 || v.SizeBytes < 1 || v.ChunkSizeBytes < 1 {
			return nil, &UsageError{Message: fmt.Sprintf("--versions: %q is not source=size:chunk-size:seed, for example drafting/v1=16777216:131072:1", part)}
		}
		sources[source] = v
	}
	return sources, nil
}
