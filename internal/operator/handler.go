package operator

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/configsync"
	"github.com/chestnutarch/chestnutarch/internal/kv"
	"github.com/chestnutarch/chestnutarch/internal/strictyaml"
)

// Configuration is this VM's configuration. *configsync.Keeper is one.
type Configuration interface {
	Snapshot() *configstate.Snapshot
	Envelope() (version int64, envelope []byte)
	Fresh() bool
	PendingWithdrawals() int
	Withdraw(ctx context.Context, digests []string) error
	Writer() *configsync.Writer
}

// StatusSource tells how the environment looks from this VM. InForce is filled
// in by the handler.
type StatusSource interface {
	Status(ctx context.Context) (*Status, error)
}

// PlanSource asks the planner.
type PlanSource interface {
	Plan(ctx context.Context) (*Plan, error)
}

// Drainer takes an upstream or this VM out of service.
type Drainer interface {
	Drain(ctx context.Context, target string, undo bool) (*DrainAnswer, error)
}

// EvidenceSource counts the requests since the document in force came into force.
type EvidenceSource interface {
	Evidence() configstate.Evidence
}

// Defaults of Options.
const (
	// DefaultSettleTimeout bounds a change, with the settling of a lost answer.
	DefaultSettleTimeout = 8 * time.Second
	// DefaultReadTimeout bounds a read of the key-value service, after which
	// the VM answers with what it has in force.
	DefaultReadTimeout = 2 * time.Second
)

// maxRequestBytes bounds a request: a document of the largest size in JSON.
const maxRequestBytes = 4 << 20

// Options configures the handler. Sources that are nil answer as unavailable.
type Options struct {
	// VM names this VM.
	VM string
	// Operators may use the API.
	Operators Operators
	// Configuration is this VM's.
	Configuration Configuration
	Status        StatusSource
	Plan          PlanSource
	Drainer       Drainer
	Evidence      EvidenceSource
	// SettleTimeout bounds a change. The default is 8s.
	SettleTimeout time.Duration
	// ReadTimeout bounds a read. The default is 2s.
	ReadTimeout time.Duration
	// Log receives one event per change.
	Log zerolog.Logger
}

type handler struct{ Options }

// NewHandler returns the operators' API.
func NewHandler(o Options) http.Handler {
	if o.SettleTimeout <= 0 {
		o.SettleTimeout = DefaultSettleTimeout
	}
	if o.ReadTimeout <= 0 {
		o.ReadTimeout = DefaultReadTimeout
	}
	h := &handler{Options: o}
	mux := http.NewServeMux()
	mux.Handle("GET "+pathConfig, serve(h.config))
	mux.Handle("POST "+pathConfig, serve(h.apply))
	mux.Handle("GET "+pathHistory, serve(h.history))
	mux.Handle("GET "+pathHistory+"/{version}", serve(h.version))
	mux.Handle("GET "+pathChanges+"/{id}", serve(h.change))
	mux.Handle("GET "+pathInForce, serve(h.inForce))
	mux.Handle("POST "+pathWithdrawals, serve(h.withdraw))
	mux.Handle("GET "+pathProof, serve(h.proof))
	mux.Handle("POST "+pathPromotions, serve(h.promote))
	mux.Handle("GET "+pathStatus, serve(h.status))
	mux.Handle("GET "+pathPlan, serve(h.plan))
	mux.Handle("POST "+pathDrain, serve(h.drain))
	return o.Operators.authenticate(mux)
}

// The calls of the API.
const (
	pathConfig      = "/operator/v1/config"
	pathHistory     = "/operator/v1/history"
	pathChanges     = "/operator/v1/changes"
	pathInForce     = "/operator/v1/in-force"
	pathWithdrawals = "/operator/v1/withdrawals"
	pathProof       = "/operator/v1/proof"
	pathPromotions  = "/operator/v1/promotions"
	pathStatus      = "/operator/v1/status"
	pathPlan        = "/operator/v1/plan"
	pathDrain       = "/operator/v1/drain"
)

// serve turns a call into a handler of JSON.
func serve[T any](call func(r *http.Request) (T, error)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		answer, err := call(r)
		if err != nil {
			writeError(w, apiError(err))
			return
		}
		writeJSON(w, http.StatusOK, answer)
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error here means that the caller has gone.
	_ = json.NewEncoder(w).Encode(v)
}

// errorBody is an error on the wire.
type errorBody struct {
	Error *APIError `json:"error"`
}

var statusOf = map[ErrorType]int{
	TypeRefused:      http.StatusUnprocessableEntity,
	TypeConflict:     http.StatusConflict,
	TypeUnknown:      http.StatusGatewayTimeout,
	TypeUnavailable:  http.StatusServiceUnavailable,
	TypeUnauthorized: http.StatusUnauthorized,
	TypeNotFound:     http.StatusNotFound,
}

func writeError(w http.ResponseWriter, e *APIError) {
	writeJSON(w, statusOf[e.Type], errorBody{Error: e})
}

func decode[T any](r *http.Request) (T, error) {
	var request T
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return request, &APIError{Type: TypeRefused, Message: "request: " + err.Error()}
	}
	return request, nil
}

// apiError sorts a failure into the kinds that operators act on.
func apiError(err error) *APIError {
	var ready *APIError
	var conflict *configsync.ConflictError
	var unknown *configsync.UnknownError
	var mistakes strictyaml.Errors
	switch {
	case errors.As(err, &ready):
		return ready
	case errors.As(err, &conflict):
		return &APIError{Type: TypeConflict, Message: err.Error(), Version: conflict.Version,
			ChangeID: conflict.ChangeID, Author: conflict.Author, Changes: conflict.Changes}
	case errors.As(err, &unknown):
		return &APIError{Type: TypeUnknown, Message: err.Error(), ChangeID: unknown.ChangeID}
	case errors.As(err, &mistakes):
		e := &APIError{Type: TypeRefused, Message: "the document has mistakes"}
		for _, mistake := range mistakes {
			e.Mistakes = append(e.Mistakes, mistake.Error())
		}
		return e
	case errors.Is(err, configsync.ErrNotKept), errors.Is(err, configsync.ErrNothingAccepted):
		return &APIError{Type: TypeNotFound, Message: err.Error()}
	case errors.Is(err, kv.ErrUnavailable), errors.Is(err, context.DeadlineExceeded),
		errors.Is(err, context.Canceled), errors.Is(err, configsync.ErrStopped):
		return &APIError{Type: TypeUnavailable, Message: err.Error()}
	}
	return &APIError{Type: TypeRefused, Message: err.Error()}
}
