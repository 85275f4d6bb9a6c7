package adapter

import (
	"context"
	"fmt"
	"net/http"
)

// ServiceCall is an HTTP request to a plain service.
type ServiceCall struct {
	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// ServiceAnswer is the complete HTTP response of a plain service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Service is the plain service on a backend server VM.
type Service interface {
	Call(ctx context.Context, call ServiceCall) (ServiceAnswer, error)
	// Healthy returns an error when the service does not respond to a health
	// check or responds with a server error.
	Healthy(ctx context.Context) error
}

// ServiceError reports a call that did not return a complete response.
type ServiceError struct {
	// Started reports whether any byte of the request may have reached the
	// service.
	Started bool
	Cause   error
}

func (e *ServiceError) Error() string {
	return fmt.Sprintf("service call (started: %t): %v", e.Started, e.Cause)
}

func (e *ServiceError) Unwrap() error { return e.Cause }
