package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
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

// discovery is a stand-in for the discovery service. Its list does not change.
type discovery struct {
	stage   *stage
	address string
	members []member
}

// listRevision is the version of the list.
const listRevision = 41

// newDiscovery starts a discovery service with a list.
func newDiscovery(s *stage, members []member) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{stage: s, address: l.Addr().String(), members: slices.Clone(members)}
	go http.Serve(l, d)
	return d, nil
}

// list returns the whole list.
func (d *discovery) list() listing { return listing{listRevision, true, d.members} }

// ServeHTTP answers a call for the whole list, or a watch once its wait is over.
func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.stage.note("discovery: call %s", r.URL)
	reply := d.list()
	if since, err := strconv.Atoi(r.URL.Query().Get("since")); err == nil && since >= listRevision {
		wait, _ := strconv.Atoi(r.URL.Query().Get("timeout_ms")) // 0 if it can't be read
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		reply.Complete, reply.Members = false, []member{}
	}
	text, err := json.Marshal(reply)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Write(text)
}
