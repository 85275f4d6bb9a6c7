package forwarder

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// hopHeaders belong to one connection and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// HopByHop reports whether a header belongs to one connection.
func HopByHop(name string) bool {
	return slices.Contains(hopHeaders, textproto.CanonicalMIMEHeaderKey(name))
}

func serviceCall(req *identifier.Request, call *identifier.ServiceCall) *messenger.ServiceCall {
	return &messenger.ServiceCall{
		Service:    req.Target.Service,
		Method:     call.Method,
		Path:       call.Path,
		Headers:    headers(req, call.Header),
		Body:       call.Body,
		Idempotent: req.Idempotent,
		ClaimKey:   req.ClaimKey,
	}
}

// headers returns the headers for the service. The API key stays here, and
// headers of lentilbridge itself cannot be set by the caller.
func headers(req *identifier.Request, from http.Header) []*messenger.Header {
	var all []*messenger.Header
	for name, values := range from {
		if HopByHop(name) || name == "Authorization" || strings.HasPrefix(name, "Lentil-") {
			continue
		}
		all = append(all, &messenger.Header{Name: name, Values: values})
	}
	all = append(all,
		&messenger.Header{Name: "Lentil-Request-Id", Values: []string{req.ID}},
		&messenger.Header{Name: "Lentil-Team", Values: []string{req.Team.Name}})
	slices.SortFunc(all, func(a, b *messenger.Header) int { return strings.Compare(a.Name, b.Name) })
	return all
}
