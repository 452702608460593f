package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.opentelemetry.io/contrib/instrumentation/net/http/otelhttp"
	"go.opentelemetry.io/otel/trace"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/ratelimit"
	"github.com/chestnutarch/chestnutarch/internal/relay"
	"github.com/chestnutarch/chestnutarch/internal/resume"
	"github.com/chestnutarch/chestnutarch/internal/route"
	"github.com/chestnutarch/chestnutarch/internal/service"
	"github.com/chestnutarch/chestnutarch/internal/telemetry"
)

// Limits bounds what one VM takes on.
type Limits struct {
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64
	// MaxInFlight bounds the requests that run or wait at once.
	MaxInFlight int
	// RequestTimeout bounds a request that names no deadline.
	RequestTimeout time.Duration
}

// Options is what a Handler works with. Every field but Offered and Judged is required.
type Options struct {
	Configuration Configuration
	Limiter       ratelimit.Limiter
	// Offered is told of what callers ask for, admitted or not, in tokens.
	Offered func(model, adapter string, tokens int64)
	// Judged is told of each admitted completion that has ended: whether it kept
	// to the latency objectives and whether it failed.
	Judged func(attained, failed bool)
	// VM is this VM's name, which stands in resume tokens.
	VM string
	// Models gives engines, Pools gives replicas of plain services.
	Models    Upstreams
	Pools     Upstreams
	Relay     *relay.Relay
	Ring      *resume.Ring
	Releaser  Releaser
	Claims    Claims
	Addresses Addresses
	Readiness Readiness
	// Leaving reports whether this VM is stopping.
	Leaving  func() bool
	Services *service.Client
	Limits   Limits
	Log      zerolog.Logger
	Metrics  metrics.Registry
}

// Handler serves the callers' API.
type Handler struct {
	Options
	slots    chan struct{}
	requests metrics.Timer
	memory   memory
	retries  retries
	pacing   pacing
	mux      http.Handler
}

// NewHandler returns the callers' API.
func NewHandler(o Options) *Handler {
	if o.Offered == nil {
		o.Offered = func(string, string, int64) {}
	}
	if o.Judged == nil {
		o.Judged = func(bool, bool) {}
	}
	h := &Handler{
		Options:  o,
		slots:    make(chan struct{}, o.Limits.MaxInFlight),
		requests: telemetry.NewTimer(o.Metrics, "caller.requests"),
		pacing:   pacing{heartbeat: defaultHeartbeat, writeTimeout: defaultWriteTimeout},
	}
	h.retries.budget = route.NewBudget(time.Now())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", h.health)
	mux.HandleFunc("GET /readyz", h.ready)
	mux.HandleFunc("GET /v1/addresses", h.addresses)
	mux.Handle("GET /v1/models", h.authenticated(h.models))
	mux.Handle("POST /v1/completions", h.work(h.completions))
	mux.Handle("POST /v1/chat/completions", h.work(h.completions))
	mux.Handle("GET /v1/streams", h.work(h.streams))
	mux.Handle("/services/", h.work(h.services))
	h.mux = otelhttp.NewHandler(mux, "caller", otelhttp.WithSpanNameFormatter(spanName))
	return h
}

func spanName(_ string, r *http.Request) string { return "caller " + r.Method + " " + r.Pattern }

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// InFlight returns the number of requests that run or wait.
func (h *Handler) InFlight() int { return len(h.slots) }

// request is what is known of one authenticated request.
type request struct {
	// id is the caller's, or one of ours. It is echoed.
	id string
	// stream is our own ID of the exchange with upstreams.
	stream   string
	holder   configstate.Holder
	digest   string
	snapshot *configstate.Snapshot
	deadline time.Time
}

// handlerFunc serves a request. The returned problem is nil if the answer has
// been written.
type handlerFunc func(w http.ResponseWriter, r *http.Request, req *request) *Problem

// HeaderRequestID carries the request ID both ways.
const HeaderRequestID = "X-Request-Id"

// maxRequestIDBytes bounds what a caller may choose as request ID.
const maxRequestIDBytes = 128

func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	if id == "" || len(id) > maxRequestIDBytes {
		return uuid.NewString()
	}
	return id
}

// authenticated checks the key, serves the request and logs one event.
func (h *Handler) authenticated(serve handlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		req := &request{id: requestID(r), stream: uuid.NewString()}
		w.Header().Set(HeaderRequestID, req.id)
		if h.Leaving() {
			// The caller then connects to a VM that stays. One that kept this
			// connection could be sending its next request when it is closed.
			w.Header().Set("Connection", "close")
		}
		problem := h.authenticate(r, req)
		if problem == nil {
			problem = h.serveBounded(serve, w, r, req)
		}
		if problem != nil && problem.Status != 0 {
			problem.write(w, req.id)
		}
		h.requests.UpdateSince(start)
		h.logRequest(r, req, problem, time.Since(start))
	})
}

func (h *Handler) serveBounded(serve handlerFunc, w http.ResponseWriter, r *http.Request, req *request) *Problem {
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	r = r.WithContext(ctx)
	r.Body = http.MaxBytesReader(w, r.Body, h.Limits.MaxBodyBytes)
	return serve(w, r, req)
}

// work is authenticated, for requests that need an upstream: it refuses them
// while this VM may take no new work or has no room.
func (h *Handler) work(serve handlerFunc) http.Handler {
	return h.authenticated(func(w http.ResponseWriter, r *http.Request, req *request) *Problem {
		if err := h.Readiness.Ready(); err != nil {
			return newProblem(http.StatusServiceUnavailable, TypeNotReady, NotRun, err.Error()).retryAfter(time.Second)
		}
		select {
		case h.slots <- struct{}{}:
			defer func() { <-h.slots }()
			return serve(w, r, req)
		default:
			return newProblem(http.StatusServiceUnavailable, TypeOverloaded, NotRun, "too many requests in flight on this VM").retryAfter(time.Second)
		}
	})
}

func (h *Handler) logRequest(r *http.Request, req *request, problem *Problem, took time.Duration) {
	event := h.Log.Info().
		Str("request_id", req.id).
		Str("team", req.holder.Team).
		Str("key_id", req.holder.KeyID).
		Str("method", r.Method).
		Str("path", r.URL.Path).
		Dur("took_ms", took)
	if span := trace.SpanContextFromContext(r.Context()); span.IsValid() {
		event = event.Str("trace_id", span.TraceID().String())
	}
	if problem == nil {
		event.Str("outcome", string(Answered)).Msg("request")
		return
	}
	event.Str("outcome", string(problem.Outcome)).
		Str("problem", string(problem.Type)).
		Str("reason", problem.Message).
		Msg("request")
}
