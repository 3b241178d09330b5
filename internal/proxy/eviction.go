package proxy

import "time"

// This file closes connections of clients to make room for others.

// makeRoom reports whether there is room for one more connection. If there is none, it evicts connections until there
// is, or until none can be evicted. Running out of descriptors would also fail connections to upstreams and discovery.
func (f *frontend) makeRoom() bool {
	for {
		f.mu.Lock()
		if len(f.clients) < f.maxClients {
			f.mu.Unlock()
			return true
		}
		victim := f.evictLongestStalled(time.Now())
		if victim == nil {
			f.mu.Unlock()
			return false
		}
		ended := victim.evicted
		f.mu.Unlock()
		select {
		case <-ended:
		case <-time.After(evictionTimeout): // it is being written to
			return false
		}
	}
}

// evictLongestStalled evicts the connection that has made no progress for longest, and returns it, or nil if none can
// be evicted. Connections with a request in flight are not evicted, nor are those that are new, or whose request is
// being read, and have made progress within newClientGracePeriod. The caller holds f.mu.
func (f *frontend) evictLongestStalled(now time.Time) *client {
	var victim *client
	var longest time.Duration
	for c := range f.clients {
		if c.stage == clientServing || c.evicted != nil {
			continue
		}
		if stalled := c.stalled(now); (c.stage == clientIdle || stalled >= newClientGracePeriod) &&
			(victim == nil || stalled > longest) {
			victim, longest = c, stalled
		}
	}
	if victim != nil {
		victim.evict()
	}
	return victim
}

// setConnLimit sets the limit of client connections and evicts connections above it that have no request in
// flight.
func (f *frontend) setConnLimit(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.maxClients = n
	now := time.Now()
	for over := len(f.clients) - n; over > 0 && f.evictLongestStalled(now) != nil; over-- {
	}
}

// closeClients evicts the connections that match. The caller holds f.mu.
func (f *frontend) closeClients(match func(*client) bool) {
	for c := range f.clients {
		if match(c) {
			c.evict()
		}
	}
}
