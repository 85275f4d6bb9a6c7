package forwarder

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
)

// hopByHopHeaders are hop-by-hop headers, which must not be forwarded (RFC 9110,
// section 7.6.1), and Content-Length, which the next hop sets itself.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// HopByHop reports whether a header applies to a single connection only and must
// not be forwarded.
func HopByHop(name string) bool {
	return slices.Contains(hopByHopHeaders, textproto.CanonicalMIMEHeaderKey(name))
}

func serviceCall(req *identifier.Request, call *identifier.ServiceCall) *messenger.ServiceCall {
	return &messenger.ServiceCall{
		Service:    req.Target.Service,
		Method:     call.Method,
		Path:       call.Path,
		Headers:    serviceHeaders(req, call.Header),
		Body:       call.Body,
		Idempotent: req.Idempotent,
		ClaimKey:   req.ClaimKey,
		BodyDigest: req.BodyDigest,
	}
}

// serviceHeaders returns the headers to send to the service. It removes the API key and
// all Lentil- headers, which callers must not set.
func serviceHeaders(req *identifier.Request, from http.Header) []*messenger.Header {
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
