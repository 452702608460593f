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
	"github.com/chestnutarch/chestnutarch/internal/inbound"
	"github.com/chestnutarch/chestnutarch/internal/ratelimit"
	"github.com/chestnutarch/chestnutarch/internal/relay"
	"github.com/chestnutarch/chestnutarch/internal/resume"
	"github.com/chestnutarch/chestnutarch/internal/route"
	"github.com/chestnutarch/chestnutarch/internal/service"
	"github.com/chestnutarch/chestnutarch/internal/telemetry"
)

// Limits bounds the requests that one VM accepts.
type Limits struct {
	// MaxBodyBytes bounds the size of a request's body.
	MaxBodyBytes int64
	// MaxInFlight bounds the number of requests that run or wait at the same time.
	MaxInFlight int
	// RequestTimeout is the timeout of a request without a deadline, and the upper
	// bound for one with a deadline.
	RequestTimeout time.Duration
}

// Options configures a Handler. All fields except RecordDemand and RecordCompletion
// are required.
type Options struct {
	Configuration Configuration
	Limiter       ratelimit.Limiter
	// RecordDemand is called with the model, the adapter and the estimated tokens of
	// each completion request, whether it is admitted or not. The default does nothing.
	RecordDemand func(model, adapter string, tokens int64)
	// RecordCompletion is called when an admitted completion ends. It gets whether
	// the completion met the latency objectives and whether it failed. The default
	// does nothing.
	RecordCompletion func(metObjectives, failed bool)
	// VM is this VM's name, which is part of resume tokens.
	VM string
	// Models grants access to engines, Pools to replicas of plain services.
	Models    Upstreams
	Pools     Upstreams
	Relay     *relay.Relay
	Ring      *resume.Keyring
	Releaser  Releaser
	Claims    Claims
	Addresses Addresses
	Readiness Readiness
	// Leaving reports whether this VM is shutting down.
	Leaving  func() bool
	Services *service.Client
	Limits   Limits
	Log      zerolog.Logger
	Metrics  metrics.Registry
}

// Handler serves the callers' API.
type Handler struct {
	Options
	slots       chan struct{}
	requests    metrics.Timer
	bodyMemory  bodyMemory
	retryBudget retryBudget
	timing      streamTiming
	mux         http.Handler
}

// NewHandler returns a handler for the callers' API.
func NewHandler(o Options) *Handler {
	if o.RecordDemand == nil {
		o.RecordDemand = func(string, string, int64) {}
	}
	if o.RecordCompletion == nil {
		o.RecordCompletion = func(bool, bool) {}
	}
	h := &Handler{
		Options:  o,
		slots:    make(chan struct{}, o.Limits.MaxInFlight),
		requests: telemetry.NewTimer(o.Metrics, "caller.requests"),
		timing:   streamTiming{heartbeat: defaultHeartbeat, writeTimeout: defaultWriteTimeout},
	}
	h.retryBudget.budget = route.NewBudget(time.Now())
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", h.health)
	mux.HandleFunc("GET /readyz", h.ready)
	mux.HandleFunc("GET /v1/addresses", h.addresses)
	mux.Handle("GET /v1/models", h.authenticated(h.models))
	mux.Handle("POST /v1/completions", h.admitted(h.completions))
	mux.Handle("POST /v1/chat/completions", h.admitted(h.completions))
	mux.Handle("GET /v1/streams", h.admitted(h.streams))
	mux.Handle("/services/", h.admitted(h.services))
	h.mux = otelhttp.NewHandler(mux, "caller", otelhttp.WithSpanNameFormatter(spanName))
	return h
}

func spanName(_ string, r *http.Request) string { return "caller " + r.Method + " " + r.Pattern }

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// InFlight returns the number of requests for upstreams that run or wait.
func (h *Handler) InFlight() int { return len(h.slots) }

// request is the state of one authenticated request.
type request struct {
	// id is the caller's request ID, or a generated one. It is echoed to the caller.
	id string
	// streamID is the generated ID that is used towards upstreams.
	streamID  string
	holder    configstate.KeyOwner
	keyDigest string
	snapshot  *configstate.Snapshot
	deadline  time.Time
}

// handlerFunc serves a request. It returns nil if it has written a complete answer. A
// problem with the status 0 is only logged.
type handlerFunc func(w http.ResponseWriter, r *http.Request, req *request) *Problem

// HeaderRequestID is the header with the request ID, in requests and in answers.
const HeaderRequestID = "X-Request-Id"

// maxRequestIDBytes bounds the length of a caller's request ID. A longer one is
// replaced.
const maxRequestIDBytes = 128

func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	if id == "" || len(id) > maxRequestIDBytes {
		return uuid.NewString()
	}
	return id
}

// authenticated returns a handler that checks the key, serves the request and writes
// one log line.
func (h *Handler) authenticated(serve handlerFunc) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		start := time.Now()
		req := &request{id: requestID(r), streamID: uuid.NewString()}
		w.Header().Set(HeaderRequestID, req.id)
		if h.Leaving() {
			// Makes the caller connect to another VM for its next request. If it
			// kept this connection, it could send a request just as the connection
			// is closed.
			w.Header().Set("Connection", "close")
		}
		problem := h.authenticate(r, req)
		if problem == nil {
			problem = h.serveWithLimits(serve, w, r, req)
		}
		if problem != nil && problem.Status != 0 {
			problem.write(w, req.id)
		}
		h.requests.UpdateSince(start)
		h.logRequest(r, req, problem, time.Since(start))
	})
}

func (h *Handler) serveWithLimits(serve handlerFunc, w http.ResponseWriter, r *http.Request, req *request) *Problem {
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	inbound.AllowUnreadUntil(ctx, req.deadline)
	r = r.WithContext(ctx)
	r.Body = http.MaxBytesReader(w, r.Body, h.Limits.MaxBodyBytes)
	return serve(w, r, req)
}

// admitted is like authenticated, for requests that need an upstream: it refuses them
// while this VM is not ready or has Limits.MaxInFlight requests in flight.
func (h *Handler) admitted(serve handlerFunc) http.Handler {
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
