package configsync

import (
	"fmt"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/configstate"
	"github.com/chestnutarch/chestnutarch/internal/document"
)

var (
	// ErrConflict means that another change was accepted first.
	ErrConflict = errors.New("configsync: another change was accepted first")
	// ErrUnknown means that it is not known whether a change takes effect.
	ErrUnknown = errors.New("configsync: outcome unknown")
	// ErrEnvironment means that a document belongs to another environment.
	ErrEnvironment = errors.New("configsync: document of another environment")
	// ErrNothingAccepted means that no configuration was ever accepted.
	ErrNothingAccepted = errors.New("configsync: nothing accepted yet")
	// ErrNotInHistory means that a version is not in the history.
	ErrNotInHistory = errors.New("configsync: version not in the history")
)

// ConflictError describes the accepted change that a refused change would have
// overwritten. It unwraps to ErrConflict.
type ConflictError struct {
	// BaseVersion is the version that the refused change is based on.
	BaseVersion int64
	// Version, ChangeID and Author are those of the accepted envelope.
	Version  int64
	ChangeID string
	Author   string
	// Changes lead from the accepted document to the refused one. It is empty if the
	// accepted document cannot be parsed.
	Changes []document.Change
}

// Error names both versions and the accepted change.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configsync: based on version %d, but version %d (change %s by %q) is accepted",
		e.BaseVersion, e.Version, e.ChangeID, e.Author)
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

func newConflictError(current *configstate.Envelope, baseVersion int64, wanted *document.Document) error {
	e := &ConflictError{
		BaseVersion: baseVersion,
		Version:     current.Version,
		ChangeID:    current.ChangeID,
		Author:      current.Author,
	}
	doc, err := document.Parse([]byte(current.Document), "accepted document")
	if err == nil {
		e.Changes = document.Diff(doc, wanted)
	}
	return e
}

// UnknownError identifies a change whose outcome is unknown, so that the outcome
// can be queried later with Writer.Outcome. It unwraps to ErrUnknown.
type UnknownError struct {
	// ChangeID and Nonce identify the attempt.
	ChangeID string
	Nonce    string
	// BaseVersion is the version that the change is based on.
	BaseVersion int64
}

// Error names the change.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("configsync: outcome of change %s unknown", e.ChangeID)
}

// Unwrap returns ErrUnknown.
func (e *UnknownError) Unwrap() error { return ErrUnknown }

// EnvironmentError names both environments. It unwraps to ErrEnvironment.
type EnvironmentError struct {
	// Want is the environment that the document was offered to.
	Want string
	// Have is the environment named in the document.
	Have string
}

// Error names both environments.
func (e *EnvironmentError) Error() string {
	return fmt.Sprintf("configsync: document of environment %q offered to %q", e.Have, e.Want)
}

// Unwrap returns ErrEnvironment.
func (e *EnvironmentError) Unwrap() error { return ErrEnvironment }
