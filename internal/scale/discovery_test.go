package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// startDiscovery starts a stand-in discovery with one server and n upstreams and returns the URL of its list.
func startDiscovery(t *testing.T, n int, costs Costs) (*Discovery, string) {
	t.Helper()
	d := &Discovery{}
	var addresses []string
	if err := d.Start(DiscoveryConfig{DiscoveryServers: 1, Upstreams: n, Zones: 2,
		UpstreamAddresses: []string{"127.0.0.1:1"}, Costs: costs}, &addresses); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(d.Stop)
	return d, "http://" + addresses[0] + "/v1/servers"
}

// getListing calls url and returns the list and the status. The list is empty unless the status is 200.
func getListing(url string) (Listing, int, error) {
	var list Listing
	resp, err := http.Get(url)
	if err != nil {
		return list, 0, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode == http.StatusOK {
		err = json.Unmarshal(text, &list)
	}
	return list, resp.StatusCode, err
}

func TestDiscoveryServesChangesAndFullLists(t *testing.T) {
	d, url := startDiscovery(t, 10, Costs{})
	full, _, err := getListing(url)
	if err != nil || !full.Complete || full.Revision != 1 || len(full.Members) != 10 {
		t.Fatalf("full list: %v, %+v", err, full)
	}
	if list, _, err := getListing(url + "?since=1&timeout_ms=1"); err != nil || list.Complete || list.Revision != 1 ||
		list.Members == nil || len(list.Members) != 0 {
		t.Errorf("watch without a newer revision: %v, %+v; want no entries", err, list)
	}
	received := make(chan Listing, 1)
	go func() {
		list, _, _ := getListing(url + "?since=1&timeout_ms=60000")
		received <- list
	}()
	for d.counts.waiting.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	var revision RevisionTime
	d.Release(Empty{}, &revision)
	if list := <-received; list.Complete || list.Revision != 2 || len(list.Members) != 1 ||
		list.Members[0].Phase != "draining" {
		t.Errorf("waiting watch: %+v; want one draining upstream", list)
	}
	d.Release(Empty{}, &revision)
	d.Release(Empty{}, &revision)
	list, _, err := getListing(url + "?since=1&timeout_ms=60000")
	if err != nil || list.Revision != 4 || len(list.Members) != 2 || list.Members[0].Phase != "up" ||
		list.Members[1].Phase != "removed" {
		t.Errorf("after three changes of two upstreams: %v, %+v; want the newest state of each", err, list)
	}
	if list, _, _ := getListing(url + "?since=99&timeout_ms=1"); !list.Complete {
		t.Errorf("unknown revision: %+v; want the full list", list)
	}
	for range maxLoggedChanges + 1 {
		d.Release(Empty{}, &revision)
	}
	if list, _, _ := getListing(url + "?since=2&timeout_ms=1"); !list.Complete ||
		len(list.Members) != 9 && len(list.Members) != 10 {
		t.Errorf("revision older than the change log: %+v; want the full list", list)
	}
	if _, status, _ := getListing(url + "?since=x&timeout_ms=1"); status != http.StatusBadRequest {
		t.Errorf("invalid since: status %d, want 400", status)
	}
}

// Calls are served one after another, and a call that would wait longer than maxQueueDelay gets 503.
func TestDiscoveryServesCallsInTurn(t *testing.T) {
	d, url := startDiscovery(t, 2, Costs{})
	server := d.servers[0]
	server.costs = Costs{Call: time.Second, Entry: 10 * time.Second}
	first, ok := server.reserveTurn(&listResponse{entries: 0})
	second, ok2 := server.reserveTurn(&listResponse{entries: 0})
	third, ok3 := server.reserveTurn(&listResponse{entries: 1})
	if !ok || !ok2 || !ok3 || second.Sub(first) != time.Second || third.Sub(second) != 11*time.Second {
		t.Errorf("service times %v and %v, want 1s and 11s", second.Sub(first), third.Sub(first))
	}
	if _, status, err := getListing(url); err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("call behind 13 s of earlier calls: status %d, %v; want 503", status, err)
	}
	want(t, "failed", d.counts.failed.Load(), 1)
}

// A server that goes down resets its connections and refuses new ones. A silent server keeps connections
// open without responses and resets them when it comes up.
func TestDiscoveryServerModes(t *testing.T) {
	d, url := startDiscovery(t, 2, Costs{})
	set := func(m Mode) {
		t.Helper()
		if err := d.Set(ServerMode{0, m}, nil); err != nil {
			t.Fatal(err)
		}
	}
	watch := func() chan error {
		ended, waiting := make(chan error, 1), d.counts.waiting.Load()
		go func() {
			_, _, err := getListing(url + "?since=1&timeout_ms=60000")
			ended <- err
		}()
		for d.counts.waiting.Load() == waiting {
			time.Sleep(time.Millisecond)
		}
		return ended
	}
	ended := watch()
	set(ModeDown)
	if err := <-ended; err == nil {
		t.Error("a watch was answered after its server went down")
	}
	if _, _, err := getListing(url); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("call to a server that is down: %v; want connection refused", err)
	}
	set(ModeUp)
	ended = watch()
	set(ModeSilent)
	var revision RevisionTime
	d.Release(Empty{}, &revision) // must not be reported by the silent server
	for d.counts.waiting.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	c, err := net.Dial("tcp", d.servers[0].address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "GET /v1/servers HTTP/1.1\r\nHost: x\r\n\r\n")
	select {
	case err := <-ended:
		t.Errorf("watch of a silent server ended: %v", err)
	default:
	}
	set(ModeUp)
	if err := <-ended; err == nil {
		t.Error("a watch from before the silent mode was answered")
	}
	if x, _, err := getListing(url); err != nil || x.Revision != 2 {
		t.Errorf("call after the server is up again: %v, %+v; want revision 2", err, x)
	}
}

// The programs for operators depend only on the standard library and on this module, without the scale test.
func TestProgramsDoNotDependOnScale(t *testing.T) {
	cmd := exec.Command("go", "list", "-deps", "-f", "{{if not .Standard}}{{.ImportPath}}{{end}}", "./cmd/olivearch",
		"./cmd/clayladder-sim")
	cmd.Dir = filepath.Join("..", "..")
	out, err := cmd.Output()
	if err != nil {
		t.Fatal(err)
	}
	packages := strings.Fields(string(out))
	if len(packages) < 4 {
		t.Fatalf("packages: %v", packages)
	}
	for _, p := range packages {
		if p != "garnettide" && !strings.HasPrefix(p, "garnettide/") || strings.HasPrefix(p, "garnettide/internal/scale") {
			t.Errorf("the programs depend on %s", p)
		}
	}
}
