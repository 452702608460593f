package operator

import (
	"context"
	"net/http"
	"strconv"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/configsync"
	"github.com/chestnutarch/chestnutarch/internal/kv"
)

// defaultHistoryLimit is the number of versions listed if the call gives no
// limit.
const defaultHistoryLimit = 20

func configFromEnvelope(e *configstate.Envelope) *Config {
	return &Config{
		Version:    e.Version,
		ChangeID:   e.ChangeID,
		Author:     e.Author,
		AcceptedAt: e.AcceptedAt,
		Digest:     e.Digest,
		Document:   e.Document,
		Withdrawn:  e.Withdrawn,
		Promotion:  e.Promotion,
	}
}

// config returns the accepted configuration, or the one in force at this VM if
// the key-value service cannot be read.
func (h *handler) config(r *http.Request) (*Config, error) {
	ctx, cancel := context.WithTimeout(r.Context(), h.ReadTimeout)
	defer cancel()
	e, err := h.Configuration.Writer().Current(ctx)
	switch {
	case err == nil && e == nil:
		return nil, configsync.ErrNothingAccepted
	case err == nil:
		return configFromEnvelope(e), nil
	}
	_, localEnvelope := h.Configuration.Envelope()
	if localEnvelope == nil {
		return nil, err
	}
	e, decodeErr := configstate.Decode(localEnvelope)
	if decodeErr != nil {
		return nil, decodeErr
	}
	config := configFromEnvelope(e)
	config.FromVM = h.VM
	return config, nil
}

func (h *handler) apply(r *http.Request) (*ChangeAnswer, error) {
	request, err := decode[ApplyRequest](r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := h.detachedContext(r, kv.PriorityConfiguration)
	defer cancel()
	accepted, err := h.Configuration.Writer().Apply(ctx, changeFromRequest(r, request.ChangeRequest), request.BaseVersion, request.Document)
	return h.logChange(r, request.ChangeID, accepted, err)
}

// detachedContext bounds a call by ChangeTimeout. The call goes on if the client
// disconnects: a change that has begun should be completed and not be left
// half done.
func (h *handler) detachedContext(r *http.Request, p kv.Priority) (context.Context, context.CancelFunc) {
	return context.WithTimeout(kv.WithPriority(context.WithoutCancel(r.Context()), p), h.ChangeTimeout)
}

func changeFromRequest(r *http.Request, c ChangeRequest) configsync.Change {
	return configsync.Change{ID: c.ChangeID, Nonce: c.Nonce, Author: operatorName(r.Context())}
}

// logChange logs the result of a change and converts it into the answer.
func (h *handler) logChange(r *http.Request, id string, accepted *configsync.Accepted, err error) (*ChangeAnswer, error) {
	event := h.Log.Info().Str("operator", operatorName(r.Context())).Str("change_id", id).Str("call", r.URL.Path)
	if err != nil {
		event.Err(err).Msg("change not accepted")
		return nil, err
	}
	e := accepted.Envelope
	event.Int64("version", e.Version).Str("digest", e.Digest).Msg("change accepted")
	return &ChangeAnswer{Outcome: OutcomeTookEffect, Version: e.Version, ChangeID: e.ChangeID, Digest: e.Digest}, nil
}

func (h *handler) history(r *http.Request) ([]*Config, error) {
	limit := defaultHistoryLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 {
			return nil, &APIError{Type: TypeRefused, Message: "limit must be a whole number above zero"}
		}
		limit = n
	}
	ctx, cancel := h.detachedContext(r, kv.PriorityStatus)
	defer cancel()
	list, err := h.Configuration.Writer().History(ctx, limit)
	if err != nil {
		return nil, err
	}
	configs := make([]*Config, 0, len(list))
	for _, e := range list {
		config := configFromEnvelope(e)
		config.Document = ""
		configs = append(configs, config)
	}
	return configs, nil
}

func (h *handler) version(r *http.Request) (*Config, error) {
	version, err := strconv.ParseInt(r.PathValue("version"), 10, 64)
	if err != nil {
		return nil, &APIError{Type: TypeRefused, Message: "version must be a whole number"}
	}
	ctx, cancel := h.detachedContext(r, kv.PriorityStatus)
	defer cancel()
	e, err := h.Configuration.Writer().Version(ctx, version)
	if err != nil {
		return nil, err
	}
	return configFromEnvelope(e), nil
}

