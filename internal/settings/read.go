package settings

import (
	"os"

	"github.com/pkg/errors"

	"github.com/chestnutarch/chestnutarch/internal/strictyaml"
)

// checked is a group of settings that knows its defaults and its rules.
type checked interface {
	Provision()
	check(source *strictyaml.Source) strictyaml.Errors
}

// ReadEntry reads chestnut-entry's settings. It returns ErrRead, or
// strictyaml.Errors with the file, line and path of every mistake.
func ReadEntry(file string) (*Entry, error) {
	s := &Entry{}
	return s, read(file, s)
}

// ReadPlanner reads chestnut-planner's settings, as ReadEntry does.
func ReadPlanner(file string) (*Planner, error) {
	s := &Planner{}
	return s, read(file, s)
}

func read(file string, s checked) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(ErrRead, err.Error())
	}
	return parse(data, file, s)
}

// parse decodes, fills in defaults and checks. The checks run only on a text
// that decodes, since a field that did not decode would be reported twice.
func parse(data []byte, file string, s checked) error {
	source, err := strictyaml.Decode(data, file, s)
	if err != nil {
		return err
	}
	s.Provision()
	return s.check(source).OrNil()
}
