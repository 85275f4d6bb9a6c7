package accepter

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-kit/kit/endpoint"
	httptransport "github.com/go-kit/kit/transport/http"

	"github.com/lentilbridge/lentilbridge/internal/request/identifier"
	"github.com/lentilbridge/lentilbridge/internal/request/relayer"
	"github.com/lentilbridge/lentilbridge/pkg/messenger"
	"github.com/lentilbridge/lentilbridge/pkg/parser"
)

// DefaultEntriesValid is how long callers may use the list of entry daemons. A daemon
// that shuts down continues to serve until the last list with its address has expired.
const DefaultEntriesValid = 30 * time.Second

// modelsRequest is a request for the models that the team of the API key may use.
type modelsRequest struct {
	authorization string
	// id is the requested model. It is empty in requests for the list.
	id string
}

type modelsResponse struct {
	Object string          `json:"object"`
	Data   []modelResponse `json:"data"`
}

type modelResponse struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type entriesRequest struct{}

type entriesResponse struct {
	Entries         []entryResponse `json:"entries"`
	ValidForSeconds int             `json:"valid-for-seconds"`
}

type entryResponse struct {
	VM            string `json:"vm"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
}

// Headers implements httptransport.Headerer.
func (e entriesResponse) Headers() http.Header {
	maxAge := "max-age=" + strconv.Itoa(e.ValidForSeconds)
	return http.Header{"Cache-Control": {maxAge}}
}

func (a *Accepter) modelsHandler() http.Handler {
	return a.unaryHandler(a.models, decodeModelsRequest)
}

func (a *Accepter) modelHandler() http.Handler {
	return a.unaryHandler(a.model, decodeModelsRequest)
}

func (a *Accepter) entriesHandler() http.Handler {
	return a.unaryHandler(a.entries, decodeEntriesRequest)
}

func (a *Accepter) unaryHandler(e endpoint.Endpoint, decode httptransport.DecodeRequestFunc) http.Handler {
	return httptransport.NewServer(e, decode, httptransport.EncodeJSONResponse,
		httptransport.ServerErrorEncoder(a.encodeError))
}

func (a *Accepter) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	relayer.WriteError(w, newID(), asRequestError(err))
}

func decodeModelsRequest(_ context.Context, r *http.Request) (any, error) {
	return modelsRequest{authorization: r.Header.Get("Authorization"), id: r.PathValue("id")}, nil
}

func decodeEntriesRequest(context.Context, *http.Request) (any, error) { return entriesRequest{}, nil }

// models returns the routes that the team may use, as a list of models.
func (a *Accepter) models(_ context.Context, request any) (any, error) {
	team, err := a.Identify.Team(request.(modelsRequest).authorization)
	if err != nil {
		return nil, err
	}
	response := modelsResponse{Object: "list", Data: []modelResponse{}}
	for _, route := range a.Config().Set.Routes {
		if identifier.MayUseRoute(team, route.Name) {
			response.Data = append(response.Data, newModelResponse(route))
		}
	}
	slices.SortFunc(response.Data, func(x, y modelResponse) int { return cmp.Compare(x.ID, y.ID) })
	return response, nil
}

func (a *Accepter) model(_ context.Context, request any) (any, error) {
	req := request.(modelsRequest)
	team, err := a.Identify.Team(req.authorization)
	if err != nil {
		return nil, err
	}
	route := a.Config().Set.Routes[req.id]
	if route == nil || !identifier.MayUseRoute(team, route.Name) {
		return nil, &identifier.RequestError{
			Status: http.StatusNotFound, Type: identifier.TypeInvalidRequest, Code: "model_not_found", Param: "model",
			Message: "the model does not exist", Outcome: identifier.OutcomeNotRun,
		}
	}
	return newModelResponse(route), nil
}

// newModelResponse returns the description of a route. The creation time is 0 because
// configuration objects do not have one.
func newModelResponse(route *parser.Route) modelResponse {
	return modelResponse{ID: route.Name, Object: "model", OwnedBy: "lentilbridge"}
}

// entries returns the entry daemons that callers may use, with those of this region
// first. Daemons that are shutting down are not included.
func (a *Accepter) entries(context.Context, any) (any, error) {
	valid := a.EntriesValid
	if valid == 0 {
		valid = DefaultEntriesValid
	}
	response := entriesResponse{Entries: []entryResponse{}, ValidForSeconds: int(valid.Seconds())}
	for _, e := range a.Entries(time.Now()) {
		if e.GetLeaving() || e.GetPublicAddress() == "" {
			continue
		}
		response.Entries = append(response.Entries, newEntryResponse(e))
	}
	slices.SortStableFunc(response.Entries, a.compareEntries)
	return response, nil
}

func newEntryResponse(e *messenger.EntryVM) entryResponse {
	return entryResponse{
		VM: e.GetVm(), Address: e.GetPublicAddress(),
		Region: e.GetRegion(), FailureDomain: e.GetFailureDomain(),
	}
}

func (a *Accepter) compareEntries(x, y entryResponse) int {
	return cmp.Or(
		cmp.Compare(a.regionRank(x), a.regionRank(y)),
		cmp.Compare(x.Region, y.Region),
		cmp.Compare(x.VM, y.VM),
	)
}

func (a *Accepter) regionRank(e entryResponse) int {
	if e.Region == a.Region {
		return 0
	}
	return 1
}
