package adapter

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
)

// maxVMListBytes is the maximum size of a VM list response.
const maxVMListBytes = 8 << 20

// HTTPVMList is an HTTP client of the VM list.
type HTTPVMList struct {
	// BaseURL is the URL of the VM list, for example "http://127.0.0.1:7302".
	BaseURL string
	// Timeout is the timeout of each call; 0 means 5 s.
	Timeout time.Duration
	// Client sends the requests; nil means a client of its own that limits idle
	// connections.
	Client *http.Client

	once sync.Once
	err  error
	call endpoint.Endpoint
}

type wireVMList struct {
	VMs []ListedVM `json:"vms"`
}

var _ VMList = (*HTTPVMList)(nil)

// List implements VMList.
func (l *HTTPVMList) List(ctx context.Context) ([]ListedVM, error) {
	l.once.Do(l.createEndpoint)
	if l.err != nil {
		return nil, l.err
	}
	timeout := l.Timeout
	if timeout <= 0 {
		timeout = defaultCallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := l.call(ctx, nil)
	if err != nil {
		return nil, &UnavailableError{Operation: "list", Key: "vms", Refused: isDialError(err), Cause: err}
	}
	return resp.([]ListedVM), nil
}

func (l *HTTPVMList) createEndpoint() {
	base, err := ParseBaseURL(l.BaseURL)
	if err != nil {
		l.err = err
		return
	}
	client := l.Client
	if client == nil {
		client = newHTTPClient()
	}
	base.Path = strings.TrimSuffix(base.Path, "/") + "/v1/vms"
	l.call = kithttp.NewClient(http.MethodGet, base, encodeEmptyRequest, decodeVMList, kithttp.SetClient(client)).Endpoint()
}

func decodeVMList(_ context.Context, resp *http.Response) (any, error) {
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorResponseBytes))
		return nil, &StatusError{Status: resp.StatusCode, Message: strings.TrimSpace(string(text))}
	}
	var body wireVMList
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxVMListBytes)).Decode(&body); err != nil {
		return nil, err
	}
	return body.VMs, nil
}
