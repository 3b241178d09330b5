package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request, or the beginning of one, at an upstream.
type arrival struct {
	id, upstream, key string
	at                time.Time // when its head had arrived
	ran               bool      // its last byte has arrived, and it was run
	received          int64     // bytes of its body
}

// arrivals are the arrivals at all upstreams.
type arrivals struct {
	mu  sync.Mutex
	all []*arrival
}

// add records an arrival.
func (l *arrivals) add(a *arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, a)
}

// of returns copies of the arrivals of a request.
func (l *arrivals) of(id string) (found []arrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.all {
		if a.id == id {
			found = append(found, *a)
		}
	}
	return found
}

// update changes an arrival.
func (l *arrivals) update(a *arrival, f func(*arrival)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f(a)
}

// upstream is a stand-in of a server. It reads a request whole, works for a while and answers.
type upstream struct {
	id, address string
	arrivals    *arrivals
	work        time.Duration
	closing     bool // each answer closes its connection
	mu          sync.Mutex
	left        []*net.TCPConn // connections that are left alone
	// onRequest, if set, is called when a head has arrived. It returns whether the request was dealt with, in which
	// case the connection is left alone and not read any further.
	onRequest func(c *net.TCPConn, br *bufio.Reader, q *http.Request, a *arrival) bool
}

// newUpstream starts an upstream on a loopback address.
func newUpstream(id string, log *arrivals, work time.Duration) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{id: id, address: l.Addr().String(), arrivals: log, work: work}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c.(*net.TCPConn), nil)
		}
	}()
	return u, nil
}

// member returns the entry of the upstream in a list.
func (u *upstream) member() member {
	return member{ID: u.id, HostPort: u.address, Locality: "ub-west", Flavor: "standard", Cell: 1, Phase: "up", Size: 1}
}

// answerTo is the body of the answer to a request.
func answerTo(id string, body []byte) string { return fmt.Sprintf("%s %x\n", id, body) }

// serve serves the requests of a connection, of which the first bytes may have been read.
func (u *upstream) serve(c *net.TCPConn, first []byte) {
	br := bufio.NewReaderSize(io.MultiReader(bytes.NewReader(first), c), 64<<10)
	for {
		q, err := http.ReadRequest(br)
		if err != nil {
			c.Close()
			return
		}
		a := &arrival{id: q.Header.Get("X-Request-Id"), key: q.Header.Get("Idempotency-Key"), upstream: u.id, at: time.Now()}
		u.arrivals.add(a)
		if u.onRequest != nil && u.onRequest(c, br, q, a) {
			u.mu.Lock()
			u.left = append(u.left, c) // an unreferenced connection would be closed by the garbage collector
			u.mu.Unlock()
			return
		}
		sum := sha256.New()
		n, err := io.Copy(sum, q.Body)
		u.arrivals.update(a, func(a *arrival) { a.received, a.ran = n, err == nil })
		if err != nil {
			c.Close()
			return
		}
		time.Sleep(u.work)
		body := answerTo(a.id, sum.Sum(nil))
		connection := ""
		if u.closing {
			connection = "Connection: close\r\n"
		}
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nX-Load: util=0.30,qps=20\r\n%sContent-Length: %d\r\n\r\n%s",
			connection, len(body), body)
		if u.closing {
			c.Close()
			return
		}
	}
}
