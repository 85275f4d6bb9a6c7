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
	"sync/atomic"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"go.uber.org/zap"

	"github.com/lentilbridge/lentilbridge/internal/shared/framer"
	"github.com/lentilbridge/lentilbridge/pkg/logger"
)

// EraHeader is the response header with the era of the store.
const EraHeader = "Store-Era"

const (
	defaultCallTimeout = 5 * time.Second
	// watchTimeout is the maximum wait of a watch on the server (30 s) plus time
	// for the response.
	watchTimeout = 40 * time.Second
	dialTimeout  = 2 * time.Second
	// maxListResponseBytes is the maximum size of a response to a list or a watch:
	// half of the memory that a daemon may use.
	maxListResponseBytes = 64 << 20
	// maxErrorResponseBytes is the size to which the text of an error response is
	// truncated.
	maxErrorResponseBytes = 1024
	maxIdleConnsPerHost   = 16
	// eraBits limits an era, so that it can be part of a larger number.
	eraBits = 32
)

// HTTPObjectAPI is an HTTP client of the object API.
type HTTPObjectAPI struct {
	// BaseURL is the URL of the object API, for example "http://127.0.0.1:7300".
	BaseURL string
	// Timeout is the timeout of each call except a watch; 0 means 5 s.
	Timeout time.Duration
	// Client sends the requests; nil means a client of its own that limits idle
	// connections.
	Client *http.Client
	// Log is optional.
	Log *logger.Logger

	era       atomic.Uint64
	noEraOnce sync.Once

	once sync.Once
	base *url.URL
	err  error
	call endpoint.Endpoint
}

// StatusError reports a response with an unexpected HTTP status.
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

