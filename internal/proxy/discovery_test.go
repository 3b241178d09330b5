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

// changeGracePeriod is how long after the timeout of a silent watch call a balancer may still lack a change that
// the call missed.
const changeGracePeriod = 2 * time.Second

// watchUntilSilent watches a discovery server that sends answer to each call and then nothing. It returns the
// timeout of the call, the update that was posted, and after how long.
func watchUntilSilent(t *testing.T, answer string) (wait time.Duration, update listUpdate, took time.Duration) {
	updates, waits := make(chan listUpdate, 1), make(chan time.Duration, 1)
	d := newDiscoveryClient(t.Context(), "127.0.0.1:8500", func(update listUpdate) { updates <- update })
	defer d.shutdown()
	d.httpClient.Transport = &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		clientEnd, serverEnd := net.Pipe()
		go func() {
			if r, err := http.ReadRequest(bufio.NewReader(serverEnd)); err == nil {
				ms, _ := strconv.Atoi(r.FormValue("timeout_ms"))
				waits <- time.Duration(ms) * time.Millisecond
			}
			io.WriteString(serverEnd, answer)
			io.Copy(io.Discard, serverEnd)
		}()
		return clientEnd, nil
	}}
	d.recordRevision(10)
	start := time.Now()
	go d.watch(t.Context())
	update = <-updates
	return <-waits, update, time.Since(start)
}

// TestMalformedListsAreFailedCalls guards against using part of a list that is malformed, truncated or too
// long, and against taking a list without members for the removal of all upstreams.
func TestMalformedListsAreFailedCalls(t *testing.T) {
	const one = `{"id":"s-00000001","host_port":"127.0.0.1:1","phase":"up"}`
	for name, c := range map[string]struct {
		text string
		ok   bool
	}{
		"whole": {`{"revision":11,"complete":true,"members":[` + one + `]}`, true},
		"indented": {"{\n  \"revision\": 11,\n  \"complete\": true,\n  \"members\": [\n    " + one + "\n  ]\n}\n",
			true},
		"empty":          {`{"revision":11,"complete":true,"members":[]}`, true},
		"no members":     {`{"revision":11,"complete":true}`, false},
		"null members":   {`{"revision":11,"complete":true,"members":null}`, false},
		"truncated":      {`{"revision":11,"complete":true,"members":[` + one + `,`, false},
		"invalid entry":  {`{"revision":11,"complete":true,"members":[` + one + `,{"id":"s-2","phase":"up"}]}`, false},
		"trailing bytes": {`{"revision":11,"complete":true,"members":[` + one + `]}]`, false},
		"too long": {`{"revision":11,"complete":true,"members":[` + one + strings.Repeat(" ", maxListBytes),
			false},
		"not an object": {`[]`, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				io.WriteString(w, c.text)
			}))
			defer s.Close()
			d := newDiscoveryClient(t.Context(), s.Listener.Addr().String(), nil)
			defer d.shutdown()
			_, err := d.call(t.Context(), d.url, discoveryCallTimeout)
			want(t, "accepted", err == nil, c.ok)
		})
	}
}

// TestSilentWatchIsDetectedInTime guards against detecting a silent watch, with no answer or with half of
// one, too late to get the missed changes in time with a new call.
func TestSilentWatchIsDetectedInTime(t *testing.T) {
	for name, answer := range map[string]string{
		"no answer":      "",
		"half an answer": "HTTP/1.1 200 OK\r\nContent-Length: 500\r\n\r\n{\"revision\":11,",
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				wait, update, took := watchUntilSilent(t, answer)
				if !errors.Is(update.err, errWatchSilent) || took < wait || took > wait+changeGracePeriod/2 {
					t.Errorf("got %v after %v, want errWatchSilent after the timeout and well before %v", update.err,
						took, wait+changeGracePeriod)
				}
			})
		})
	}
}

// TestSilentWatchesAreDetectedAtDifferentTimes guards against watches that were opened at the same time being
// reopened at the same time after they go silent: discovery answers calls one at a time, so the last ones
// would be answered too late.
func TestSilentWatchesAreDetectedAtDifferentTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var detected []time.Duration
		for range 60 {
			_, _, took := watchUntilSilent(t, "")
			detected = append(detected, took)
		}
		slices.Sort(detected)
		if spread := detected[len(detected)-1] - detected[0]; spread < discoveryWatchTimeout/5 {
			t.Errorf("all were detected within %v, want them a fifth of discoveryWatchTimeout or more apart", spread)
		}
	})
}

// TestThousandUpstreamsAndBalancers guards against exceeding small limits of memory and descriptors, and
// against lost changes of the list, with 1,024 upstreams and as many balancers.
func TestThousandUpstreamsAndBalancers(t *testing.T) {
	const fleetSize = 1024
	upstream := newTestUpstream(t, respondOK)
	b := startBalancerWith(t, func(c *Config) {
		c.Plan = parsedConfigWith(t, c.Discovery, nil, `"balancers":1`, fmt.Sprint(`"balancers":`, fleetSize)).Plan
		c.MemoryMB, c.Sockets = 32, 256
	})
	var list []member
	for i := range fleetSize {
		list = append(list, upMember(fmt.Sprintf("s-%08x", 0x9e3779b9*uint32(i)), upstream))
	}
	<-b.discovery.calls
	b.discovery.responses <- discoveryList{Revision: 11, Complete: true, Members: list}
	var leaving []member
	for _, m := range list[:fleetSize/2] {
		leaving = append(leaving, drainingMember(m))
	}
	<-b.discovery.calls
	b.discovery.responses <- discoveryList{Revision: 12, Members: leaving}
	want(t, "call after the changes", withoutTimeout(<-b.discovery.calls), "since=12")
	for range 20 {
		status, _ := b.do(t, b.newRequest("checkin", ""))
		want(t, "status", status, 200)
	}
	b.checkOnLoop(func(l *loop) bool {
		usable := 0
		for _, u := range l.upstreams {
			if l.usable(u) {
				usable++
			}
		}
		want(t, "upstreams", len(l.upstreams), fleetSize)
		want(t, "upstreams in use", usable, fleetSize/2)
		return true
	})
	var m runtime.MemStats
	runtime.GC()
	if runtime.ReadMemStats(&m); m.HeapAlloc > 16<<20 {
		t.Errorf("got %d MB of live heap, want at most 16", m.HeapAlloc>>20)
	}
	want(t, "connection limits fit the descriptors", b.config.Capacity(1).UpstreamConns+b.config.Capacity(1).ClientConns < 256, true)
}

// TestLongResponseHeadFailsCall guards against a response of discovery that takes the balancer over its memory limit with
// its head.
func TestLongResponseHeadFailsCall(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for i := range 4 * maxHeadBytes / len("X0:1\r\n") {
			w.Header().Set("X"+strconv.Itoa(i), "1")
		}
		io.WriteString(w, `{"revision":11,"complete":true,"members":[]}`)
	}))
	defer server.Close()
	d := newDiscoveryClient(t.Context(), strings.TrimPrefix(server.URL, "http://"), func(listUpdate) {})
	defer d.shutdown()
	if _, err := d.call(t.Context(), d.url, discoveryCallTimeout); err == nil {
		t.Error("got a list, want an error")
	}
}
