package vm

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
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
