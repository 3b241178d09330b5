package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// member is an entry of a list.
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

// listing is a list of upstreams, or of changes.
type listing struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// discovery is a stand-in of the discovery service.
type discovery struct {
	address string

	mu       sync.Mutex
	revision uint64
	members  map[string]member
	changed  map[string]uint64 // revision of an id's last change
	news     chan struct{}     // closed at the next change
	calls    int
}

// newDiscovery serves a list of members.
func newDiscovery(members []member) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{address: l.Addr().String(), members: map[string]member{}, changed: map[string]uint64{},
		news: make(chan struct{})}
	d.publish(members...)
	go http.Serve(l, d)
	return d, nil
}

// publish makes changes known, as one new revision.
func (d *discovery) publish(members ...member) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	for _, m := range members {
		d.members[m.ID], d.changed[m.ID] = m, d.revision
	}
	close(d.news)
	d.news = make(chan struct{})
	return d.revision
}

// list returns the whole list.
func (d *discovery) list() listing {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := listing{Revision: d.revision, Complete: true, Members: []member{}}
	for _, m := range d.members {
		if m.Phase != "removed" {
			l.Members = append(l.Members, m)
		}
	}
	return l
}

// since returns the changes since a revision, and a channel that is closed at the next change.
func (d *discovery) since(revision uint64) (listing, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := listing{Revision: d.revision, Members: []member{}}
	for id, m := range d.members {
		if d.changed[id] > revision {
			l.Members = append(l.Members, m)
		}
	}
	return l, d.news
}

// ServeHTTP serves the list or a watch.
func (d *discovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	since, timeout := q.URL.Query().Get("since"), q.URL.Query().Get("timeout_ms")
	d.mu.Lock()
	d.calls++
	d.mu.Unlock()
	var l listing
	if since == "" {
		l = d.list()
	} else {
		revision, _ := strconv.ParseUint(since, 10, 64)
		ms, _ := strconv.Atoi(timeout)
		end := time.After(time.Duration(ms) * time.Millisecond)
		var news chan struct{}
		for l, news = d.since(revision); l.Revision <= revision; l, news = d.since(revision) {
			select {
			case <-news:
				continue
			case <-q.Context().Done():
				return
			case <-end:
			}
			break
		}
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(l)
}
