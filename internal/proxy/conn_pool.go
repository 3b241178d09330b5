package proxy

import (
	"slices"
	"time"

	"garnettide"
)

// This file holds the loop's connections to upstreams.

const (
	// idleCloseMargin is how long before the upstream's idle timeout an idle connection is closed. A request
	// written to a connection that the upstream has just closed fails with a reset.
	idleCloseMargin = 5 * time.Second
	// connReuseDelay is how long a connection stays idle between two requests. Responses do not identify their
	// request, so a late duplicate response would be taken for the response to the next request. It is detected
	// if it arrives during the delay.
	connReuseDelay = 10 * time.Millisecond
)

// upstream is the address and the connections of an upstream.
type upstream struct {
	id            garnettide.UpstreamID
	discoveryID   string
	address       string
	state         garnettide.State
	idleConns     []*conn               // most recently used last
	inFlight      map[*attempt]struct{} // attempts that hold a connection or are opening one
	lateResponses int                   // attempts among them that await a late response
}

// acquireConn returns the most recently used idle connection to u that is past connReuseDelay. If there is
// none it returns nil, and counts a connection that the caller opens. At the limit it closes the connection
// that has been idle longest, and reports false if none is idle.
func (l *loop) acquireConn(u *upstream, now time.Duration) (c *conn, available bool) {
	for i := len(u.idleConns) - 1; i >= 0; i-- {
		if now-u.idleConns[i].idleAt >= connReuseDelay {
			c = u.idleConns[i]
			u.idleConns = slices.Delete(u.idleConns, i, i+1)
			return c, true
		}
	}
	if l.connCount >= l.maxConns && !l.closeLongestIdle() {
		return nil, false
	}
	l.connCount++
	return nil, true
}

// releaseConn takes back a connection after use; nil stands for one that has been closed.
func (l *loop) releaseConn(u *upstream, c *conn) {
	switch {
	case c == nil:
		l.connCount--
	case !l.usable(u) || c.RemoteAddr().String() != u.address:
		l.closeConns(c)
	case c.SetDeadline(time.Time{}) != nil: // a deadline may have been set as the response arrived
		l.closeConns(c)
	default:
		c.idleAt = l.now()
		u.idleConns = append(u.idleConns, c)
	}
}

// closeConns closes unused connections on another goroutine, so that the loop does not wait.
func (l *loop) closeConns(cs ...*conn) {
	if l.connCount -= len(cs); len(cs) > 0 {
		go func() {
			for _, c := range cs {
				c.Close()
			}
		}()
	}
}

// setCapacity sets what the loop may use.
func (l *loop) setCapacity(c garnettide.Capacity) {
	l.capacity = c
	l.setConnLimit(c.UpstreamConns)
}

// setConnLimit sets the limit of connections to upstreams, and closes idle ones above it.
func (l *loop) setConnLimit(limit int) {
	l.maxConns = limit
	l.balancer.SetConnLimit(l.now(), limit)
	for l.connCount > limit && l.closeLongestIdle() {
	}
}

// closeLongestIdle closes the connection that has been idle longest, and reports whether there was one.
func (l *loop) closeLongestIdle() bool {
	var longest *upstream
	for _, u := range l.upstreams {
		if len(u.idleConns) > 0 && (longest == nil || u.idleConns[0].idleAt < longest.idleConns[0].idleAt) {
			longest = u
		}
	}
	if longest == nil {
		return false
	}
	l.closeConns(longest.idleConns[0])
	longest.idleConns = slices.Delete(longest.idleConns, 0, 1)
	return true
}

// closeExpiredIdle closes the connections that have reached the idle timeout, which come first among the idle
// ones.
func (l *loop) closeExpiredIdle(now time.Duration) {
	for _, u := range l.upstreams {
		n := 0
		for n < len(u.idleConns) && now-u.idleConns[n].idleAt >= l.upstreamIdleTimeout {
			n++
		}
		if n > 0 {
			l.closeConns(u.idleConns[:n]...)
			u.idleConns = append([]*conn(nil), u.idleConns[n:]...)
		}
	}
}

// Disconnect closes the idle connections to an upstream.
func (l *loop) Disconnect(up garnettide.UpstreamID) {
	if u := l.upstreams[up]; u != nil {
		l.closeConns(u.idleConns...)
		u.idleConns = nil
	}
}
