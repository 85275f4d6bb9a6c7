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

// DefaultEntriesValid is how long a caller may use the list of entry daemons.
// A leaving daemon serves until the last list that named it has expired.
const DefaultEntriesValid = 30 * time.Second

// modelsRequest asks for the models of the key's team.
type modelsRequest struct {
	authorization string
	// id is set to ask for one model.
	id string
}

type modelsAnswer struct {
	Object string        `json:"object"`
	Data   []modelAnswer `json:"data"`
}

type modelAnswer struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type entriesRequest struct{}

type entriesAnswer struct {
	Entries         []entryAnswer `json:"entries"`
	ValidForSeconds int           `json:"valid-for-seconds"`
}

type entryAnswer struct {
	VM            string `json:"vm"`
	Address       string `json:"address"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
}

// Headers implements httptransport.Headerer.
func (e entriesAnswer) Headers() http.Header {
	maxAge := "max-age=" + strconv.Itoa(e.ValidForSeconds)
	return http.Header{"Cache-Control": {maxAge}}
}

func (a *Accepter) modelsHandler() http.Handler {
	return a.unary(a.models, decodeModels)
}

func (a *Accepter) modelHandler() http.Handler {
	return a.unary(a.model, decodeModels)
}

func (a *Accepter) entriesHandler() http.Handler {
	return a.unary(a.entries, decodeEntries)
}

func (a *Accepter) unary(e endpoint.Endpoint, decode httptransport.DecodeRequestFunc) http.Handler {
	return httptransport.NewServer(e, decode, httptransport.EncodeJSONResponse,
		httptransport.ServerErrorEncoder(a.encodeError))
}

func (a *Accepter) encodeError(_ context.Context, err error, w http.ResponseWriter) {
	relayer.WriteError(w, newID(), asRequestError(err))
}

func decodeModels(_ context.Context, r *http.Request) (any, error) {
	return modelsRequest{authorization: r.Header.Get("Authorization"), id: r.PathValue("id")}, nil
}

func decodeEntries(context.Context, *http.Request) (any, error) { return entriesRequest{}, nil }

// models lists the routes that the team may use.
func (a *Accepter) models(_ context.Context, request any) (any, error) {
	team, err := a.Identify.Team(request.(modelsRequest).authorization)
	if err != nil {
		return nil, err
	}
	answer := modelsAnswer{Object: "list", Data: []modelAnswer{}}
	for _, route := range a.Config().Set.Routes {
		if identifier.MayUseRoute(team, route.Name) {
			answer.Data = append(answer.Data, newModelAnswer(route))
		}
	}
	slices.SortFunc(answer.Data, func(x, y modelAnswer) int { return cmp.Compare(x.ID, y.ID) })
	return answer, nil
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
	return newModelAnswer(route), nil
}

// newModelAnswer has no creation time: objects do not carry one.
func newModelAnswer(route *parser.Route) modelAnswer {
	return modelAnswer{ID: route.Name, Object: "model", OwnedBy: "lentilbridge"}
}

// entries lists the entry daemons that callers may use, those of this region
// first. A leaving one is not named.
func (a *Accepter) entries(context.Context, any) (any, error) {
	valid := a.EntriesValid
	if valid == 0 {
		valid = DefaultEntriesValid
	}
	answer := entriesAnswer{Entries: []entryAnswer{}, ValidForSeconds: int(valid.Seconds())}
	for _, e := range a.Entries(time.Now()) {
		if e.GetLeaving() || e.GetPublicAddress() == "" {
			continue
		}
		answer.Entries = append(answer.Entries, newEntryAnswer(e))
	}
	slices.SortStableFunc(answer.Entries, a.nearer)
	return answer, nil
}

func newEntryAnswer(e *messenger.EntryVM) entryAnswer {
	return entryAnswer{
		VM: e.GetVm(), Address: e.GetPublicAddress(),
		Region: e.GetRegion(), FailureDomain: e.GetFailureDomain(),
	}
}

func (a *Accepter) nearer(x, y entryAnswer) int {
	return cmp.Or(
		cmp.Compare(a.far(x), a.far(y)),
		cmp.Compare(x.Region, y.Region),
		cmp.Compare(x.VM, y.VM),
	)
}

func (a *Accepter) far(e entryAnswer) int {
	if e.Region == a.Region {
		return 0
	}
	return 1
}
