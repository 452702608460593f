package layering

import (
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const module = "github.com/chestnutarch/chestnutarch/internal/"

// decisions are the packages that hold policy and no I/O.
var decisions = []string{
	"address", "admit", "claim", "configstate", "document", "membership",
	"order", "placement", "quota", "resume", "route",
}

// forbidden are the imports that would let a decision do I/O, read the clock
// behind its caller's back or draw from a global random source.
var forbidden = []string{
	"net", "net/http", "os", "os/exec", "io/ioutil", "syscall", "math/rand",
	"google.golang.org/grpc", "github.com/rs/zerolog", "golang.org/x/sync/errgroup",
}

// A decision that reaches for a socket or a file can no longer be replayed, so
// a fault that a user saw once could not be shown again from its seed.
func TestDecisionPackagesImportNoIO(t *testing.T) {
	for _, name := range decisions {
		out, err := exec.Command("go", "list", "-f", `{{join .Imports "\n"}}`, module+name).CombinedOutput()
		if err != nil && strings.Contains(string(out), "no required module provides package") {
			continue
		}
		require.NoError(t, err, string(out))
		for imported := range strings.FieldsSeq(string(out)) {
			require.NotContains(t, forbidden, imported, "internal/%s imports %s", name, imported)
		}
	}
}