type objectResponse struct {
	status  int
	version uint64
	era     uint64
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

var (
	_ ObjectAPI   = (*HTTPObjectAPI)(nil)
	_ EraReporter = (*HTTPObjectAPI)(nil)
)

// Era implements EraReporter.
func (a *HTTPObjectAPI) Era() uint64 { return a.era.Load() }

// Get implements ObjectAPI.
func (a *HTTPObjectAPI) Get(ctx context.Context, key string) (Object, error) {
	response, err := a.do(ctx, objectCall{operation: "get", method: http.MethodGet, path: objectPath(key), key: key})
	if err != nil {
		return Object{}, err
	}
	return Object{Key: key, Value: response.body, Version: response.version, Era: response.era}, nil
}

// List implements ObjectAPI.
func (a *HTTPObjectAPI) List(ctx context.Context, prefix string) ([]Object, error) {
	query := url.Values{"prefix": {prefix}}
	call := objectCall{operation: "list", method: http.MethodGet, path: "/v1/objects", query: query, key: prefix}
	response, err := a.do(ctx, call)
	if err != nil {
		return nil, err
	}
	var body wireList
	if err := json.Unmarshal(response.body, &body); err != nil {
		return nil, call.unavailable(err)
	}
	objects := make([]Object, 0, len(body.Objects))
	for _, o := range body.Objects {
		objects = append(objects, Object{Key: o.Key, Value: o.Value, Version: o.Version, Era: response.era})
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
	response, err := a.do(ctx, call)
	if err != nil {
		return nil, after, err
	}
	var body wireChanges
	if err := json.Unmarshal(response.body, &body); err != nil {
		return nil, after, call.unavailable(err)
	}
	if response.status == http.StatusGone {
		return nil, body.Version, &GapError{Prefix: prefix, After: after}
	}
	changes := make([]Change, 0, len(body.Changes))
	for _, o := range body.Changes {
		object := Object{Key: o.Key, Value: o.Value, Version: o.Version, Era: response.era}
		changes = append(changes, Change{Object: object, Deleted: o.Deleted})
	}
	return changes, body.Version, nil
}

func (a *HTTPObjectAPI) put(ctx context.Context, call objectCall) (Object, error) {
	if len(call.value) > MaxObjectBytes {
		return Object{}, &TooLargeError{Key: call.key, Bytes: len(call.value)}
	}
	call.method = http.MethodPut
	call.path = objectPath(call.key)
	response, err := a.do(ctx, call)
	if err != nil {
		return Object{}, err
	}
	return Object{Key: call.key, Value: call.value, Version: response.version, Era: response.era}, nil
}

func (a *HTTPObjectAPI) do(ctx context.Context, call objectCall) (objectResponse, error) {
	a.once.Do(a.createEndpoint)
	if a.err != nil {
		return objectResponse{}, a.err
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
	resp, err := a.call(ctx, call)
	if err != nil {
		return objectResponse{}, &UnavailableError{Operation: call.operation, Key: call.key, Refused: isDialError(err), Cause: err}
	}
	response := resp.(objectResponse)
	return response, call.checkStatus(response)
}

func (a *HTTPObjectAPI) createEndpoint() {
	a.base, a.err = ParseBaseURL(a.BaseURL)
	client := a.Client
	if client == nil {
		client = newHTTPClient()
	}
	if a.Log == nil {
		a.Log = zap.NewNop()
	}
	a.call = kithttp.NewExplicitClient(a.newRequest, a.decodeResponse, kithttp.SetClient(client)).Endpoint()
}

func (a *HTTPObjectAPI) newRequest(ctx context.Context, request any) (*http.Request, error) {
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

func (a *HTTPObjectAPI) decodeResponse(_ context.Context, resp *http.Response) (any, error) {
	era := a.readEra(resp)
	body, err := readLimited(resp)
	if err != nil {
		return nil, err
	}
	version, _ := strconv.ParseUint(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	return objectResponse{status: resp.StatusCode, version: version, era: era, body: body}, nil
}

// readEra returns the era in a response, or 0 if it has none, and raises the
// highest known era.
func (a *HTTPObjectAPI) readEra(resp *http.Response) uint64 {
	era, err := strconv.ParseUint(resp.Header.Get(EraHeader), 10, eraBits)
	if err != nil {
		a.noEraOnce.Do(func() {
			a.Log.Warn("the object API reports no era, a restored store is not recognized", zap.Error(err))
		})
		return 0
	}
	for known := a.era.Load(); era > known && !a.era.CompareAndSwap(known, era); known = a.era.Load() {
	}
	return era
}

// readLimited reads the body of a response. It truncates long error texts; any
// other response above its limit is an error, because a truncated value would be
// taken for a complete one.
func readLimited(resp *http.Response) ([]byte, error) {
	if resp.StatusCode >= http.StatusBadRequest && resp.StatusCode != http.StatusGone {
		return io.ReadAll(io.LimitReader(resp.Body, maxErrorResponseBytes))
	}
	limit := maxListResponseBytes
	if strings.Contains(resp.Request.URL.Path, objectPath("")) {
		limit = MaxObjectBytes
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err == nil && len(body) > limit {
		return nil, &ResponseTooLargeError{Limit: limit}
	}
	return body, err
}

// ResponseTooLargeError reports a response that is larger than the limit of its
// call.
type ResponseTooLargeError struct {
	Limit int
}

func (e *ResponseTooLargeError) Error() string {
	return fmt.Sprintf("the response is larger than %d bytes", e.Limit)
}

// checkStatus converts the status of a response into an error. After a server
// error (5xx), a write may or may not have taken effect.
func (c objectCall) checkStatus(response objectResponse) error {
	switch {
	case response.status/100 == 2:
		return nil
	case response.status == http.StatusGone && c.operation == "watch":
		return nil
	case response.status == http.StatusNotFound:
		return &NotFoundError{Key: c.key}
	case response.status == http.StatusPreconditionFailed:
		return &ConflictError{Key: c.key, Expected: c.version, Found: response.version}
	case response.status == http.StatusRequestEntityTooLarge:
		return &TooLargeError{Key: c.key, Bytes: len(c.value)}
	}
	cause := &StatusError{Status: response.status, Message: strings.TrimSpace(string(response.body))}
	refused := response.status >= http.StatusMultipleChoices && response.status < http.StatusInternalServerError
	return &UnavailableError{Operation: c.operation, Key: c.key, Refused: refused, Cause: cause}
}

func (c objectCall) unavailable(cause error) error {
	return &UnavailableError{Operation: c.operation, Key: c.key, Cause: cause}
}

// ParseBaseURL parses an HTTP or HTTPS URL. An address without a scheme, such as
// "127.0.0.1:7300", gets the scheme http.
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

// AddressError reports an address that is not a valid HTTP or HTTPS URL.
type AddressError struct {
	Address string
}

func (e *AddressError) Error() string {
	return fmt.Sprintf("address %q is not valid; use for example http://127.0.0.1:7300", e.Address)
}

func objectPath(key string) string { return "/v1/objects/" + key }

// isDialError reports whether the connection could not be established, so that no
// byte of the request was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func newHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: framer.NewTransport(&http.Transport{
		DialContext:            dialer.DialContext,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: 64 << 10,
	})}
}
