package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// member is one entry of a list, in discovery's form.
type member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// listing is a list in discovery's form.
type listing struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// discovery is a stand-in for the discovery service.
type discovery struct {
	stage    *stage
	address  string
	server   *http.Server
	mu       sync.Mutex
	revision int
	members  []member       // that are not removed
	changes  map[string]int // revision of the last change, by id
	removed  map[string]member
	changed  chan struct{} // closed at the next change
	down     bool          // calls are reset
}

// newDiscovery starts a discovery service with a list.
func newDiscovery(s *stage, members []member) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{stage: s, address: l.Addr().String(), revision: 41, members: slices.Clone(members),
		changes: map[string]int{}, removed: map[string]member{}, changed: make(chan struct{})}
	d.server = &http.Server{Handler: d}
	go d.server.Serve(l)
	return d, nil
}

// list returns the whole list. The caller holds d.mu or is alone.
func (d *discovery) list() listing { return listing{d.revision, true, slices.Clone(d.members)} }

// setPhase changes the phase of an entry.
func (d *discovery) setPhase(id, phase string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.changes[id] = d.revision
	for i := range d.members {
		if d.members[i].ID == id {
			d.members[i].Phase = phase
		}
	}
	d.stage.note("discovery: revision %d: %s is %s", d.revision, id, phase)
	close(d.changed)
	d.changed = make(chan struct{})
}

// setDown begins or ends an outage: calls are reset.
func (d *discovery) setDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.stage.note("discovery: down: %v", down)
	close(d.changed)
	d.changed = make(chan struct{})
}

// ServeHTTP answers a call for the whole list or a watch.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	isWatch := err == nil
	wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	d.stage.note("discovery: call %s", r.URL)
	for {
		d.mu.Lock()
		down, revision, changed := d.down, d.revision, d.changed
		reply := d.list()
		if isWatch {
			reply.Complete = false
			reply.Members = slices.DeleteFunc(reply.Members, func(m member) bool { return d.changes[m.ID] <= since })
		}
		d.mu.Unlock()
		if down {
			resetConn(w)
			d.stage.note("discovery: call reset")
			return
		}
		if !isWatch || revision > since || ctx.Err() != nil {
			text, _ := json.Marshal(reply) // plain values
			w.Header().Set("Content-Type", "application/json")
			w.Write(text)
			d.stage.note("discovery: answered with revision %d, complete %v, %d entries", reply.Revision, reply.Complete,
				len(reply.Members))
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			if r.Context().Err() != nil {
				return
			}
		}
	}
}

// resetConn resets the connection of a call.
func resetConn(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}
