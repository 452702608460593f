package ctl

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/operator"
	"github.com/chestnutarch/chestnutarch/internal/placement"
	"github.com/chestnutarch/chestnutarch/internal/strictyaml"
)

// Exit codes of chestnutctl. Scripts use them to decide what to do next.
const (
	// ExitOK means that the command has done everything it was asked to do.
	ExitOK = 0
	// ExitError means a local failure, such as a file that can't be read.
	ExitError = 1
	// ExitUsage means that the command line itself is wrong.
	ExitUsage = 2
	// ExitRefused means that a rule was broken. Nothing was changed.
	ExitRefused = 3
	// ExitConflict means that another change came first. Nothing was changed.
	ExitConflict = 4
	// ExitUnknown means that the change may or may not take effect.
	ExitUnknown = 5
	// ExitUnreachable means that no VM could be reached or none can reach the
	// key-value service. Nothing was changed.
	ExitUnreachable = 6
	// ExitPartial means that the change is accepted, or a withdrawal is held by
	// some VMs, but it is not in force at every VM or not durable yet.
	ExitPartial = 7
)

var (
	// ErrUsage means that the command line is wrong.
	ErrUsage = errors.New("chestnutctl: usage")
	// ErrPartial means that a change is not in force everywhere or not durable.
	ErrPartial = errors.New("chestnutctl: not in force everywhere or not durable yet")
	// ErrFile means that a file can't be read or written.
	ErrFile = errors.New("chestnutctl: file")
	// ErrNoSuchKey means that no team has a key of that name.
	ErrNoSuchKey = errors.New("chestnutctl: no such key")
)

// ExitCode returns the exit code for err.
func ExitCode(err error) int {
	var mistakes strictyaml.Errors
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, ErrUsage):
		return ExitUsage
	case errors.Is(err, ErrPartial):
		return ExitPartial
	case errors.Is(err, operator.ErrUnknown):
		return ExitUnknown
	case errors.Is(err, operator.ErrConflict):
		return ExitConflict
	case errors.Is(err, operator.ErrUnreachable), errors.Is(err, operator.ErrUnavailable):
		return ExitUnreachable
	case errors.Is(err, operator.ErrRefused), errors.Is(err, operator.ErrUnauthorized),
		errors.Is(err, operator.ErrNotFound), errors.Is(err, ErrNoSuchKey),
		errors.Is(err, placement.ErrDoesNotFit), errors.As(err, &mistakes):
		return ExitRefused
	}
	return ExitError
}

// Explain returns the message that is printed to the operator for err: the
// mistakes of a refused document one a line and, for a conflict, the accepted
// version and the difference from it.
func Explain(err error) string {
	var b strings.Builder
	fmt.Fprintf(&b, "error: %v\n", err)
	var api *operator.APIError
	if !errors.As(err, &api) {
		return b.String()
	}
	for _, mistake := range api.Mistakes {
		fmt.Fprintf(&b, "  %s\n", mistake)
	}
	if api.Type == operator.TypeConflict {
		fmt.Fprintf(&b, "accepted now: version %d, change %s by %s\n", api.Version, api.ChangeID, api.Author)
		fmt.Fprintf(&b, "your document would change it as follows:\n")
		for _, c := range api.Changes {
			fmt.Fprintf(&b, "  %-8s %s: %q -> %q\n", c.Kind, c.Path, c.Before, c.After)
		}
	}
	return b.String()
}
