package caller

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/service"
)

// services serves the routed calls to plain services.
func (h *Handler) services(w http.ResponseWriter, r *http.Request, req *request) *Problem {
	path := strings.TrimPrefix(r.URL.Path, "/services")
	route, pool := findRoute(req.snapshot.Document, path)
	if route == nil || len(pool) == 0 {
		return newProblem(http.StatusNotFound, TypeUnknownRoute, NotRun, "no route has the path "+path)
	}
	body, err := io.ReadAll(r.Body)
	if tooLarge := new(http.MaxBytesError); errors.As(err, &tooLarge) {
		return newProblem(http.StatusRequestEntityTooLarge, TypeTooLarge, NotRun, tooLarge.Error())
	}
	if err != nil {
		return newProblem(http.StatusBadRequest, TypeMalformed, NotRun, "the body could not be read: "+err.Error())
	}
	grant, err := h.Limiter.Acquire(r.Context(), req.holder.Team, route.Cost)
	if err != nil {
		return limitProblem(err)
	}
	used := int64(0)
	defer func() { grant.Settle(used) }()
	if problem := h.checkKey(req); problem != nil {
		return problem
	}
	answer, err := h.Services.Call(r.Context(), service.Call{
		BaseURL:   pool[rand.IntN(len(pool))].URL,
		Method:    r.Method,
		Path:      path,
		RawQuery:  r.URL.RawQuery,
		Header:    r.Header,
		Body:      body,
		RequestID: req.id,
		Repeat:    route.Repeat,
		Timeout:   route.Timeout,
	})
	if err != nil {
		return serviceProblem(err)
	}
	used = route.Cost
	writeAnswer(w, answer)
	return nil
}

func findRoute(doc *document.Document, path string) (*document.Route, []document.ServiceReplica) {
	for i := range doc.Routes {
		if doc.Routes[i].Path != path {
			continue
		}
		for _, s := range doc.Services {
			if s.Name == doc.Routes[i].Service {
				return &doc.Routes[i], s.Replicas
			}
		}
	}
	return nil, nil
}

func serviceProblem(err error) *Problem {
	if errors.Is(err, service.ErrNotRun) {
		return newProblem(http.StatusServiceUnavailable, TypeUpstream, NotRun, "the service could not be reached").retryAfter(time.Second)
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return newProblem(http.StatusGatewayTimeout, TypeDeadline, Unknown, "the service did not answer in time")
	}
	return newProblem(http.StatusBadGateway, TypeUpstream, Unknown, "the service gave no complete answer")
}

func writeAnswer(w http.ResponseWriter, a *service.Answer) {
	for name, values := range a.Header {
		w.Header()[name] = values
	}
	w.WriteHeader(a.Status)
	w.Write(a.Body)
}
