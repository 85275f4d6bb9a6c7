package adapter

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
)

const (
	defaultCallTimeout = 5 * time.Second
	// watchTimeout is the longest wait of a watch (30 s) plus time to answer.
	watchTimeout = 40 * time.Second
	dialTimeout  = 2 * time.Second
	// maxListAnswerBytes bounds the answer to a list or a watch to half of the
	// memory that a daemon may use.
	maxListAnswerBytes = 64 << 20
	// maxErrorAnswerBytes bounds the text of an error answer.
	maxErrorAnswerBytes = 1024
	maxIdleConnections  = 16
)

// HTTPObjectAPI is the client of the object API over HTTP.
type HTTPObjectAPI struct {
	// BaseURL is the address, for example "http://127.0.0.1:7300".
	BaseURL string
	// Timeout bounds each call but a watch; 5 s when zero.
	Timeout time.Duration
	// Client makes the calls; a client with bounded connections when nil.
	Client *http.Client

	once sync.Once
	base *url.URL
	err  error
	call endpoint.Endpoint
}

// StatusError reports an answer with an unexpected HTTP status.
type StatusError struct {
	Status  int
	Message string
}

func (e *StatusError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Message)
}

type objectCall struct {
	operation string
	method    string
	path      string
	query     url.Values
	key       string
	value     []byte
	version   uint64
}

type objectAnswer struct {
	status  int
	version uint64
	body    []byte
}

type wireObject struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	Deleted bool   `json:"deleted"`
}

type wireList struct {
	Objects []wireObject `json:"objects"`
}

type wireChanges struct {
	Changes []wireObject `json:"changes"`
	Version uint64       `json:"version"`
}

var _ ObjectAPI = (*HTTPObjectAPI)(nil)

// Get implements ObjectAPI.
func (a *HTTPObjectAPI) Get(ctx context.Context, key string) (Object, error) {
	answer, err := a.do(ctx, objectCall{operation: "get", method: http.MethodGet, path: objectPath(key), key: key})
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, Value: answer.body, Version: answer.version}, nil
}

// List implements ObjectAPI.
func (a *HTTPObjectAPI) List(ctx context.Context, prefix string) ([]Object, error) {
	query := url.Values{"prefix": {prefix}}
	call := objectCall{operation: "list", method: http.MethodGet, path: "/v1/objects", query: query, key: prefix}
	answer, err := a.do(ctx, call)
	if err != nil {
		return nil, err
	}
	var body wireList
	if err := json.Unmarshal(answer.body, &body); err != nil {
		return nil, call.unavailable(err)
	}
	objects := make([]Object, 0, len(body.Objects))
	for _, o := range body.Objects {
		objects = append(objects, Object{Key: o.Key, Value: o.Value, Version: o.Version})
	}
	return objects, nil
}

// Create implements ObjectAPI.
func (a *HTTPObjectAPI) Create(ctx context.Context, key string, value []byte) (Object, error) {
	return a.put(ctx, objectCall{operation: "create", key: key, value: value})
}

// Update implements ObjectAPI.
func (a *HTTPObjectAPI) Update(ctx context.Context, key string, value []byte, version uint64) (Object, error) {
	return a.put(ctx, objectCall{operation: "update", key: key, value: value, version: version})
}

// Delete implements ObjectAPI.
func (a *HTTPObjectAPI) Delete(ctx context.Context, key string, version uint64) error {
	call := objectCall{operation: "delete", method: http.MethodDelete, path: objectPath(key), key: key, version: version}
	_, err := a.do(ctx, call)
	return err
}

// Watch implements ObjectAPI.
func (a *HTTPObjectAPI) Watch(ctx context.Context, prefix string, after uint64) ([]Change, uint64, error) {
	query := url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(after, 10)}}
	call := objectCall{operation: "watch", method: http.MethodGet, path: "/v1/watch", query: query, key: prefix}
	answer, err := a.do(ctx, call)
	if err != nil {
		return nil, after, err
	}
	var body wireChanges
	if err := json.Unmarshal(answer.body, &body); err != nil {
		return nil, after, call.unavailable(err)
	}
	if answer.status == http.StatusGone {
		return nil, body.Version, &GapError{Prefix: prefix, After: after}
	}
	changes := make([]Change, 0, len(body.Changes))
	for _, o := range body.Changes {
		changes = append(changes, Change{Object: Object{Key: o.Key, Value: o.Value, Version: o.Version}, Deleted: o.Deleted})
	}
	return changes, body.Version, nil
}

func (a *HTTPObjectAPI) put(ctx context.Context, call objectCall) (Object, error) {
	if len(call.value) > MaxObjectBytes {
		return Object{}, &TooLargeError{Key: call.key, Bytes: len(call.value)}
	}
	call.method = http.MethodPut
	call.path = objectPath(call.key)
	answer, err := a.do(ctx, call)
	if err != nil {
		return Object{}, err
	}
	return Object{Key: call.key, Value: call.value, Version: answer.version}, nil
}

