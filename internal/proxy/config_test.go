package proxy

import (
	"bytes"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"garnettide"
)

const configText = `{"name":"n3","listen":"127.0.0.1:7070","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":{"revision":41,"complete":true,"members":[{"id":"s-5be2a07c","host_port":"127.0.0.1:7","phase":"up","size":1.0,"up_since_ms":0}]},
"settings":` + settingsText + `}`

func loadTestConfig(t *testing.T, text string, env map[string]string) (Config, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadConfig(func(name string) string {
		if name == "RELAY_CONFIG" {
			return path
		}
		return env[name]
	})
}

func TestLoadConfig(t *testing.T) {
	c, err := loadTestConfig(t, configText, map[string]string{"RELAY_NAME": "n4"})
	if err != nil {
		t.Fatal(err)
	}
	want(t, "name", c.Name, "n4")
	want(t, "seed", c.Seed, uint64(0x8c1f30d27a5be964))
	want(t, "known", c.CachedList.Revision, uint64(41))
	want(t, "keep-alive", c.ConnTimeouts.IdleTimeout, time.Minute)
	classes, _ := c.Plan.Size()
	want(t, "classes", classes, 3)
}

// RELAY_DISCOVERY names the address of the start. After that the file's holds.
func TestReloadUsesDiscoveryAddressOfFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(configText), 0o600); err != nil {
		t.Fatal(err)
	}
	env := map[string]string{"RELAY_CONFIG": path, "RELAY_DISCOVERY": "127.0.0.1:1", "RELAY_NAME": "n4"}
	getenv := func(name string) string { return env[name] }
	c, err := LoadConfig(getenv)
	if err != nil {
		t.Fatal(err)
	}
	want(t, "at the start", c.Discovery, "127.0.0.1:1")
	var log bytes.Buffer
	reloader := NewReloader(getenv, c)
	reloader.log = slog.New(slog.NewTextHandler(&log, nil))
	reloaded, err := reloader.read(nil)
	if err != nil {
		t.Fatal(err)
	}
	want(t, "name", c.Name, "n4")
	want(t, "what the log says of a name that still goes before the file's", log.String(), "")
	want(t, "read again", reloaded.Discovery, "127.0.0.1:8500")
	want(t, "bytes", reloaded.Hash, c.Hash)
}

func TestInvalidConfigErrors(t *testing.T) {
	if _, err := LoadConfig(func(string) string { return "" }); err == nil || !strings.Contains(err.Error(), "RELAY_CONFIG") {
		t.Errorf("no file: got %v", err)
	}
	for _, tt := range []struct{ old, new, errText string }{
		{`{"name"`, `"name"`, "invalid character"},
		{"127.0.0.1:7070", "", "listen"},
		{"127.0.0.1:8500", "nowhere", "discovery"},
		{"8c1f30d27a5be964", "seed", "seed"},
		{`"memory_mb":192`, `"memory_mb":0`, "memory_mb"},
		{`"sockets":1024`, `"sockets":3`, "sockets"},
		{`"settings"`, `"other"`, "settings are missing"},
		{"on_request", "never", "membership_mode"},
		{`"keepalive_us":60000000`, `"keepalive_us":0`, "keepalive_us"},
		{`"phase":"up"`, `"phase":"odd"`, "odd"},
		{`"127.0.0.1:7"`, `"here"`, "s-5be2a07c"},
	} {
		if _, err := loadTestConfig(t, strings.Replace(configText, tt.old, tt.new, 1), nil); err == nil || !strings.Contains(err.Error(), tt.errText) {
			t.Errorf("%s: got %v, want it to name %s", tt.new, err, tt.errText)
		}
	}
}

func TestUpstreamIDs(t *testing.T) {
	ids := newUpstreamIDs()
	want(t, "hex", ids.id("s-5be2a07c"), garnettide.UpstreamID(0x5be2a07c))
	want(t, "the same again", ids.id("s-5be2a07c"), garnettide.UpstreamID(0x5be2a07c))
	other := ids.id("5be2a07c.example")
	want(t, "another form", other, hashText("5be2a07c.example"))
	seen := map[garnettide.UpstreamID]string{}
	for _, text := range []string{"s-7", "s-07", "s-007", "s-zz", "s-123456789", "", "s-"} { // three that come to one number
		id := ids.id(text)
		if seen[id] != "" {
			t.Errorf("%q and %q are mixed up", text, seen[id])
		}
		seen[id] = text
	}
}

// An upstream that started before this process is as cold as it is at other balancers; one of long ago is not.
func TestUpstreamStartTimeOnLoopClock(t *testing.T) {
	c, err := loadTestConfig(t, configText, nil)
	if err != nil {
		t.Fatal(err)
	}
	l := newLoop(t.Context(), &c)
	m := member{ID: "s-1", Phase: "up", UpSinceMS: time.Now().Add(-3 * time.Second).UnixMilli()}
	if age := l.now() - m.upstream(1).StartedAt; age < 2900*time.Millisecond || age > 4*time.Second {
		t.Errorf("age %v, want 3 s", age)
	}
	m.UpSinceMS = 0
	want(t, "long ago", m.upstream(1).StartedAt, time.Duration(0))
}

func TestParseLoad(t *testing.T) {
	fullReport := garnettide.Load{Fields: garnettide.HasErrorRate | garnettide.HasUtil | garnettide.HasServiceTime, ErrorRate: 0.5, Util: 0.61, ServiceTime: 14.5}
	for _, tt := range []struct {
		name    string
		reports []string
		want    garnettide.Load
	}{
		{"whole", []string{"err_ps=0.5, load_share=0.61,mean_ms=14.5,other=3"}, fullReport},
		{"none", nil, garnettide.Load{}},
		{"empty", []string{""}, garnettide.Load{}},
		{"half of it", []string{"load_share=0.61,mean_ms=x"}, garnettide.Load{}},
		{"cut", []string{"load_share=0.61,mean"}, garnettide.Load{}},
		{"two", []string{"load_share=0.61", "load_share=0.62"}, garnettide.Load{}},
		{"a name twice", []string{"load_share=0.61,load_share=0.1"}, garnettide.Load{}},
		{"not finite", []string{"load_share=NaN"}, garnettide.Load{}},
		{"negative", []string{"load_share=-0.5"}, garnettide.Load{}},
		{"more than all cores", []string{"load_share=61"}, garnettide.Load{}},
	} {
		want(t, tt.name, parseLoad(tt.reports), tt.want)
	}
}

// With no connection left to open, an attempt could not connect: the module is told so, once, and nothing is owed.
func TestAttemptDroppedAtConnectionLimit(t *testing.T) {
	c, err := loadTestConfig(t, configText, nil)
	if err != nil {
		t.Fatal(err)
	}
	l := newLoop(t.Context(), &c)
	l.maxConns = 0
	l.start(&c, nil)
	r := &request{at: l.now(), responseCh: make(chan clientResponse, 1)}
	r.Class, r.Budget = "checkin", time.Second
	requestReceived{r}.apply(l)
	l.reportPending()
	if len(r.attempts) == 0 {
		t.Fatal("no attempt was made")
	}
	want(t, "attempts owed", r.inFlight, 0)
	want(t, "written", r.attempts[0].stage.Load(), attemptDropped)
	want(t, "connections", l.connCount, 0)
}
