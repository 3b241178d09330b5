package proxy

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"garnettide"
)

// This file applies the lists of discovery, and operators' maintenance, to the loop's upstreams.

// initialListTimeout is how long a new process waits for discovery before it becomes ready with the cached
// list. A new process must be ready within 6 s, and discovery fails calls after 2 s.
const initialListTimeout = 4 * time.Second

// deleteUpstreamIfRemoved deletes an upstream that has been removed and has no attempts in flight.
func (l *loop) deleteUpstreamIfRemoved(u *upstream) {
	if u.state == garnettide.Removed && len(u.inFlight) == 0 && l.upstreams[u.id] == u {
		delete(l.upstreams, u.id)
		l.releaseID(u.discoveryID)
	}
}

// releaseID frees the number of a discovery ID, unless the upstream is in maintenance, which the Balancer
// knows by that number.
func (l *loop) releaseID(id string) {
	if _, inMaintenance := l.inMaintenance[id]; !inMaintenance {
		l.upstreamIDs.release(id)
		l.departedIDs.add(id)
	}
}

// knowsUpstream reports whether an upstream is listed or in maintenance, or has left the list not long ago.
func (l *loop) knowsUpstream(id string) bool {
	_, present := l.upstreamIDs.ids[id]
	return present || l.departedIDs.known[id]
}

// usable reports whether requests may be sent to u.
func (l *loop) usable(u *upstream) bool {
	_, inMaintenance := l.inMaintenance[u.discoveryID]
	return u.state == garnettide.Active && !inMaintenance
}

// applyMaintenance puts exactly the offline upstreams in maintenance. It reports true once no request is
// being written to them.
func (l *loop) applyMaintenance(offline []string) bool {
	written := true
	for id := range l.inMaintenance {
		if !slices.Contains(offline, id) {
			l.setMaintenance(id, false)
		}
	}
	for _, id := range offline {
		written = l.setMaintenance(id, true) && written
	}
	return written
}

// setMaintenance puts an upstream in maintenance or ends its maintenance. It reports false while a request
// is being written to the upstream.
func (l *loop) setMaintenance(id string, on bool) bool {
	number, inMaintenance := l.inMaintenance[id]
	if !on {
		if inMaintenance {
			delete(l.inMaintenance, id)
			l.balancer.SetMaintenance(l.now(), number, false)
			if l.upstreams[number] == nil {
				l.releaseID(id)
			}
			l.Log("upstream " + id + " is back from maintenance")
		}
		return true
	}
	if !inMaintenance {
		number = l.upstreamIDs.id(id)
		l.inMaintenance[id] = number
		l.Log("upstream " + id + " is left out for maintenance")
	}
	written := true
	if u := l.upstreams[number]; u != nil {
		l.Disconnect(number)
		for a := range u.inFlight {
			if a.drop() { // it was waiting for a connection
				l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{a, garnettide.NotSent})
			}
			written = written && a.stage.Load() != attemptClaimed
		}
	}
	l.balancer.SetMaintenance(l.now(), number, true)
	return written
}

// applyListUpdate handles the result of a discovery call.
func (l *loop) applyListUpdate(update listUpdate) {
	switch {
	case update.from != l.discoveryClient: // from a discovery address that has been replaced
		return
	case errors.Is(update.err, errWatchSilent):
		l.Log(update.err.Error())
		l.balancer.Members(l.now(), garnettide.ListStale, nil)
	case update.err != nil:
		l.Log(update.err.Error())
		l.balancer.Members(l.now(), garnettide.ListFailed, nil)
	case update.Revision < l.revision: // a newer list has been applied, which this one must not undo
		l.Log(fmt.Sprintf("discovery: ignoring revision %d, already at %d", update.Revision, l.revision))
	case update.Complete:
		l.listReceived = true
		l.applyList(garnettide.ListFull, update.discoveryList)
	default:
		l.listReceived = true
		l.applyList(garnettide.ListDelta, update.discoveryList)
	}
	l.reportPending()
}

// missing returns the reason why this process is not ready, or an empty string. The cached list suffices if
// discovery has not sent a list within initialListTimeout.
func (l *loop) missing() string {
	if !l.listReceived && (len(l.upstreams) == 0 || l.now()-l.clockBase < initialListTimeout) {
		return "discovery has not told its list yet"
	}
	return ""
}

// applyList applies a list, first to the loop's upstreams and then to the Balancer. The Balancer may send
// at once, and nothing must be sent to an upstream that is draining.
func (l *loop) applyList(mode garnettide.ListMode, list discoveryList) {
	l.revision = list.Revision
	entries := make([]garnettide.Upstream, 0, len(list.Members))
	present := make(map[garnettide.UpstreamID]bool, len(list.Members))
	for i := range list.Members {
		m := &list.Members[i]
		entry := m.upstream(l.upstreamIDs.id(m.ID))
		present[entry.ID] = true
		entries = append(entries, entry)
		l.applyMember(entry, m)
	}
	for id, u := range l.upstreams {
		if mode != garnettide.ListDelta && !present[id] {
			u.state = garnettide.Removed
			l.Disconnect(id)
		}
		if u.state != garnettide.Active {
			for a := range u.inFlight {
				if a.drop() { // it was waiting for a connection
					l.pendingOutcomes = append(l.pendingOutcomes, pendingOutcome{a, garnettide.NotSent})
				}
			}
		}
	}
	l.balancer.Members(l.now(), mode, entries)
	l.reportPending()
	for _, u := range l.upstreams {
		l.deleteUpstreamIfRemoved(u)
	}
	if l.onListApplied != nil {
		l.onListApplied(list.Revision)
	}
}

// applyMember applies one entry of a list.
func (l *loop) applyMember(entry garnettide.Upstream, m *member) {
	u, address := l.upstreams[entry.ID], m.HostPort
	if u == nil {
		if entry.State == garnettide.Removed {
			l.releaseID(m.ID)
			return
		}
		u = &upstream{id: entry.ID, discoveryID: m.ID, inFlight: map[*attempt]struct{}{}}
		l.upstreams[entry.ID] = u
	}
	if u.state = entry.State; entry.State != garnettide.Active || (address != u.address && u.address != "") {
		l.Disconnect(entry.ID)
	}
	if entry.State != garnettide.Removed {
		u.address = address
	}
}
