package adapter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	kithttp "github.com/go-kit/kit/transport/http"
)

// defaultWeightClient sends the requests of sources without a client.
var defaultWeightClient = newHTTPClient()

// maxManifestBytes is the maximum size of a manifest from the weight source.
const maxManifestBytes = 9 << 20

// HTTPWeightSource reads weights over HTTP: GET {source}/manifest for manifests
// and GET {source}/data with a Range header for weights. Its fields must not be
// changed after the first call.
type HTTPWeightSource struct {
	// BaseURL is the URL of the weight source, for example
	// "http://127.0.0.1:7400".
	BaseURL string
	// Client sends the requests; nil means one that all such sources share.
	Client *http.Client
}

// WeightSourceError reports a read from the weight source that failed or was
// incomplete.
type WeightSourceError struct {
	Source string
	Status int
	Cause  error
}

func (e *WeightSourceError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("weight source: %s: %v", e.Source, e.Cause)
	}
	return fmt.Sprintf("weight source: %s: status %d", e.Source, e.Status)
}

func (e *WeightSourceError) Unwrap() error { return e.Cause }

// weightRead is a GET request for a manifest, with length 0, or for a byte range of
// weights.
type weightRead struct {
	url    string
	offset int64
	length int64
}

// Manifest implements WeightSource.
func (s *HTTPWeightSource) Manifest(ctx context.Context, source string) ([]byte, error) {
	return s.read(ctx, source, weightRead{url: s.url(source, "manifest")})
}

// ReadRange implements WeightSource.
func (s *HTTPWeightSource) ReadRange(ctx context.Context, source string, offset, length int64) ([]byte, error) {
	if offset < 0 || length < 1 {
		return nil, &WeightSourceError{Source: source, Cause: fmt.Errorf("invalid range: %d bytes at offset %d", length, offset)}
	}
	return s.read(ctx, source, weightRead{url: s.url(source, "data"), offset: offset, length: length})
}

func (s *HTTPWeightSource) read(ctx context.Context, source string, read weightRead) ([]byte, error) {
	client := s.Client
	if client == nil {
		client = defaultWeightClient
	}
	endpoint := kithttp.NewExplicitClient(newWeightRequest, read.decode, kithttp.SetClient(client)).Endpoint()
	body, err := endpoint(ctx, read)
	if err != nil {
		var sourceErr *WeightSourceError
		if errors.As(err, &sourceErr) {
			sourceErr.Source = source
			return nil, sourceErr
		}
		return nil, &WeightSourceError{Source: source, Cause: err}
	}
	return body.([]byte), nil
}

func (s *HTTPWeightSource) url(source, file string) string {
	parts := strings.Split(strings.Trim(source, "/"), "/")
	for i := range parts {
		parts[i] = url.PathEscape(parts[i])
	}
	return strings.TrimSuffix(s.BaseURL, "/") + "/" + strings.Join(parts, "/") + "/" + file
}

func newWeightRequest(ctx context.Context, request any) (*http.Request, error) {
	read := request.(weightRead)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, read.url, http.NoBody)
	if err != nil {
		return nil, err
	}
	if read.length > 0 {
		r.Header.Set("Range", fmt.Sprintf("bytes=%d-%d", read.offset, read.offset+read.length-1))
	}
	return r, nil
}

func (read weightRead) decode(_ context.Context, resp *http.Response) (any, error) {
	if read.length == 0 {
		return decodeManifest(resp)
	}
	if resp.StatusCode != http.StatusPartialContent {
		return nil, &WeightSourceError{Status: resp.StatusCode}
	}
	body := make([]byte, read.length)
	if _, err := io.ReadFull(resp.Body, body); err != nil {
		return nil, &WeightSourceError{Status: resp.StatusCode, Cause: err}
	}
	return body, nil
}

func decodeManifest(resp *http.Response) (any, error) {
	if resp.StatusCode != http.StatusOK {
		return nil, &WeightSourceError{Status: resp.StatusCode}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxManifestBytes+1))
	if err != nil {
		return nil, &WeightSourceError{Status: resp.StatusCode, Cause: err}
	}
	if len(body) > maxManifestBytes {
		return nil, &WeightSourceError{Status: resp.StatusCode, Cause: fmt.Errorf("manifest is larger than %d bytes", maxManifestBytes)}
	}
	return body, nil
}
