package adapter

import (
	"context"
	"fmt"
	"net/http"
)

// ServiceCall is one call to a plain service.
type ServiceCall struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// ServiceAnswer is the whole answer of a plain service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is the plain service of one backend server VM.
type Service interface {
	Call(ctx context.Context, call ServiceCall) (ServiceAnswer, error)
	// Healthy returns an error when the service does not answer.
	Healthy(ctx context.Context) error
}

// ServiceError reports a call without a whole answer. Started tells whether a
// byte may have reached the service.
type ServiceError struct {
	Started bool
	Cause   error
}

func (e *ServiceError) Error() string {
	return fmt.Sprintf("service call (started: %t): %v", e.Started, e.Cause)
}

func (e *ServiceError) Unwrap() error { return e.Cause }
