package strictyaml

import (
	"fmt"
	"strings"

	"github.com/pkg/errors"
)

var (
	// ErrSyntax means that the text is not YAML.
	ErrSyntax = errors.New("not valid YAML")
	// ErrUnknownField means that no field has this name.
	ErrUnknownField = errors.New("unknown field")
	// ErrDuplicateField means that a field is given twice.
	ErrDuplicateField = errors.New("field given twice")
	// ErrBadValue means that a value has the wrong kind or unit.
	ErrBadValue = errors.New("bad value")
)

// FieldError is an error with its location.
type FieldError struct {
	// File is the name that the text was read from.
	File string
	// Line is the line number, starting at 1. It is 0 if the line is not known.
	Line int
	// Path is the path of the field, for example "teams[2].rate". It is empty for
	// the document as a whole.
	Path string
	// Err is the cause.
	Err error
}

// Error returns "file:line: path: cause", without the parts that are not known.
func (e *FieldError) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	b.WriteString(": ")
	if e.Path != "" {
		b.WriteString(e.Path + ": ")
	}
	b.WriteString(e.Err.Error())
	return b.String()
}

// Unwrap returns the cause, for errors.Is.
func (e *FieldError) Unwrap() error { return e.Err }

// Errors holds every error that was found, in the order of the text.
type Errors []*FieldError

// Error returns the texts of the errors, one per line.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors, for errors.Is and errors.As.
func (e Errors) Unwrap() []error {
	all := make([]error, len(e))
	for i, err := range e {
		all[i] = err
	}
	return all
}

// OrNil returns nil if e is empty, so that an empty list does not become a non-nil
// error.
func (e Errors) OrNil() error {
	if len(e) == 0 {
		return nil
	}
	return e
}
