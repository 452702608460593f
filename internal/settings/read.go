package settings

import (
	"os"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/strictyaml"
)

// checkable is a settings type with defaults and validation rules.
type checkable interface {
	Provision()
	check(source *strictyaml.Source) strictyaml.Errors
}

// ReadEntry reads chestnut-entry's settings. It returns ErrRead, or
// strictyaml.Errors with the file, line and path of every error.
func ReadEntry(file string) (*Entry, error) {
	s := &Entry{}
	return s, read(file, s)
}

// ReadPlanner reads chestnut-planner's settings. Its errors are those of
// ReadEntry.
func ReadPlanner(file string) (*Planner, error) {
	s := &Planner{}
	return s, read(file, s)
}

func read(file string, s checkable) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(ErrRead, err.Error())
	}
	return parse(data, file, s)
}

// parse decodes data, sets defaults and validates the result. Validation is skipped
// if decoding fails, because a field that cannot be decoded would be reported
// twice.
func parse(data []byte, file string, s checkable) error {
	source, err := strictyaml.Decode(data, file, s)
	if err != nil {
		return err
	}
	s.Provision()
	return s.check(source).OrNil()
}