func (a *HTTPObjectAPI) do(ctx context.Context, call objectCall) (objectAnswer, error) {
	a.once.Do(a.start)
	if a.err != nil {
		return objectAnswer{}, a.err
	}
	timeout := a.Timeout
	if timeout <= 0 {
		timeout = defaultCallTimeout
	}
	if call.operation == "watch" {
		timeout = watchTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := a.call(ctx, call)
	if err != nil {
		return objectAnswer{}, &UnavailableError{Operation: call.operation, Key: call.key, Refused: isDialError(err), Cause: err}
	}
	answer := response.(objectAnswer)
	return answer, call.check(answer)
}

func (a *HTTPObjectAPI) start() {
	a.base, a.err = ParseBaseURL(a.BaseURL)
	client := a.Client
	if client == nil {
		client = newHTTPClient()
	}
	a.call = kithttp.NewExplicitClient(a.encode, decodeObjectAnswer, kithttp.SetClient(client)).Endpoint()
}

func (a *HTTPObjectAPI) encode(ctx context.Context, request any) (*http.Request, error) {
	call := request.(objectCall)
	target := *a.base
	target.Path = strings.TrimSuffix(target.Path, "/") + call.path
	target.RawQuery = call.query.Encode()
	r, err := http.NewRequestWithContext(ctx, call.method, target.String(), bytes.NewReader(call.value))
	if err != nil {
		return nil, err
	}
	switch {
	case call.operation == "create":
		r.Header.Set("If-None-Match", "*")
	case call.method != http.MethodGet:
		r.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(call.version, 10)))
	}
	return r, nil
}

func decodeObjectAnswer(_ context.Context, r *http.Response) (any, error) {
	body, err := readBounded(r)
	if err != nil {
		return nil, err
	}
	version, _ := strconv.ParseUint(strings.Trim(r.Header.Get("ETag"), `"`), 10, 64)
	return objectAnswer{status: r.StatusCode, version: version, body: body}, nil
}

// readBounded cuts long error texts; any other answer above its bound is an
// error, because a cut value would be taken for the whole.
func readBounded(r *http.Response) ([]byte, error) {
	if r.StatusCode >= http.StatusBadRequest && r.StatusCode != http.StatusGone {
		return io.ReadAll(io.LimitReader(r.Body, maxErrorAnswerBytes))
	}
	limit := maxListAnswerBytes
	if strings.Contains(r.Request.URL.Path, objectPath("")) {
		limit = MaxObjectBytes
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(limit)+1))
	if err == nil && len(body) > limit {
		return nil, &ResponseTooLargeError{Limit: limit}
	}
	return body, err
}

// ResponseTooLargeError reports an answer above the bound of its call.
type ResponseTooLargeError struct {
	Limit int
}

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("the answer has more than %d bytes", e.Limit)
}

// check turns the status of the answer into an error. A server error says
// nothing about whether a write took effect.
func (c objectCall) check(answer objectAnswer) error {
	switch {
	case answer.status < http.StatusMultipleChoices:
		return nil
	case answer.status == http.StatusGone && c.operation == "watch":
		return nil
	case answer.status == http.StatusNotFound:
		return &NotFoundError{Key: c.key}
	case answer.status == http.StatusPreconditionFailed:
		return &ConflictError{Key: c.key, Expected: c.version, Found: answer.version}
	case answer.status == http.StatusRequestEntityTooLarge:
		return &TooLargeError{Key: c.key, Bytes: len(c.value)}
	}
	cause := &StatusError{Status: answer.status, Message: strings.TrimSpace(string(answer.body))}
	refused := answer.status < http.StatusInternalServerError
	return &UnavailableError{Operation: c.operation, Key: c.key, Refused: refused, Cause: cause}
}

func (c objectCall) unavailable(cause error) error {
	return &UnavailableError{Operation: c.operation, Key: c.key, Cause: cause}
}

// ParseBaseURL reads an address such as "http://127.0.0.1:7300" or
// "127.0.0.1:7300".
func ParseBaseURL(address string) (*url.URL, error) {
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	base, err := url.Parse(address)
	if err != nil || base.Host == "" || (base.Scheme != "http" && base.Scheme != "https") {
		return nil, &AddressError{Address: address}
	}
	return base, nil
}

// AddressError reports an address that cannot be used.
type AddressError struct {
	Address string
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("address %q is not valid; use for example http://127.0.0.1:7300", e.Address)
}

func objectPath(key string) string { return "/v1/objects/" + key }

// isDialError tells whether the connection was never made, so that no byte of
// the request was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdleConnections,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: 64 << 10,
	}}
}
