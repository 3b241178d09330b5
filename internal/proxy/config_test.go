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

// configText is a valid configuration.
const configText = `{"name":"n3","listen":"127.0.0.1:7070","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
"known":{"revision":41,"complete":true,"members":[{"id":"s-5be2a07c","host_port":"127.0.0.1:7","phase":"up","size":1.0,"up_since_ms":0}]},
"settings":` + settingsText + `}`

// loadTestConfig loads a configuration from text, with the environment env.
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

// TestLoadConfig guards against wrong values from the file, and against ignoring the environment.
func TestLoadConfig(t *testing.T) {
	c, err := loadTestConfig(t, configText, map[string]string{"RELAY_NAME": "n4"})
	if err != nil {
		t.Fatal(err)
	}
	want(t, "name", c.Name, "n4")
	want(t, "seed", c.Seed, uint64(0x8c1f30d27a5be964))
	want(t, "revision of the cached list", c.CachedList.Revision, uint64(41))
	want(t, "idle timeout", c.ConnTimeouts.IdleTimeout, time.Minute)
	classes, _ := c.Plan.Size()
	want(t, "classes", classes, 3)
}

// TestReloadUsesDiscoveryAddressOfFile guards against a reload that keeps the address of RELAY_DISCOVERY, which applies
// to the start only.
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
	want(t, "discovery at the start", c.Discovery, "127.0.0.1:1")
	var log bytes.Buffer
	reloader := NewReloader(getenv, c)
	reloader.log = slog.New(slog.NewTextHandler(&log, nil))
	reloaded, err := reloader.read(nil)
	if err != nil {
		t.Fatal(err)
	}
	want(t, "name", c.Name, "n4")
	want(t, "log output about RELAY_NAME, which still overrides the file", log.String(), "")
	want(t, "discovery after the reload", reloaded.Discovery, "127.0.0.1:8500")
	want(t, "hash of the file", reloaded.Hash, c.Hash)
}

// TestInvalidConfigErrors guards against accepting invalid configurations, and against errors that do not name the
// cause.
func TestInvalidConfigErrors(t *testing.T) {
	if _, err := LoadConfig(func(string) string { return "" }); err == nil ||
		!strings.Contains(err.Error(), "RELAY_CONFIG") {
		t.Errorf("no file: got %v, want an error that names RELAY_CONFIG", err)
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
		if _, err := loadTestConfig(t, strings.Replace(configText, tt.old, tt.new, 1), nil); err == nil ||
			!strings.Contains(err.Error(), tt.errText) {
			t.Errorf("%s: got %v, want an error that names %s", tt.new, err, tt.errText)
		}
	}
}

// TestUpstreamIDs guards against wrong or shared numbers of discovery IDs.
func TestUpstreamIDs(t *testing.T) {
	ids := newUpstreamIDs()
	want(t, "hexadecimal ID", ids.id("s-5be2a07c"), garnettide.UpstreamID(0x5be2a07c))
	want(t, "same ID again", ids.id("s-5be2a07c"), garnettide.UpstreamID(0x5be2a07c))
	other := ids.id("5be2a07c.example")
	want(t, "ID of another form", other, hashText("5be2a07c.example"))
	seen := map[garnettide.UpstreamID]string{}
	// The first three have equal values.
	for _, text := range []string{"s-7", "s-07", "s-007", "s-zz", "s-123456789", "", "s-"} {
		id := ids.id(text)
		if seen[id] != "" {
			t.Errorf("%q and %q have the same number", text, seen[id])
		}
		seen[id] = text
	}
}

// TestUpstreamStartTimeOnLoopClock guards against computing an upstream's age from a clock other than Unix time: a
// balancer that starts later must see the same age as the others.
func TestUpstreamStartTimeOnLoopClock(t *testing.T) {
	c, err := loadTestConfig(t, configText, nil)
	if err != nil {
		t.Fatal(err)
	}
	l := newLoop(t.Context(), &c)
	m := member{ID: "s-1", Phase: "up", UpSinceMS: time.Now().Add(-3 * time.Second).UnixMilli()}
	if age := l.now() - m.upstream(1).StartedAt; age < 2900*time.Millisecond || age > 4*time.Second {
		t.Errorf("got an age of %v, want about 3s", age)
	}
	m.UpSinceMS = 0
	want(t, "start time of an old upstream", m.upstream(1).StartedAt, time.Duration(0))
}

// TestParseLoad guards against accepting malformed or implausible load reports, even in part.
func TestParseLoad(t *testing.T) {
	fullReport := garnettide.Load{Fields: garnettide.HasErrorRate | garnettide.HasUtil | garnettide.HasServiceTime,
		ErrorRate: 0.5, Util: 0.61, ServiceTime: 14.5}
	for _, tt := range []struct {
		name    string
		reports []string
		want    garnettide.Load
	}{
		{"complete", []string{"err_ps=0.5, load_share=0.61,mean_ms=14.5,other=3"}, fullReport},
		{"no report", nil, garnettide.Load{}},
		{"empty", []string{""}, garnettide.Load{}},
		{"one malformed value", []string{"load_share=0.61,mean_ms=x"}, garnettide.Load{}},
		{"truncated", []string{"load_share=0.61,mean"}, garnettide.Load{}},
		{"two reports", []string{"load_share=0.61", "load_share=0.62"}, garnettide.Load{}},
		{"duplicate name", []string{"load_share=0.61,load_share=0.1"}, garnettide.Load{}},
		{"not finite", []string{"load_share=NaN"}, garnettide.Load{}},
		{"negative", []string{"load_share=-0.5"}, garnettide.Load{}},
		{"utilisation too high", []string{"load_share=61"}, garnettide.Load{}},
	} {
		want(t, tt.name, parseLoad(tt.reports), tt.want)
	}
}

// TestAttemptDroppedAtConnectionLimit guards against an attempt that stays in flight, or is counted as a connection,
// when the limit of upstream connections is reached.
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
	want(t, "attempts in flight", r.inFlight, 0)
	want(t, "stage of the attempt", r.attempts[0].stage.Load(), attemptDropped)
	want(t, "connections", l.connCount, 0)
}
