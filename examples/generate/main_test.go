package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/document"
	"github.com/chestnutarch/chestnutarch/internal/placement"
)

// The example documents equal the generator's output, parse and fit on their
// engines: an operator who copied an outdated example would have it refused.
func TestExamplesAreCurrentAndValid(t *testing.T) {
	sizes := map[string][5]int{
		"gt-central": {4, 20, 4, 20, 110},
		"cz-central": {3, 20, 3, 30, 100},
	}
	for _, d := range deployments() {
		want, err := d.text()
		require.NoError(t, err)
		file := filepath.Join("..", d.name+".yaml")
		got, err := os.ReadFile(file)
		require.NoError(t, err)
		require.Equal(t, string(want), string(got), "outdated example document: run go run ./examples/generate")
		doc, err := document.Parse(got, file)
		require.NoError(t, err)
		require.NoError(t, placement.CheckFits(doc))
		adapters := 0
		for _, m := range doc.Models {
			adapters += len(m.Adapters)
		}
		require.Equal(t, sizes[d.name], [5]int{len(doc.FailureDomains), len(doc.Engines), len(doc.Services[0].Replicas), len(doc.Models), adapters})
		require.Len(t, doc.Teams, 5)
	}
}
