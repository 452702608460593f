package strictyaml

import (
	"fmt"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Source holds the line of each field of a decoded text, so that validation after
// decoding can report locations too.
type Source struct {
	// File is the name that the text was read from.
	File  string
	lines map[string]int
}

// At returns err as an error of the field with this path. A field that is missing
// from the text is reported at the line of its nearest parent.
func (s *Source) At(path string, err error) *FieldError {
	return &FieldError{File: s.File, Line: s.line(path), Path: path, Err: err}
}

func (s *Source) line(path string) int {
	for path != "" {
		if line, ok := s.lines[path]; ok {
			return line
		}
		path = path[:max(0, strings.LastIndexAny(path, ".["))]
	}
	return s.lines[""]
}

// Decode reads one YAML document into out, a pointer to a struct with yaml
// tags. It returns Errors with every error found; the source is valid even then.
// An empty text leaves out unchanged.
func Decode(data []byte, file string, out any) (*Source, error) {
	s := &Source{File: file, lines: map[string]int{"": 1}}
	var document yaml.Node
	if err := yaml.Unmarshal(data, &document); err != nil {
		return s, Errors{syntaxError(file, err)}
	}
	if len(document.Content) == 0 {
		return s, nil
	}
	d := decoder{source: s}
	d.value(document.Content[0], reflect.ValueOf(out).Elem(), "")
	return s, d.errs.OrNil()
}

var syntaxLine = regexp.MustCompile(`line (\d+)`)

func syntaxError(file string, err error) *FieldError {
	line := 0
	if found := syntaxLine.FindStringSubmatch(err.Error()); found != nil {
		line, _ = strconv.Atoi(found[1])
	}
	return &FieldError{File: file, Line: line, Err: errors.Wrap(ErrSyntax, err.Error())}
}

type decoder struct {
	source *Source
	errs   Errors
}

func (d *decoder) fail(n *yaml.Node, path string, err error) {
	d.errs = append(d.errs, &FieldError{File: d.source.File, Line: n.Line, Path: path, Err: err})
}

var (
	unmarshalerType = reflect.TypeFor[yaml.Unmarshaler]()
	durationType    = reflect.TypeFor[time.Duration]()
)

func (d *decoder) value(n *yaml.Node, out reflect.Value, path string) {
	d.source.lines[path] = n.Line
	if n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	if n.Tag == "!!null" {
		return
	}
	if out.Addr().Type().Implements(unmarshalerType) || out.Type() == durationType {
		d.leaf(n, out, path)
		return
	}
	switch out.Kind() {
	case reflect.Pointer:
		out.Set(reflect.New(out.Type().Elem()))
		d.value(n, out.Elem(), path)
	case reflect.Struct:
		d.structure(n, out, path)
	case reflect.Slice:
		d.slice(n, out, path)
	case reflect.Map:
		d.mapping(n, out, path)
	default:
		d.leaf(n, out, path)
	}
}

func (d *decoder) leaf(n *yaml.Node, out reflect.Value, path string) {
	if err := n.Decode(out.Addr().Interface()); err != nil {
		d.fail(n, path, errors.Wrapf(ErrBadValue, "%q is not a valid %s (%s)", n.Value, kindName(out.Type()), firstLine(err)))
	}
}

func firstLine(err error) string {
	text := strings.TrimPrefix(err.Error(), "yaml: unmarshal errors:\n")
	return strings.TrimSpace(strings.SplitN(text, "\n", 2)[0])
}

func kindName(t reflect.Type) string {
	switch {
	case t == durationType:
		return "duration"
	case t.Kind() == reflect.Bool:
		return "boolean"
	case t.Kind() >= reflect.Int && t.Kind() <= reflect.Uint64:
		return "whole number"
	case t.Kind() == reflect.Float64:
		return "number"
	}
	return t.Kind().String()
}

func (d *decoder) structure(n *yaml.Node, out reflect.Value, path string) {
	if n.Kind != yaml.MappingNode {
		d.fail(n, path, errors.Wrap(ErrBadValue, "expected a mapping of fields"))
		return
	}
	fields := fieldsByName(out.Type())
	seen := make(map[string]bool)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		fieldPath := join(path, key.Value)
		index, known := fields[key.Value]
		switch {
		case !known:
			d.fail(key, fieldPath, ErrUnknownField)
		case seen[key.Value]:
			d.fail(key, fieldPath, ErrDuplicateField)
		default:
			seen[key.Value] = true
			d.value(value, out.FieldByIndex(index), fieldPath)
			d.source.lines[fieldPath] = key.Line
		}
	}
}

func (d *decoder) slice(n *yaml.Node, out reflect.Value, path string) {
	if n.Kind != yaml.SequenceNode {
		d.fail(n, path, errors.Wrap(ErrBadValue, "expected a list"))
		return
	}
	list := reflect.MakeSlice(out.Type(), len(n.Content), len(n.Content))
	for i, item := range n.Content {
		d.value(item, list.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
	out.Set(list)
}

func (d *decoder) mapping(n *yaml.Node, out reflect.Value, path string) {
	if n.Kind != yaml.MappingNode {
		d.fail(n, path, errors.Wrap(ErrBadValue, "expected a mapping of names to values"))
		return
	}
	m := reflect.MakeMapWithSize(out.Type(), len(n.Content)/2)
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		fieldPath := join(path, key.Value)
		k := reflect.New(out.Type().Key()).Elem()
		d.leaf(key, k, fieldPath)
		if m.MapIndex(k).IsValid() {
			d.fail(key, fieldPath, ErrDuplicateField)
			continue
		}
		v := reflect.New(out.Type().Elem()).Elem()
		d.value(value, v, fieldPath)
		m.SetMapIndex(k, v)
	}
	out.Set(m)
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// fieldsByName maps the YAML names of t's fields to their indexes.
func fieldsByName(t reflect.Type) map[string][]int {
	fields := make(map[string][]int)
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if !f.IsExported() || name == "" || name == "-" {
			continue
		}
		fields[name] = f.Index
	}
	return fields
}
