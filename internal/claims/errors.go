package claims

import (
	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/claim"
)

var (
	// ErrUnavailable means that the claim could not be settled, because the
	// key-value service does not answer or the shard is full. This request did not
	// run the action.
	ErrUnavailable = errors.New("claims: claim not settled")
	// ErrKeyReused means that the idempotency key was used for another action.
	ErrKeyReused = errors.New("claims: idempotency key used for another action")
	// ErrInProgress means that an earlier request with the key is still running.
	ErrInProgress = errors.New("claims: action in progress")
	// ErrOutcomeUnknown means that an earlier request with the key may have run the
	// action and that its answer is lost.
	ErrOutcomeUnknown = errors.New("claims: outcome of the action unknown")
)

// AnsweredError means that an earlier request with the key was answered.
type AnsweredError struct {
	// Answer is the answer to the earlier request.
	Answer *claim.Answer
}

// Error implements error.
func (*AnsweredError) Error() string { return "claims: action already answered" }
