package garnettide

import (
	"bytes"
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// interfaceFiles are the files of the package that make no decisions: its interface and the checks of its settings.
var interfaceFiles = []string{"api.go", "settings.go"}

// policyImports are the packages that the decision module may import: none of them reaches sockets, files, processes or
// other goroutines.
var policyImports = []string{"cmp", "errors", "fmt", "math", "math/rand/v2", "slices", "strings", "time"}

// clockFunctions are the functions of package time that read the clock or wait.
var clockFunctions = []string{"After", "AfterFunc", "NewTicker", "NewTimer", "Now", "Since", "Sleep", "Tick", "Until"}

// policyFiles returns the files that deploy/balancer.toml names as the decision module.
func policyFiles(t *testing.T) []string {
	t.Helper()
	toml, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	policy := regexp.MustCompile(`(?m)^policy = \[(.*)\]$`).FindSubmatch(toml)
	if policy == nil {
		t.Fatal("deploy/balancer.toml: got no policy key, want one")
	}
	var files []string
	for _, quoted := range regexp.MustCompile(`"([^"]*)"`).FindAllSubmatch(policy[1], -1) {
		files = append(files, string(quoted[1]))
	}
	return files
}

// moduleFiles returns the files of the package but for its tests.
func moduleFiles(t *testing.T) []string {
	t.Helper()
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	return slices.DeleteFunc(files, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
}

// TestDecisionsAreInNamedModules guards against decisions in files that deploy/balancer.toml does not name, which
// operators would not be shown, against files without a stated job, and against lines too wide to print.
func TestDecisionsAreInNamedModules(t *testing.T) {
	named := append(policyFiles(t), interfaceFiles...)
	slices.Sort(named)
	if files := moduleFiles(t); !slices.Equal(named, files) {
		t.Errorf("got files %v, want those that deploy/balancer.toml names and %v: %v", files, interfaceFiles, named)
	}
	for _, name := range policyFiles(t) {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.HasPrefix(text, []byte("// ")) {
			t.Errorf("%s: got no comment at its beginning, want one that tells what is decided there", name)
		}
		for i, line := range bytes.Split(text, []byte("\n")) {
			if len(line) > 110 && name == "balancer.go" || len(line) > 130 {
				t.Errorf("%s: line %d: got %d bytes, want at most 130, or 110 in balancer.go", name, i+1, len(line))
			}
		}
	}
}

// TestDecisionModuleDoesNoIO guards against a decision module that reaches sockets, files or other processes, reads a
// clock, waits, or shares work with other goroutines.
func TestDecisionModuleDoesNoIO(t *testing.T) {
	for _, name := range moduleFiles(t) {
		fileSet := token.NewFileSet()
		file, err := parser.ParseFile(fileSet, name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, spec := range file.Imports {
			if path, err := strconv.Unquote(spec.Path.Value); err != nil || !slices.Contains(policyImports, path) || spec.Name != nil {
				t.Errorf("%s: got import %s, want only %v, under their own names", name, spec.Path.Value, policyImports)
			}
		}
		ast.Inspect(file, func(node ast.Node) bool {
			if description := sideEffect(node); description != "" {
				t.Errorf("%v: got %s in the decision module, want none", fileSet.Position(node.Pos()), description)
			}
			return true
		})
	}
}

// sideEffect describes what a node does beyond the computation of decisions, or returns an empty string.
func sideEffect(node ast.Node) string {
	switch n := node.(type) {
	case *ast.GoStmt:
		return "a goroutine"
	case *ast.ChanType, *ast.SelectStmt, *ast.SendStmt:
		return "a channel"
	case *ast.CallExpr:
		if called, ok := n.Fun.(*ast.Ident); ok && (called.Name == "print" || called.Name == "println") {
			return "output"
		}
	case *ast.SelectorExpr:
		x, ok := n.X.(*ast.Ident)
		switch {
		case !ok:
		case x.Name == "time" && slices.Contains(clockFunctions, n.Sel.Name):
			return "a use of the clock"
		case x.Name == "fmt" && !strings.HasPrefix(n.Sel.Name, "Sprint") && n.Sel.Name != "Errorf":
			return "input or output"
		case x.Name == "rand" && !slices.Contains([]string{"New", "NewPCG", "Rand"}, n.Sel.Name):
			return "a source of random numbers that no seed determines"
		}
	}
	return ""
}
