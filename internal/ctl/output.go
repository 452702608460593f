package ctl

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// The formats of -o.
const (
	outputTable = "table"
	outputJSON  = "json"
	outputYAML  = "yaml"
)

// table is the output of -o table.
type table struct {
	header []string
	rows   [][]string
}

func (t *table) addRow(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
	}
	t.rows = append(t.rows, row)
}

// print writes v as JSON or YAML, or else the table.
func (o *options) print(v any, t *table) error {
	switch o.output {
	case outputJSON:
		encoder := json.NewEncoder(o.out)
		encoder.SetIndent("", "  ")
		return errors.Wrap(encoder.Encode(v), "output")
	case outputYAML:
		encoder := yaml.NewEncoder(o.out)
		return errors.Wrap(encoder.Encode(v), "output")
	}
	w := tabwriter.NewWriter(o.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return errors.Wrap(w.Flush(), "output")
}
