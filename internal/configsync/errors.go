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
	// ErrUnknown means that a change may or may not take effect.
	ErrUnknown = errors.New("configsync: outcome unknown")
	// ErrEnvironment means that a document belongs to another environment.
	ErrEnvironment = errors.New("configsync: document of another environment")
	// ErrNothingAccepted means that no configuration was ever accepted.
	ErrNothingAccepted = errors.New("configsync: nothing accepted yet")
	// ErrNotKept means that a version is not in the history.
	ErrNotKept = errors.New("configsync: version not kept")
)

// ConflictError tells the loser of a race what it would have overwritten. It
// unwraps to ErrConflict.
type ConflictError struct {
	// BaseVersion is the version that the change was made from.
	BaseVersion int64
	// Version, ChangeID and Author are of the envelope accepted now.
	Version  int64
	ChangeID string
	Author   string
	// Changes lead from the accepted document to the refused one.
	Changes []document.Change
}

// Error names both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("configsync: based on version %d, but version %d (change %s by %q) is accepted",
		e.BaseVersion, e.Version, e.ChangeID, e.Author)
}

// Unwrap returns ErrConflict.
func (e *ConflictError) Unwrap() error { return ErrConflict }

func conflict(current *configstate.Envelope, baseVersion int64, wanted *document.Document) error {
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

// UnknownError tells how to ask again about a change whose outcome is not
// known. It unwraps to ErrUnknown.
type UnknownError struct {
	// ChangeID and Nonce name the attempt.
	ChangeID string
	Nonce    string
	// BaseVersion is the version that it was made from.
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
	// Want is the environment that was asked to accept the document.
	Want string
	// Have is the environment that the document names.
	Have string
}

// Error names both environments.
func (e *EnvironmentError) Error() string {
	return fmt.Sprintf("configsync: document of environment %q offered to %q", e.Have, e.Want)
}

// Unwrap returns ErrEnvironment.
func (e *EnvironmentError) Unwrap() error { return ErrEnvironment }
