package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// toldAfter is when what a silent watch misses counts as told, counted from the end of its wait.
const toldAfter = 2 * time.Second

// followSilent follows a discovery that gives the same answer to each call and then nothing. It returns how long the
// call was to wait, what was heard, and after how long.
func followSilent(t *testing.T, answer string) (wait time.Duration, x listUpdate, took time.Duration) {
	heard, waits := make(chan listUpdate, 1), make(chan time.Duration, 1)
	d := newDiscoveryClient(t.Context(), "127.0.0.1:8500", func(x listUpdate) { heard <- x })
	defer d.shutdown()
	d.httpClient.Transport = &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		ours, theirs := net.Pipe()
		go func() {
			if r, err := http.ReadRequest(bufio.NewReader(theirs)); err == nil {
				ms, _ := strconv.Atoi(r.FormValue("timeout_ms"))
				waits <- time.Duration(ms) * time.Millisecond
			}
			io.WriteString(theirs, answer)
			io.Copy(io.Discard, theirs)
		}()
		return ours, nil
	}}
	d.recordRevision(10)
	began := time.Now()
	go d.watch(t.Context())
	x = <-heard
	return <-waits, x, time.Since(began)
}

// A list that is malformed, cut short or without an end is not taken by half: it is a failed call. One that lacks its members
// would say that all upstreams are gone.
func TestMalformedListsAreFailedCalls(t *testing.T) {
	const one = `{"id":"s-00000001","host_port":"127.0.0.1:1","phase":"up"}`
	for name, c := range map[string]struct {
		text string
		ok   bool
	}{
		"whole":            {`{"revision":11,"complete":true,"members":[` + one + `]}`, true},
		"indented":         {"{\n  \"revision\": 11,\n  \"complete\": true,\n  \"members\": [\n    " + one + "\n  ]\n}\n", true},
		"empty":            {`{"revision":11,"complete":true,"members":[]}`, true},
		"no members":       {`{"revision":11,"complete":true}`, false},
		"null members":     {`{"revision":11,"complete":true,"members":null}`, false},
		"cut short":        {`{"revision":11,"complete":true,"members":[` + one + `,`, false},
		"a bad entry":      {`{"revision":11,"complete":true,"members":[` + one + `,{"id":"s-2","phase":"up"}]}`, false},
		"something behind": {`{"revision":11,"complete":true,"members":[` + one + `]}]`, false},
		"without an end":   {`{"revision":11,"complete":true,"members":[` + one + strings.Repeat(" ", maxListBytes), false},
		"no object":        {`[]`, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, c.text) }))
			defer s.Close()
			d := newDiscoveryClient(t.Context(), s.Listener.Addr().String(), nil)
			defer d.shutdown()
			_, err := d.call(t.Context(), d.url, discoveryCallTimeout)
			want(t, "taken", err == nil, c.ok)
		})
	}
}

// A watch that falls silent, before its answer or amid it, is found while there is still time to hear of what it misses
// on a new one.
func TestSilentWatchIsFoundInTime(t *testing.T) {
	for name, answer := range map[string]string{
		"no answer":      "",
		"half an answer": "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"revision\":11,",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wait, x, took := followSilent(t, answer)
				if !errors.Is(x.err, errWatchSilent) || took < wait || took > wait+toldAfter/2 {
					t.Errorf("%v after %v; what it misses counts as told after %v", x.err, took, wait+toldAfter)
				}
			})
		})
	}
}

// Watches that were opened at one moment and fall silent together are found so one by one: discovery answers calls in
// turn, and for the last of fourteen at once the answer came too late.
func TestSilentWatchesAreFoundOneByOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var found []time.Duration
		for range 60 {
			_, _, took := followSilent(t, "")
			found = append(found, took)
		}
		slices.Sort(found)
		if spread := found[len(found)-1] - found[0]; spread < discoveryWatchTimeout/5 {
			t.Errorf("all within %v", spread)
		}
	})
}

// A fleet of 1,024 servers and as many balancers fits into the least memory and descriptors there are: the list is taken
// whole and as changes, and requests are served.
func TestThousandServersAndBalancers(t *testing.T) {
	const fleet = 1024
	s := newTestUpstream(t, respondOK)
	b := startBalancerWith(t, func(c *Config) {
		c.Plan = configOf(t, c.Discovery, nil, `"balancers":1`, fmt.Sprint(`"balancers":`, fleet)).Plan
		c.MemoryMB, c.Sockets = 32, 256
	})
	var list []member
	for i := range fleet {
		list = append(list, upMember(fmt.Sprintf("s-%08x", 0x9e3779b9*uint32(i)), s))
	}
	<-b.discovery.calls
	b.discovery.responses <- discoveryList{Revision: 11, Complete: true, Members: list}
	var leaving []member
	for _, m := range list[:fleet/2] {
		leaving = append(leaving, drainingMember(m))
	}
	<-b.discovery.calls
	b.discovery.responses <- discoveryList{Revision: 12, Members: leaving}
	want(t, "call behind the changes", withoutTimeout(<-b.discovery.calls), "since=12")
	for range 20 {
		status, _ := b.do(t, b.newRequest("checkin", ""))
		want(t, "status", status, 200)
	}
	b.checkOnLoop(func(l *loop) bool {
		usable := 0
		for _, p := range l.upstreams {
			if l.usable(p) {
				usable++
			}
		}
		want(t, "servers", len(l.upstreams), fleet)
		want(t, "servers in use", usable, fleet/2)
		return true
	})
	var m runtime.MemStats
	runtime.GC()
	if runtime.ReadMemStats(&m); m.HeapAlloc > 16<<20 {
		t.Errorf("%d MB of heap are live, of 32", m.HeapAlloc>>20)
	}
	want(t, "descriptors fit", b.config.maxUpstreamConns()+b.config.maxClientConns() < 256, true)
}
