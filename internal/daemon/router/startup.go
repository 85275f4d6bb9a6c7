package router

import (
	"net/http"
	"time"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/relayer"
)

// requireConfiguration refuses requests until the first configuration is
// loaded, except for /v1/entries, which does not depend on it.
func (d *daemon) requireConfiguration(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.configuration.Current() == nil && r.URL.Path != "/v1/entries" {
			relayer.WriteError(w, "", &identifier.RequestError{
				Status:     http.StatusServiceUnavailable,
				Type:       "server_error",
				Code:       "not-configured",
				Message:    "this entry daemon has no configuration yet",
				Outcome:    identifier.OutcomeNotRun,
				RetryAfter: time.Second,
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}
