package document

import (
	"fmt"
	"reflect"
	"strings"
)

// ChangeKind says how a field or list item changed.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference between two documents.
type Change struct {
	// Kind says how the field or list item changed.
	Kind ChangeKind `json:"kind" yaml:"kind"`
	// Path is the path of the field or list item, with items identified by their
	// names: "teams[drafting].rate".
	Path string `json:"path" yaml:"path"`
	// Before is the old value, empty if the item was added.
	Before string `json:"before,omitempty" yaml:"before,omitempty"`
	// After is the new value, empty if the item was removed.
	After string `json:"after,omitempty" yaml:"after,omitempty"`
}

// Diff returns the changes from a to b, in the order of the document. List items
// are matched by name, regardless of their position. Either document may be nil.
func Diff(a, b *Document) []Change {
	if a == nil {
		a = new(Document)
	}
	if b == nil {
		b = new(Document)
	}
	var d diffCollector
	d.compareValues("", reflect.ValueOf(*a), reflect.ValueOf(*b))
	return d.changes
}

type diffCollector struct{ changes []Change }

func (d *diffCollector) compareValues(path string, a, b reflect.Value) {
	switch a.Kind() {
	case reflect.Struct:
		for i := range a.NumField() {
			name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("yaml"), ",")
			d.compareValues(strings.TrimPrefix(path+"."+name, "."), a.Field(i), b.Field(i))
		}
	case reflect.Slice:
		d.compareLists(path, a, b)
	default:
		before, after := fmt.Sprint(a.Interface()), fmt.Sprint(b.Interface())
		if before != after {
			d.changes = append(d.changes, Change{Kind: Changed, Path: path, Before: before, After: after})
		}
	}
}

func (d *diffCollector) compareLists(path string, a, b reflect.Value) {
	after := make(map[string]reflect.Value, b.Len())
	for i := range b.Len() {
		after[identity(b.Index(i))] = b.Index(i)
	}
	before := make(map[string]bool, a.Len())
	for i := range a.Len() {
		id := identity(a.Index(i))
		at := path + "[" + id + "]"
		before[id] = true
		next, kept := after[id]
		if !kept {
			d.changes = append(d.changes, Change{Kind: Removed, Path: at, Before: summary(a.Index(i))})
			continue
		}
		d.compareValues(at, a.Index(i), next)
	}
	for i := range b.Len() {
		id := identity(b.Index(i))
		if !before[id] {
			d.changes = append(d.changes, Change{Kind: Added, Path: path + "[" + id + "]", After: summary(b.Index(i))})
		}
	}
}

// identity returns the name by which a list item is matched.
func identity(v reflect.Value) string {
	switch x := v.Interface().(type) {
	case Key:
		return x.ID
	case Route:
		return x.Path
	}
	if v.Kind() == reflect.Struct {
		return v.FieldByName("Name").String()
	}
	return fmt.Sprint(v.Interface())
}

// summary formats a list item: its fields, with the length in place of a list.
func summary(v reflect.Value) string {
	if v.Kind() != reflect.Struct {
		return fmt.Sprint(v.Interface())
	}
	var parts []string
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("yaml"), ",")
		field := v.Field(i)
		if field.Kind() == reflect.Slice {
			parts = append(parts, fmt.Sprintf("%s: %d", name, field.Len()))
			continue
		}
		parts = append(parts, fmt.Sprintf("%s: %v", name, field.Interface()))
	}
	return strings.Join(parts, ", ")
}
