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

// A run of two hollow balancers and one real one plays a scene, writes its table and the same as JSON, and ends its processes.
func TestRun(t *testing.T) {
	program := filepath.Join(t.TempDir(), "scale")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	path := filepath.Join(t.TempDir(), "run.json")
	cmd := exec.Command(program, "--scene", "settings", "--balancers", "2", "--real", "1", "--fleet", "3", "--upstreams", "14", "--rate", "20",
		"--for", "1s", "--json", path)
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
		t.Fatalf("scenes: %+v", r.Scenes)
	}
	p := r.Scenes[0].Phases[1]
	if p.Clients.Statuses["200"] == 0 || p.ResourceUse.HollowCPU == 0 || p.ResourceUse.RealRSS == 0 || r.MemoryMB == 0 {
		t.Errorf("a figure is missing: %+v", p)
	}
	if !strings.Contains(string(out), "scene settings: 2 hollow and 1 real balancers, 14 upstreams") {
		t.Errorf("no table:\n%s", out)
	}
}

// What is asked for wrongly is refused before anything starts.
func TestBadFlags(t *testing.T) {
	for _, o := range []scale.Options{{Slopes: []string{"x"}, For: 1}, {Scenes: []string{"x"}, For: 1}, {}, {For: -1}} {
		if r, err := scale.Start(o); err == nil || r != nil {
			t.Errorf("%+v: %v", o, err)
		}
	}
}
