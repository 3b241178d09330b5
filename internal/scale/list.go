package scale

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// This file holds the list of upstreams that the servers of the stand-in discovery share, and its changes.

const (
	// maxLoggedChanges is the number of changes kept for watches, enough for a zone of 2,000 upstreams to
	// leave and return during a release. A watch from an older revision gets the full list.
	maxLoggedChanges = 8192
	// fullListThreshold is the fraction of the list above which changes are sent as the full list.
	fullListThreshold = 0.5
)

// Member is an entry of discovery's list, as encoded by the protocol.
type Member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS int64   `json:"up_since_ms"` // Unix time; 0: long ago
}

// Listing is a response of discovery, as encoded by the protocol.
type Listing struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// RevisionTime is a revision and the Unix time in ns at which it was published or came into force.
type RevisionTime struct {
	Revision uint64 `json:"revision"`
	At       int64  `json:"at_ns"`
}

// listResponse is an encoded Listing with its main properties.
type listResponse struct {
	body     []byte
	revision uint64
	entries  int
	fullList bool
}

// loggedChange is the state of an upstream as of the revision that changed it.
type loggedChange struct {
	revision uint64
	Member
}

// list is the shared list of upstreams. listResponse, listing and the methods that publish a revision may be
// called from any goroutine; the others need mu.
type list struct {
	mu           sync.Mutex
	revision     uint64
	members      []Member
	indexByID    map[string]int           // index in members by ID
	changeLog    []loggedChange           // oldest first
	minSince     uint64                   // oldest revision since which changeLog is complete
	updated      chan struct{}            // closed and replaced when a revision is published
	fullList     *listResponse            // cache of the current full list; nil: not encoded yet
	deltas       map[uint64]*listResponse // cache of the current responses by since
	releaseIndex int                      // index in members of the upstream being replaced
	releaseStep  int                      // changes already made to that upstream
	idsCreated   int                      // number of IDs handed out
}

// newList returns a list of upstreams spread over zones, with addresses assigned in rotation. The first
// revision is 1.
func newList(upstreams, zones int, addresses []string) *list {
	l := &list{revision: 1, minSince: 1, indexByID: map[string]int{}, updated: make(chan struct{}),
		deltas: map[uint64]*listResponse{}}
	for i := range upstreams {
		l.setMember(Member{ID: l.newID(), HostPort: addresses[i%len(addresses)], Locality: zoneName(i % zones),
			Flavor: "m2", Cell: i % 8, Phase: "up", Size: 1})
	}
	return l
}

// zoneName returns the name of the zone with index i.
func zoneName(i int) string { return fmt.Sprintf("z%d", i+1) }

// newID returns an ID that no upstream had before.
func (l *list) newID() string {
	l.idsCreated++
	// The IDs are distinct, since multiplication by an odd number modulo 2^32 is a bijection.
	return fmt.Sprintf("s-%08x", uint32(l.idsCreated)*2654435761)
}

// setMember adds or replaces an entry, or deletes it if its phase is removed.
func (l *list) setMember(m Member) {
	index, ok := l.indexByID[m.ID]
	switch {
	case m.Phase != "removed" && !ok:
		l.indexByID[m.ID] = len(l.members)
		l.members = append(l.members, m)
	case m.Phase != "removed":
		l.members[index] = m
	case ok:
		last := len(l.members) - 1
		l.members[index] = l.members[last]
		l.indexByID[l.members[index].ID] = index
		l.members = l.members[:last]
		delete(l.indexByID, m.ID)
	}
}

// publish applies the entries that update returns as one revision and wakes the watches. update is called
// with mu locked.
func (l *list) publish(update func() []Member) RevisionTime {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := update()
	l.revision++
	for _, m := range changed {
		l.setMember(m)
		l.changeLog = append(l.changeLog, loggedChange{l.revision, m})
	}
	if excess := len(l.changeLog) - maxLoggedChanges; excess > 0 {
		l.minSince = l.changeLog[excess-1].revision
		l.changeLog = append([]loggedChange(nil), l.changeLog[excess:]...)
	}
	l.fullList = nil
	clear(l.deltas)
	close(l.updated)
	l.updated = make(chan struct{})
	return RevisionTime{l.revision, time.Now().UnixNano()}
}

