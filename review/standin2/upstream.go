package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that has arrived whole at an upstream.
type arrival struct {
	upstream string // discovery's id
	id       string // X-Request-Id
	first    time.Time
	last     time.Time
	bytes    int64 // of its body
}

// upstream is a stand-in for a server. It answers each request after work, on connections that stay open.
type upstream struct {
	stage    *stage
	id       string
	address  string
	listener net.Listener
	// answer writes the answer to a request, or returns an error to close the connection. It is called once the
	// request has arrived whole.
	answer answerFunc

	mu       sync.Mutex
	arrivals []arrival
	conns    map[net.Conn]bool
}

// newUpstream starts an upstream.
func newUpstream(s *stage, id string, answer answerFunc) (*upstream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{stage: s, id: id, address: l.Addr().String(), listener: l, answer: answer, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(c)
		}
	}()
	return u, nil
}

// member returns the upstream's entry in a list.
func (u *upstream) member() member {
	return member{u.id, u.address, "ub-west", "standard", 1, "up", 1, 0}
}

// serve serves the requests of a connection.
func (u *upstream) serve(c net.Conn) {
	u.mu.Lock()
	u.conns[c] = true
	u.mu.Unlock()
	defer func() {
		c.Close()
		u.mu.Lock()
		delete(u.conns, c)
		u.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		a := arrival{upstream: u.id, first: time.Now()}
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if a.bytes, err = io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		a.id, a.last = r.Header.Get("X-Request-Id"), time.Now()
		u.mu.Lock()
		u.arrivals = append(u.arrivals, a)
		u.mu.Unlock()
		u.stage.note("%s: %s has arrived whole, %d bytes of body", u.id, a.id, a.bytes)
		if err := u.answer(c, r); err != nil {
			return
		}
	}
}

// all returns the arrivals so far.
func (u *upstream) all() []arrival {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]arrival(nil), u.arrivals...)
}

// answerFunc answers a request, or returns an error to close the connection.
type answerFunc func(c net.Conn, r *http.Request) error

// answerAfter returns an answerFunc that works for a time and answers 200 with the request's id.
func answerAfter(work time.Duration) answerFunc {
	return func(c net.Conn, r *http.Request) error {
		time.Sleep(work)
		return writeAnswer(c, "answer to "+r.Header.Get("X-Request-Id"))
	}
}

// writeAnswer writes an answer 200 with a load report.
func writeAnswer(c net.Conn, body string) error {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Load: util=0.30,qps=20\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err
}
