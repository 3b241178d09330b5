package scale

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"
)

// This file keeps the list of upstreams that all machines of the stand-in discovery share, and makes its changes. It counts
// nothing; it measures only the moment at which a revision was made.

const (
	// history is how many changed entries are kept for watches: a zone of 2,000 gone and back, with a release beside it. A
	// watch from before that gets the whole list.
	maxLoggedChanges = 8192
	// wholeShare is the share of the list from which on changes are told as the whole list: an entry less costs no more.
	fullListThreshold = 0.5
)

// Member is an entry of discovery's list, in the protocol's form.
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

// Listing is an answer of discovery, in the protocol's form.
type Listing struct {
	Revision uint64   `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []Member `json:"members"`
}

// Made is a revision and the Unix time in ns at which discovery had it.
type RevisionTime struct {
	Revision uint64 `json:"revision"`
	At       int64  `json:"at_ns"`
}

// answer is an encoded answer and what it holds.
type listResponse struct {
	body     []byte
	revision uint64
	entries  int
	fullList bool
}

// entry is a change: the newest state of one upstream at a revision.
type loggedChange struct {
	revision uint64
	Member
}

// list is the shared list. Its methods may be called from any goroutine.
type list struct {
	mu           sync.Mutex
	revision     uint64
	members      []Member
	indexByID    map[string]int // of an id in members
	changeLog    []loggedChange // the newest last
	minSince     uint64         // the oldest revision from which on log tells all changes
	updated      chan struct{}  // closed when a newer revision is made
	fullList     *listResponse  // of this revision, encoded once
	deltas       map[uint64]*listResponse
	releaseIndex int // the release's next upstream in members
	releaseStep  int // of the release at this upstream
	idsCreated   int // upstreams that were ever made
}

// newList makes n upstreams in zones zones whose addresses take turns. Revisions begin at 1.
func newList(upstreams, zones int, addresses []string) *list {
	l := &list{revision: 1, minSince: 1, indexByID: map[string]int{}, updated: make(chan struct{}), deltas: map[uint64]*listResponse{}}
	for i := range upstreams {
		l.setMember(Member{ID: l.newID(), HostPort: addresses[i%len(addresses)], Locality: zoneName(i % zones), Flavor: "m2", Cell: i % 8,
			Phase: "up", Size: 1})
	}
	return l
}

func zoneName(i int) string { return fmt.Sprintf("z%d", i+1) }

// newID is an id that no upstream ever had.
func (l *list) newID() string {
	l.idsCreated++
	return fmt.Sprintf("s-%08x", uint32(l.idsCreated)*2654435761) // an odd factor: 2^32 ids before one comes again
}

// put sets an entry, or takes it off the list where its phase is removed.
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

// change makes one revision of what by returns, and wakes the watches.
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

// release makes the next change of a release that replaces one upstream after the other: it drains, it is removed, and a
// new one comes up in its place, cold.
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

// remove takes up to most upstreams of a zone off the list in one revision, and returns them.
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

// restore puts upstreams back that have just started again, in one revision.
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

// answer returns what a call with since gets, and a channel that is closed at the next change. Without a since, 0, it is
// the whole list. Nothing newer: an answer without entries.
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
	if content.Complete = since == 0 || since < l.minSince || since > l.revision || float64(len(content.Members)) > fullListThreshold*float64(len(l.members)); content.Complete {
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

// since returns the newest state of each upstream that changed after a revision.
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

// listing is the whole list as it stands.
func (l *list) listing() Listing {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Listing{Revision: l.revision, Complete: true, Members: append([]Member(nil), l.members...)}
}
