package vm

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnutarch/chestnutarch/internal/catalog"
	"github.com/chestnutarch/chestnutarch/internal/teamrate"
)

// Every logged event is described in docs/LOGS.md, and every event described there is logged:
// an engineer on call must be able to look up each of them.
func TestLoggedEventsAreDocumented(t *testing.T) {
	logged := make(map[string]bool)
	name := regexp.MustCompile(`Str\("event", "([a-z_]+)"\)`)
	for _, dir := range []string{".", "../traffic", "../leadership", "../telemetry"} {
		files, err := filepath.Glob(dir + "/*.go")
		require.NoError(t, err)
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			text, err := os.ReadFile(file)
			require.NoError(t, err)
			for _, m := range name.FindAllStringSubmatch(string(text), -1) {
				logged[m[1]] = true
			}
		}
	}
	page, err := os.ReadFile("../../docs/LOGS.md")
	require.NoError(t, err)
	documented := make(map[string]bool)
	for _, m := range regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\|").FindAllStringSubmatch(string(page), -1) {
		documented[m[1]] = true
	}
	require.Equal(t, documented, logged)
}

// Guards against a log line with the limits of all teams at each change.
func TestLogNamesOnlyLimitsThatChanged(t *testing.T) {
	catalogOf := func(rates ...float64) *catalog.Catalog {
		c := &catalog.Catalog{Teams: make(map[string]*catalog.Team)}
		for i, rate := range rates {
			c.Teams[fmt.Sprint("team-", i)] = &catalog.Team{Rate: rate}
		}
		return c
	}
	many := make([]float64, 300)
	require.Len(t, firstLimits(changedLimits(nil, catalogOf(many...))), maxIndividualLogs)
	changed := changedLimits(catalogOf(1, 2, 3), catalogOf(1, 5, 3, 4))
	require.Equal(t, map[string]teamrate.Limit{"team-1": {Rate: 5}, "team-3": {Rate: 4}}, changed)
}
