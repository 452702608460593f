package caller

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// problemSite is a newProblem call: the names of its type and outcome.
type problemSite struct {
	kind, outcome string
}

// parseProblems parses the package's source without its tests. It returns the values of
// the problem types by constant name, and every newProblem call whose type and outcome are
// given by name.
func parseProblems(t *testing.T) (types map[string]string, sites []problemSite) {
	types = make(map[string]string)
	entries, err := os.ReadDir(".")
	require.NoError(t, err)
	for _, entry := range entries {
		if !strings.HasSuffix(entry.Name(), ".go") || strings.HasSuffix(entry.Name(), "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), entry.Name(), nil, 0)
		require.NoError(t, err)
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.ValueSpec:
				if kind, ok := n.Type.(*ast.Ident); ok && kind.Name == "ProblemType" {
					value, err := strconv.Unquote(n.Values[0].(*ast.BasicLit).Value)
					require.NoError(t, err)
					types[n.Names[0].Name] = value
				}
			case *ast.CallExpr:
				if f, ok := n.Fun.(*ast.Ident); ok && f.Name == "newProblem" {
					kind, _ := n.Args[1].(*ast.Ident)
					outcome, _ := n.Args[2].(*ast.Ident)
					if kind != nil && outcome != nil {
						sites = append(sites, problemSite{kind.Name, outcome.Name})
					}
				}
			}
			return true
		})
	}
	return types, sites
}

// Callers handle errors as docs/CALLERS.md specifies. If a type is missing there, or is
// returned with an outcome that the page does not list, a caller may retry a request
// that must not be repeated.
func TestCallersDocListsEveryProblemAndOutcome(t *testing.T) {
	page, err := os.ReadFile("../../docs/CALLERS.md")
	require.NoError(t, err)
	types, sites := parseProblems(t)
	require.NotEmpty(t, types)
	require.NotEmpty(t, sites)
	outcomes := map[string]Outcome{"NotRun": NotRun, "Unknown": Unknown, "Answered": Answered}
	used := make(map[string]map[Outcome]bool)
	for _, p := range sites {
		value := types[p.kind]
		if used[value] == nil {
			used[value] = make(map[Outcome]bool)
		}
		used[value][outcomes[p.outcome]] = true
	}
	for name, value := range types {
		row := regexp.MustCompile("(?m)^\\| `" + value + "` \\|([^|]*)\\|([^|]*)\\|").FindStringSubmatch(string(page))
		require.NotNil(t, row, "problem type %s is missing in docs/CALLERS.md", name)
		require.NotEmpty(t, used[value], "no newProblem call returns problem type %s", name)
		for _, outcome := range []Outcome{NotRun, Unknown, Answered} {
			require.Equal(t, used[value][outcome], strings.Contains(row[2], "`"+string(outcome)+"`"), "problem type %s: docs/CALLERS.md and the code disagree about outcome %s", name, outcome)
		}
	}
}
