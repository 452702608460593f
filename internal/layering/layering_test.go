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

// decisionPackages contain policy and do no I/O.
var decisionPackages = []string{
	"address", "admission", "admit", "aggregate", "assign", "catalog", "claim", "concurrency", "configstate", "connlimit", "cost", "demand", "document", "membership",
	"changelog", "holding", "order", "origins", "patch", "placement", "quarantine", "quota", "reach", "residency", "resume", "retrybudget", "route", "teamrate", "topology", "upstream", "upstreamload", "upstreamrate", "warmup",
}

// forbiddenImports would let a decision package do I/O, read the clock without its
// caller's control or draw from a global random source.
var forbiddenImports = []string{
	"net", "net/http", "os", "os/exec", "io/ioutil", "syscall", "math/rand",
	"google.golang.org/grpc", "github.com/rs/zerolog", "golang.org/x/sync/errgroup",
}

// bannedLibraries maps libraries that no package may import to the reason.
var bannedLibraries = map[string]string{
	"net/http/httputil": "requests to upstreams are built from an allow-list, not proxied",
	"math/rand":         "use math/rand/v2 with an explicit source",
	"log":               "use zerolog for logs",
}

// listedPackage is the output of go list for one package.
type listedPackage struct {
	ImportPath string
	Imports    []string
}

// listPackages returns every package of the module, without the imports of tests.
func listPackages(t *testing.T) []listedPackage {
	out, err := exec.Command("go", "list", "-json=ImportPath,Imports", module+"...").Output()
	require.NoError(t, err)
	var all []listedPackage
	for decoder := json.NewDecoder(strings.NewReader(string(out))); ; {
		var p listedPackage
		err := decoder.Decode(&p)
		if err == io.EOF {
			return all
		}
		require.NoError(t, err)
		all = append(all, p)
	}
}

// A decision package that does I/O can no longer be replayed, so a fault that a
// user saw could not be reproduced from its seed.
func TestDecisionPackagesImportNoIO(t *testing.T) {
	found := 0
	for _, p := range listPackages(t) {
		name, ok := strings.CutPrefix(p.ImportPath, module+"internal/")
		if !ok || !slices.Contains(decisionPackages, name) {
			continue
		}
		found++
		for _, imported := range p.Imports {
			require.NotContains(t, forbiddenImports, imported, "internal/%s imports %s", name, imported)
			dependency, internal := strings.CutPrefix(imported, module+"internal/")
			if internal {
				require.Contains(t, append([]string{"clock", "strictyaml"}, decisionPackages...), dependency, "internal/%s imports %s", name, imported)
			}
		}
	}
	require.Equal(t, len(decisionPackages), found)
}

// If names of the platform's protocol spread through the code, a change of the platform
// would require a change of the product.
func TestPlatformIsContainedInItsFolder(t *testing.T) {
	platformUsers := []string{module + "cmd/chestnut-vm", module + "internal/vm"}
	for _, p := range listPackages(t) {
		if slices.Contains(platformUsers, p.ImportPath) || strings.HasPrefix(p.ImportPath, module+"platform") {
			continue
		}
		for _, imported := range p.Imports {
			require.False(t, strings.HasPrefix(imported, module+"platform"), "%s imports %s", p.ImportPath, imported)
		}
	}
	platformNames := regexp.MustCompile("(?i)x-chestnutarch-(attempt|deadline|expected|prompt|token|response|not-exec|server-load|tenant|model)|kv-txn|fencing-token")
	for _, dir := range []string{"../../internal", "../../cmd"} {
		require.NoError(t, filepath.WalkDir(dir, func(path string, _ os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			text, err := os.ReadFile(path)
			require.Empty(t, platformNames.FindString(string(text)), path)
			return err
		}))
	}
}

// Some libraries would reintroduce a fault that the design excludes, and a review
// can miss an import.
func TestBannedLibrariesAreNotImported(t *testing.T) {
	for _, p := range listPackages(t) {
		for library, reason := range bannedLibraries {
			require.NotContains(t, p.Imports, library, "%s: %s", p.ImportPath, reason)
		}
		require.NotContains(t, p.Imports, "os/exec", "%s: a process must not start other processes", p.ImportPath)
	}
}

// A program that is not linked to the C library looks up users and certificates
// differently from the other programs of the machine, which operators would not
// expect when they handle an incident.
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