// advanceRelease makes the next change of a rolling release. Each upstream in turn is set to draining,
// removed, and replaced by one that has just started, each in a revision of its own.
func (l *list) advanceRelease() RevisionTime {
	return l.publish(func() []Member {
		if len(l.members) == 0 {
			return nil
		}
		m := l.members[l.releaseIndex%len(l.members)]
		switch l.releaseStep++; l.releaseStep {
		case 1:
			m.Phase = "draining"
			return []Member{m}
		case 2:
			removed := m
			removed.Phase = "removed"
			return []Member{removed}
		}
		l.releaseStep = 0
		m.ID, m.Phase, m.UpSinceMS = l.newID(), "up", time.Now().UnixMilli()
		l.releaseIndex++
		return []Member{m}
	})
}

// removeZone removes up to limit upstreams of a zone that are up in one revision and returns them as they were.
func (l *list) removeZone(zone string, limit int) (removed []Member, revision RevisionTime) {
	revision = l.publish(func() []Member {
		var changed []Member
		for _, m := range l.members {
			if m.Locality == zone && m.Phase == "up" && len(removed) < limit {
				removed = append(removed, m)
				m.Phase = "removed"
				changed = append(changed, m)
			}
		}
		return changed
	})
	return removed, revision
}

// restore adds removed upstreams again in one revision, as just started.
func (l *list) restore(removed []Member) RevisionTime {
	return l.publish(func() []Member {
		now := time.Now().UnixMilli()
		restored := append([]Member(nil), removed...)
		for i := range restored {
			restored[i].Phase, restored[i].UpSinceMS = "up", now
		}
		return restored
	})
}

// listResponse returns the response to a call with since, and a channel that is closed when the next revision
// is published. The response is the full list if since is 0, unknown or older than the change log, and has no
// entries if since is the current revision.
func (l *list) listResponse(since uint64) (*listResponse, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var response *listResponse
	switch {
	case since == l.revision:
		response = l.deltas[since]
	case since != 0 && since >= l.minSince && since < l.revision:
		response = l.deltas[since]
	default:
		response = l.fullList
	}
	if response != nil {
		return response, l.updated, nil
	}
	content := Listing{Revision: l.revision, Members: []Member{}}
	if since != 0 && since >= l.minSince && since <= l.revision {
		content.Members = l.since(since)
	}
	if content.Complete = since == 0 || since < l.minSince || since > l.revision ||
		float64(len(content.Members)) > fullListThreshold*float64(len(l.members)); content.Complete {
		content.Members = l.members
	}
	body, err := json.Marshal(content)
	if err != nil {
		return nil, nil, fmt.Errorf("encoding the list: %w", err)
	}
	response = &listResponse{body: body, revision: l.revision, entries: len(content.Members), fullList: content.Complete}
	if content.Complete {
		l.fullList = response
	}
	if since != 0 && since >= l.minSince && since <= l.revision {
		l.deltas[since] = response
	}
	return response, l.updated, nil
}

// since returns the current state of each upstream that changed after revision.
func (l *list) since(revision uint64) []Member {
	changed, seen := []Member{}, map[string]bool{}
	for i := len(l.changeLog) - 1; i >= 0 && l.changeLog[i].revision > revision; i-- {
		if m := l.changeLog[i].Member; !seen[m.ID] {
			seen[m.ID] = true
			changed = append(changed, m)
		}
	}
	return changed
}

// listing returns the current full list.
func (l *list) listing() Listing {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Listing{Revision: l.revision, Complete: true, Members: append([]Member(nil), l.members...)}
}
