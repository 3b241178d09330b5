package main

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"garnettide/internal/scale"
)

// TestRun checks that a run of a scene writes a table to standard output and its results to a JSON file.
func TestRun(t *testing.T) {
	program := filepath.Join(t.TempDir(), "scale")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("building scale: %v\n%s", err, out)
	}
	path := filepath.Join(t.TempDir(), "run.json")
	cmd := exec.Command(program, "--scene", "settings", "--balancers", "2", "--real", "1", "--fleet", "3",
		"--upstreams", "14", "--rate", "20", "--for", "1s", "--json", path)
	out, err := cmd.CombinedOutput()
	if err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var r scale.Run
	if err := json.Unmarshal(text, &r); err != nil {
		t.Fatal(err)
	}
	if len(r.Scenes) != 1 || len(r.Scenes[0].Phases) != 2 {
		t.Fatalf("got scenes %+v, want one scene with two phases", r.Scenes)
	}
	p := r.Scenes[0].Phases[1]
	if p.Clients.Statuses["200"] == 0 || p.ResourceUse.HollowCPU == 0 || p.ResourceUse.RealRSS == 0 ||
		r.PeakMemoryMB == 0 {
		t.Errorf("a measured value is zero: %+v", p)
	}
	if !strings.Contains(string(out), "scene settings: 2 hollow and 1 real balancers, 14 upstreams") {
		t.Errorf("no table of the scene in the output:\n%s", out)
	}
}

// TestBadFlags checks that invalid options are rejected before anything is started.
func TestBadFlags(t *testing.T) {
	for _, o := range []scale.Options{{Slopes: []string{"x"}, PhaseDuration: 1},
		{Scenes: []string{"x"}, PhaseDuration: 1}, {}, {PhaseDuration: -1}} {
		if r, err := scale.Start(o); err == nil || r != nil {
			t.Errorf("options %+v: error %v", o, err)
		}
	}
}
