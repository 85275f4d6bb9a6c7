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

// maxVMListBytes bounds the answer of the list of VMs.
const maxVMListBytes = 8 << 20

// HTTPVMList is the client of the list of VMs over HTTP.
type HTTPVMList struct {
	// BaseURL is the address, for example "http://127.0.0.1:7302".
	BaseURL string
	// Timeout bounds each call; 5 s when zero.
	Timeout time.Duration
	// Client makes the calls; a client with bounded connections when nil.
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
	l.once.Do(l.start)
	if l.err != nil {
		return nil, l.err
	}
	timeout := l.Timeout
	if timeout <= 0 {
		timeout = defaultCallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := l.call(ctx, nil)
	if err != nil {
		return nil, &UnavailableError{Operation: "list", Key: "vms", Refused: isDialError(err), Cause: err}
	}
	return response.([]ListedVM), nil
}

func (l *HTTPVMList) start() {
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
	l.call = kithttp.NewClient(http.MethodGet, base, encodeNothing, decodeVMList, kithttp.SetClient(client)).Endpoint()
}

func decodeVMList(_ context.Context, r *http.Response) (any, error) {
	if r.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(r.Body, maxErrorAnswerBytes))
		return nil, &StatusError{Status: r.StatusCode, Message: strings.TrimSpace(string(text))}
	}
	var body wireVMList
	if err := json.NewDecoder(io.LimitReader(r.Body, maxVMListBytes)).Decode(&body); err != nil {
		return nil, err
	}
	return body.VMs, nil
}
