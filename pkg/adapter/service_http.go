package adapter

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"golang.org/x/sync/semaphore"

	"github.com/lentilbridge/lentilbridge/internal/shared/framer"
	"github.com/lentilbridge/lentilbridge/internal/shared/rationer"
)

const (
	defaultMaxAnswerBytes = 8 << 20
	maxAnswerMemory       = 32 << 20
	healthPath            = "/healthz"
)

// HTTPService is an HTTP client of a plain service.
type HTTPService struct {
	// Address is the service's host and port.
	Address string
	// Client sends all requests. NewHTTPService sets it.
	Client *http.Client
	// MaxAnswerBytes is the maximum size of a response body; 0 means 8 MiB.
	MaxAnswerBytes int64

	memoryOnce sync.Once
	// memory is what the bodies that are being received may use together.
	memory *semaphore.Weighted
}

// NewHTTPService returns a client for the service at the address.
func NewHTTPService(address string) *HTTPService {
	client := &http.Client{
		Transport:     framer.NewTransport(newTransportWithoutReuse()),
		CheckRedirect: returnRedirect,
	}
	return &HTTPService{Address: address, Client: client}
}

// returnRedirect makes the HTTP client return redirects as responses. Following a
// redirect would call the service twice.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

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
		limit = defaultMaxAnswerBytes
	}
	s.memoryOnce.Do(func() { s.memory = semaphore.NewWeighted(max(maxAnswerMemory, 2*limit)) })
	memory := rationer.Ration{Pool: s.memory, Free: rationer.FirstStep}
	defer memory.Close()
	body, err := rationer.ReadAll(resp.Body, limit, memory.Resize)
	if err != nil {
		return ServiceAnswer{}, &ServiceError{Started: true, Cause: err}
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
		return &ServiceError{Started: true, Cause: fmt.Errorf("%s returned status %d", healthPath, answer.Status)}
	}
	return nil
}