// change looks up the outcome of a change whose answer did not reach the
// operator.
func (h *handler) change(r *http.Request) (*ChangeAnswer, error) {
	query := r.URL.Query()
	base, err := strconv.ParseInt(query.Get("base_version"), 10, 64)
	if err != nil {
		return nil, &APIError{Type: TypeRefused, Message: "base_version must be a whole number"}
	}
	ctx, cancel := h.detachedContext(r, kv.PriorityConfiguration)
	defer cancel()
	c := configsync.Change{ID: r.PathValue("id"), Nonce: query.Get("nonce")}
	outcome, e, err := h.Configuration.Writer().Outcome(ctx, c, base)
	if err != nil {
		return nil, err
	}
	answer := &ChangeAnswer{Outcome: outcome.String()}
	if outcome == kv.TookEffect {
		answer.Version, answer.ChangeID, answer.Digest = e.Version, e.ChangeID, e.Digest
	}
	return answer, nil
}

func (h *handler) inForce(*http.Request) (*InForce, error) { return h.inForceStatus(), nil }

func (h *handler) inForceStatus() *InForce {
	inForce := &InForce{VM: h.VM, Pending: h.Configuration.PendingWithdrawals(), Fresh: h.Configuration.Fresh()}
	if s := h.Configuration.Snapshot(); s != nil {
		inForce.Version, inForce.ChangeID, inForce.Digest = s.Version, s.ChangeID, s.Digest
		inForce.Withdrawn, inForce.WithdrawnSum = s.Withdrawn(), s.WithdrawnSum()
	}
	return inForce
}

// withdraw makes this VM refuse the keys at once and then tries to make the
// withdrawal durable. In the reverse order a leaked key would stay valid for as
// long as the key-value service is slow.
func (h *handler) withdraw(r *http.Request) (*WithdrawAnswer, error) {
	request, err := decode[WithdrawRequest](r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := h.detachedContext(r, kv.PriorityClaim)
	defer cancel()
	if err := h.Configuration.Withdraw(ctx, request.Digests); err != nil {
		return nil, err
	}
	if request.HoldOnly {
		return &WithdrawAnswer{Reason: "held at this VM only, as asked"}, nil
	}
	change := configsync.Change{ID: request.ChangeID, Author: operatorName(r.Context())}
	accepted, err := h.Configuration.Writer().Withdraw(ctx, change, request.Digests)
	if _, err := h.logChange(r, request.ChangeID, accepted, err); err != nil {
		return &WithdrawAnswer{Reason: err.Error()}, nil
	}
	return &WithdrawAnswer{Durable: true, Version: accepted.Envelope.Version}, nil
}

func (h *handler) proof(*http.Request) (*Proof, error) {
	if h.Evidence == nil {
		return nil, errNoSource
	}
	_, localEnvelope := h.Configuration.Envelope()
	if localEnvelope == nil {
		return nil, configsync.ErrNothingAccepted
	}
	e, err := configstate.Decode(localEnvelope)
	if err != nil {
		return nil, err
	}
	return &Proof{Document: e.Document, Evidence: h.Evidence.Evidence()}, nil
}

func (h *handler) promote(r *http.Request) (*ChangeAnswer, error) {
	request, err := decode[PromoteRequest](r)
	if err != nil {
		return nil, err
	}
	ctx, cancel := h.detachedContext(r, kv.PriorityConfiguration)
	defer cancel()
	accepted, err := h.Configuration.Writer().Promote(ctx, changeFromRequest(r, request.ChangeRequest), request.BaseVersion, request.Document, &request.Evidence)
	return h.logChange(r, request.ChangeID, accepted, err)
}

func (h *handler) status(r *http.Request) (*Status, error) {
	if h.Status == nil {
		return &Status{VM: h.VM, InForce: *h.inForceStatus()}, nil
	}
	status, err := h.Options.Status.Status(r.Context())
	if err != nil {
		return nil, err
	}
	status.InForce = *h.inForceStatus()
	return status, nil
}

// errNoSource means that Options has no source for the call.
var errNoSource = &APIError{Type: TypeUnavailable, Message: "not served by this VM"}

func (h *handler) plan(r *http.Request) (*Plan, error) {
	if h.Plan == nil {
		return nil, errNoSource
	}
	return h.Options.Plan.Plan(r.Context())
}

func (h *handler) drain(r *http.Request) (*DrainAnswer, error) {
	request, err := decode[DrainRequest](r)
	if err != nil {
		return nil, err
	}
	if h.Drainer == nil {
		return nil, errNoSource
	}
	return h.Drainer.Drain(r.Context(), request.Target, request.Undo)
}
