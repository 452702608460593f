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

// raised is one place in the code that makes a problem.
type raised struct {
	kind, outcome string
}

// source reads the package's problem types, and every place that raises one with
// an outcome that stands there.
func source(t *testing.T) (types map[string]string, places []raised) {
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
						places = append(places, raised{kind.Name, outcome.Name})
					}
				}
			}
			return true
		})
	}
	return types, places
}

// A caller acts on an error by what docs/CALLERS.md says of it. A type that is
// missing there, or one that comes with an outcome that the page does not give,
// makes him repeat what must not be repeated.
func TestEveryProblemIsInTheCallersPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/CALLERS.md")
	require.NoError(t, err)
	types, places := source(t)
	require.NotEmpty(t, types)
	require.NotEmpty(t, places)
	outcomes := map[string]Outcome{"NotRun": NotRun, "Unknown": Unknown, "Answered": Answered}
	used := make(map[string]map[Outcome]bool)
	for _, p := range places {
		value := types[p.kind]
		if used[value] == nil {
			used[value] = make(map[Outcome]bool)
		}
		used[value][outcomes[p.outcome]] = true
	}
	for name, value := range types {
		row := regexp.MustCompile("(?m)^\\| `" + value + "` \\|([^|]*)\\|([^|]*)\\|").FindStringSubmatch(string(page))
		require.NotNil(t, row, "%s is not in the page", name)
		require.NotEmpty(t, used[value], "%s is never raised", name)
		for _, outcome := range []Outcome{NotRun, Unknown, Answered} {
			require.Equal(t, used[value][outcome], strings.Contains(row[2], "`"+string(outcome)+"`"), "%s: outcome %s", name, outcome)
		}
	}
}
