package layering

import (
	"debug/elf"
	"encoding/json"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const module = "github.com/chestnutarch/chestnutarch/"

// decisions are the packages that hold policy and no I/O.
var decisions = []string{
	"address", "admit", "aggregate", "assign", "catalog", "claim", "configstate", "demand", "document", "membership",
	"order", "patch", "placement", "quota", "residency", "resume", "retrybudget", "route", "teamrate", "topology", "upstream",
}

// forbidden are the imports that would let a decision do I/O, read the clock
// behind its caller's back or draw from a global random source.
var forbidden = []string{
	"net", "net/http", "os", "os/exec", "io/ioutil", "syscall", "math/rand",
	"google.golang.org/grpc", "github.com/rs/zerolog", "golang.org/x/sync/errgroup",
}

// libraries that nothing may use, with the reason.
var unwanted = map[string]string{
	"net/http/httputil": "requests to upstreams are built from an allow-list, not proxied",
	"math/rand":         "math/rand/v2 with a source of one's own takes its place",
	"log":               "logs go through zerolog",
}

// listed is what the go command tells of a package.
type listed struct {
	ImportPath string
	Imports    []string
}

// packages lists every package of the module, without test files.
func packages(t *testing.T) []listed {
	out, err := exec.Command("go", "list", "-json=ImportPath,Imports", module+"...").Output()
	require.NoError(t, err)
	var all []listed
	for decoder := json.NewDecoder(strings.NewReader(string(out))); ; {
		var p listed
		err := decoder.Decode(&p)
		if err == io.EOF {
			return all
		}
		require.NoError(t, err)
		all = append(all, p)
	}
}

// A decision that reaches for a socket or a file can no longer be replayed, so
// a fault that a user saw once could not be shown again from its seed.
func TestDecisionPackagesImportNoIO(t *testing.T) {
	found := 0
	for _, p := range packages(t) {
		name, ok := strings.CutPrefix(p.ImportPath, module+"internal/")
		if !ok || !slices.Contains(decisions, name) {
			continue
		}
		found++
		for _, imported := range p.Imports {
			require.NotContains(t, forbidden, imported, "internal/%s imports %s", name, imported)
			inner, own := strings.CutPrefix(imported, module+"internal/")
			if own {
				require.Contains(t, append([]string{"clock", "strictyaml"}, decisions...), inner, "internal/%s imports %s", name, imported)
			}
		}
	}
	require.Equal(t, len(decisions), found)
}

// The names of the platform's wire would spread through the code, and a change of the
// platform would be a change of the product.
func TestThePlatformStaysInItsFolder(t *testing.T) {
	assemblies := []string{module + "cmd/chestnut-vm", module + "internal/vm"}
	for _, p := range packages(t) {
		if slices.Contains(assemblies, p.ImportPath) || strings.HasPrefix(p.ImportPath, module+"platform") {
			continue
		}
		for _, imported := range p.Imports {
			require.False(t, strings.HasPrefix(imported, module+"platform"), "%s imports %s", p.ImportPath, imported)
		}
	}
	names := regexp.MustCompile("(?i)x-chestnutarch-(attempt|deadline|expected|prompt|token|response|not-exec|server-load|tenant|model)|kv-txn|fencing-token")
	for _, dir := range []string{"../../internal", "../../cmd"} {
		require.NoError(t, filepath.WalkDir(dir, func(path string, _ os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			require.Empty(t, names.FindString(string(text)), path)
			return err
		}))
	}
}

// Some libraries would bring back a fault that the design excludes, and a
// review can miss an import.
func TestUnwantedLibrariesStayOut(t *testing.T) {
	for _, p := range packages(t) {
		for library, reason := range unwanted {
			require.NotContains(t, p.Imports, library, "%s: %s", p.ImportPath, reason)
		}
		require.NotContains(t, p.Imports, "os/exec", "%s: a process starts no other process", p.ImportPath)
	}
}

// A program without the C library looks up users and certificates in other
// ways than the machine's own, and operators would be surprised at night.
func TestProgramsAreLinkedToTheCLibrary(t *testing.T) {
	dir := t.TempDir()
	build := exec.Command("go", "build", "-o", dir+"/", module+"cmd/...")
	build.Env = append(os.Environ(), "CGO_ENABLED=1")
	out, err := build.CombinedOutput()
	require.NoError(t, err, string(out))
	programs, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.NotEmpty(t, programs)
	for _, program := range programs {
		file, err := elf.Open(dir + "/" + program.Name())
		require.NoError(t, err)
		libraries, err := file.ImportedLibraries()
		require.NoError(t, err)
		require.Contains(t, libraries, "libc.so.6", program.Name())
		require.NoError(t, file.Close())
	}
}
