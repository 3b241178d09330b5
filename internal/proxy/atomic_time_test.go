package proxy

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// hasMonotonicReading reports whether a time holds a reading of the monotonic clock, as its String method shows.
func hasMonotonicReading(at time.Time) bool { return strings.Contains(at.String(), " m=") }

// TestAtomicTimeIsMonotonic guards against spans that change when the system's clock is set: deadlines of uploads and the
// order of eviction came from wall-clock times.
func TestAtomicTimeIsMonotonic(t *testing.T) {
	var stored atomicTime
	if _, isSet := stored.load(); isSet {
		t.Error("got a time that has not been stored")
	}
	at := time.Now()
	stored.store(at)
	loaded, isSet := stored.load()
	if !isSet || !hasMonotonicReading(loaded) || !loaded.Equal(at) {
		t.Errorf("got %v, stored %v, want %v with its monotonic reading", loaded, isSet, at)
	}
	c := timedConn{}
	c.awaitedAt.store(at)
	if !hasMonotonicReading(c.lastAwaited()) {
		t.Errorf("last awaited: got %v, want a monotonic reading", c.lastAwaited())
	}
}

// wallClockUses names the functions that may convert between times and the wall clock: discovery gives times so, and a
// constant stands for the distant past.
var wallClockUses = map[string][]string{
	"loop.go":        {"UnixNano"},
	"atomic_time.go": {"Unix"},
}

// TestWallClockIsNotUsedForSpans guards against new conversions of times, which lose the reading of the monotonic clock.
func TestWallClockIsNotUsedForSpans(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	conversions := []string{"Unix", "UnixMicro", "UnixMilli", "UnixNano"}
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		fileSet := token.NewFileSet()
		file, err := parser.ParseFile(fileSet, name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(node ast.Node) bool {
			call, ok := node.(*ast.CallExpr)
			if !ok {
				return true
			}
			if selector, ok := call.Fun.(*ast.SelectorExpr); ok && slices.Contains(conversions, selector.Sel.Name) &&
				!slices.Contains(wallClockUses[name], selector.Sel.Name) {
				t.Errorf("%v: got a call of %s, want times with their monotonic reading", fileSet.Position(node.Pos()), selector.Sel.Name)
			}
			return true
		})
	}
}
