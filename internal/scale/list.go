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
	history = 8192
	// wholeShare is the share of the list from which on changes are told as the whole list: an entry less costs no more.
	wholeShare = 0.5
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
type Made struct {
	Revision uint64 `json:"revision"`
	At       int64  `json:"at_ns"`
}

// answer is an encoded answer and what it holds.
type answer struct {
	body     []byte
	revision uint64
	entries  int
	whole    bool
}

// entry is a change: the newest state of one upstream at a revision.
type entry struct {
	revision uint64
	Member
}

// list is the shared list. Its methods may be called from any goroutine.
type list struct {
	mu       sync.Mutex
	revision uint64
	members  []Member
	place    map[string]int // of an id in members
	log      []entry        // the newest last
	least    uint64         // the oldest revision from which on log tells all changes
	news     chan struct{}  // closed when a newer revision is made
	whole    *answer        // of this revision, encoded once
	deltas   map[uint64]*answer
	next     int // the release's next upstream in members
	step     int // of the release at this upstream
	made     int // upstreams that were ever made
}

// newList makes n upstreams in zones zones whose addresses take turns. Revisions begin at 1.
func newList(n, zones int, addresses []string) *list {
	l := &list{revision: 1, least: 1, place: map[string]int{}, news: make(chan struct{}), deltas: map[uint64]*answer{}}
	for i := range n {
		l.put(Member{ID: l.newID(), HostPort: addresses[i%len(addresses)], Locality: zoneName(i % zones), Flavor: "m2", Cell: i % 8,
			Phase: "up", Size: 1})
	}
	return l
}

func zoneName(i int) string { return fmt.Sprintf("z%d", i+1) }

// newID is an id that no upstream ever had.
func (l *list) newID() string {
	l.made++
	return fmt.Sprintf("s-%08x", uint32(l.made)*2654435761) // an odd factor: 2^32 ids before one comes again
}

// put sets an entry, or takes it off the list where its phase is removed.
func (l *list) put(m Member) {
	at, ok := l.place[m.ID]
	switch {
	case m.Phase != "removed" && !ok:
		l.place[m.ID] = len(l.members)
		l.members = append(l.members, m)
	case m.Phase != "removed":
		l.members[at] = m
	case ok:
		last := len(l.members) - 1
		l.members[at] = l.members[last]
		l.place[l.members[at].ID] = at
		l.members = l.members[:last]
		delete(l.place, m.ID)
	}
}

// change makes one revision of what by returns, and wakes the watches.
func (l *list) change(by func() []Member) Made {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := by()
	l.revision++
	for _, m := range changed {
		l.put(m)
		l.log = append(l.log, entry{l.revision, m})
	}
	if over := len(l.log) - history; over > 0 {
		l.least = l.log[over-1].revision
		l.log = append([]entry(nil), l.log[over:]...)
	}
	l.whole = nil
	clear(l.deltas)
	close(l.news)
	l.news = make(chan struct{})
	return Made{l.revision, time.Now().UnixNano()}
}

// release makes the next change of a release that replaces one upstream after the other: it drains, it is removed, and a
// new one comes up in its place, cold.
func (l *list) release() Made {
	return l.change(func() []Member {
		if len(l.members) == 0 {
			return nil
		}
		m := l.members[l.next%len(l.members)]
		switch l.step++; l.step {
		case 1:
			m.Phase = "draining"
			return []Member{m}
		case 2:
			removed := m
			removed.Phase = "removed"
			return []Member{removed}
		}
		l.step = 0
		m.ID, m.Phase, m.UpSinceMS = l.newID(), "up", time.Now().UnixMilli()
		l.next++
		return []Member{m}
	})
}

// remove takes up to most upstreams of a zone off the list in one revision, and returns them.
func (l *list) remove(zone string, most int) (gone []Member, made Made) {
	made = l.change(func() []Member {
		var changed []Member
		for _, m := range l.members {
			if m.Locality == zone && m.Phase == "up" && len(gone) < most {
				gone = append(gone, m)
				m.Phase = "removed"
				changed = append(changed, m)
			}
		}
		return changed
	})
	return gone, made
}

// restore puts upstreams back that have just started again, in one revision.
func (l *list) restore(gone []Member) Made {
	return l.change(func() []Member {
		now := time.Now().UnixMilli()
		back := append([]Member(nil), gone...)
		for i := range back {
			back[i].Phase, back[i].UpSinceMS = "up", now
		}
		return back
	})
}

// answer returns what a call with since gets, and a channel that is closed at the next change. Without a since, 0, it is
// the whole list. Nothing newer: an answer without entries.
func (l *list) answer(since uint64) (*answer, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var a *answer
	switch {
	case since == l.revision:
		a = l.deltas[since]
	case since != 0 && since >= l.least && since < l.revision:
		a = l.deltas[since]
	default:
		a = l.whole
	}
	if a != nil {
		return a, l.news, nil
	}
	x := Listing{Revision: l.revision, Members: []Member{}}
	if since != 0 && since >= l.least && since <= l.revision {
		x.Members = l.since(since)
	}
	if x.Complete = since == 0 || since < l.least || since > l.revision || float64(len(x.Members)) > wholeShare*float64(len(l.members)); x.Complete {
		x.Members = l.members
	}
	body, err := json.Marshal(x)
	if err != nil {
		return nil, nil, fmt.Errorf("encoding the list: %w", err)
	}
	a = &answer{body: body, revision: l.revision, entries: len(x.Members), whole: x.Complete}
	if x.Complete {
		l.whole = a
	}
	if since != 0 && since >= l.least && since <= l.revision {
		l.deltas[since] = a
	}
	return a, l.news, nil
}

// since returns the newest state of each upstream that changed after a revision.
func (l *list) since(revision uint64) []Member {
	changed, seen := []Member{}, map[string]bool{}
	for i := len(l.log) - 1; i >= 0 && l.log[i].revision > revision; i-- {
		if m := l.log[i].Member; !seen[m.ID] {
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
