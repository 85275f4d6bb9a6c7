package adapter

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
)

const (
	defaultMaxServiceAnswerBytes = 8 << 20
	healthPath                   = "/healthz"
)

// HTTPService is a client of a plain service over HTTP.
type HTTPService struct {
	// Address is the service's host and port.
	Address string
	// Client is used for all calls; NewHTTPService sets one.
	Client *http.Client
	// MaxAnswerBytes is the largest answer; 0 is 8 MiB.
	MaxAnswerBytes int64
}

// NewHTTPService returns a client of the service at the address.
func NewHTTPService(address string) *HTTPService {
	client := &http.Client{
		Transport:     newConnectionTransport(),
		CheckRedirect: passRedirect,
	}
	return &HTTPService{Address: address, Client: client}
}

// passRedirect hands redirects to the caller instead of following them, which
// would call the service twice.
func passRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Call implements Service.
func (s *HTTPService) Call(ctx context.Context, call ServiceCall) (ServiceAnswer, error) {
	if !strings.HasPrefix(call.Path, "/") {
		return ServiceAnswer{}, &ServiceError{Cause: fmt.Errorf("path %q does not begin with /", call.Path)}
	}
	r, err := http.NewRequestWithContext(ctx, call.Method, "http://"+s.Address+call.Path, strings.NewReader(string(call.Body)))
	if err != nil {
		return ServiceAnswer{}, &ServiceError{Cause: err}
	}
	for name, values := range call.Header {
		r.Header[http.CanonicalHeaderKey(name)] = values
	}
	resp, err := s.Client.Do(r)
	if err != nil {
		return ServiceAnswer{}, &ServiceError{Started: !isDialError(err), Cause: err}
	}
	defer resp.Body.Close()
	limit := s.MaxAnswerBytes
	if limit == 0 {
		limit = defaultMaxServiceAnswerBytes
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return ServiceAnswer{}, &ServiceError{Started: true, Cause: err}
	}
	if int64(len(body)) > limit {
		return ServiceAnswer{}, &ServiceError{Started: true, Cause: fmt.Errorf("answer is larger than %d bytes", limit)}
	}
	return ServiceAnswer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

// Healthy implements Service.
func (s *HTTPService) Healthy(ctx context.Context) error {
	answer, err := s.Call(ctx, ServiceCall{Method: http.MethodGet, Path: healthPath})
	if err != nil {
		return err
	}
	if answer.Status >= http.StatusInternalServerError {
		return &ServiceError{Started: true, Cause: fmt.Errorf("%s answered with status %d", healthPath, answer.Status)}
	}
	return nil
}
