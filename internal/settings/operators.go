package settings

import "github.com/chestnutarch/chestnutarch/internal/strictyaml"

// operatorsFile lists operators for a process whose other settings come from the platform.
type operatorsFile struct {
	// Operators lists who may ask a VM of the platform where requests would go.
	Operators []OperatorKey `yaml:"operators"`
}

// Provision does nothing: operators have no defaults.
func (f *operatorsFile) Provision() {}

func (f *operatorsFile) check(source *strictyaml.Source) strictyaml.Errors {
	c := &checker{source: source}
	if len(f.Operators) == 0 {
		c.fail("operators", ErrRequired)
	}
	c.operators(f.Operators)
	return c.errs
}

// ReadOperators reads a file that lists operators under "operators", as chestnut-entry's settings do. Its errors are those
// of ReadEntry.
func ReadOperators(file string) ([]OperatorKey, error) {
	f := &operatorsFile{}
	if err := read(file, f); err != nil {
		return nil, err
	}
	return f.Operators, nil
}
