package scale

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// This file has the clients of a soak. Each uses its connection for one request after another, as long as that is open.

const (
	soakDeadline   = 750 * time.Millisecond // of all classes
	soakPatience   = 5 * time.Second        // until a client takes an answer for one that never comes
	soakPause      = 10 * time.Millisecond  // between two requests, on average
	soakPieceSize  = 16 << 10               // bytes of an upload that are written at once
	soakLeaveMost  = 150 * time.Millisecond // until a client leaves
	soakLeaveBytes = 80 << 10               // of an upload whose client leaves: they fit the balancer's receive buffer
)

// soakKind is a class of requests.
type soakKind struct {
	class  string
	method string
	unsafe bool
	keyed  bool
}

var soakKinds = []soakKind{
	{class: "c0", method: http.MethodGet},
	{class: "c1", method: http.MethodPost, keyed: true},
	{class: "c2", method: http.MethodPost, unsafe: true},
}

// soakRequest is a request as its client saw it.
type soakRequest struct {
	id          string
	kind        soakKind
	connectedAt time.Time
	first       bool      // on its connection
	sentAt      time.Time // of its last byte; zero: it was not written whole
	leftAt      time.Time // its client closed the connection; zero: it stayed
	improper    bool      // another one came right behind it
	status      int       // 0: no answer
	body        string
	endedAt     time.Time // by its answer, or the connection's end
}

// soakClients write down all requests.
type soakClients struct {
	address string
	seed    uint64
	mu      sync.Mutex
	serial  int
	all     []*soakRequest
}

func (s *soakClients) newRequest(rng *rand.Rand) *soakRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serial++
	r := &soakRequest{id: fmt.Sprintf("%08x%08x", s.seed, s.serial), kind: soakKinds[rng.IntN(len(soakKinds))]}
	s.all = append(s.all, r)
	return r
}

// use connects again and again until ctx ends, and sends requests on each connection while it is open.
func (s *soakClients) use(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		c, err := net.DialTimeout("tcp", s.address, soakDeadline)
		if err != nil {
			time.Sleep(soakPause)
			continue
		}
		connectedAt, in := time.Now(), bufio.NewReader(c)
		for first := true; ctx.Err() == nil; first = false {
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(soakPause)))
			r := s.newRequest(rng)
			r.connectedAt, r.first = connectedAt, first
			if !r.play(c, in, rng) {
				break
			}
		}
		c.Close()
	}
}

// idle holds a connection without a request, and opens it again when it is closed.
func (s *soakClients) idle(ctx context.Context) {
	for ctx.Err() == nil {
		c, err := net.DialTimeout("tcp", s.address, soakDeadline)
		if err != nil {
			time.Sleep(soakPause)
			continue
		}
		over := context.AfterFunc(ctx, func() { c.Close() })
		io.Copy(io.Discard, c)
		over()
		c.Close()
	}
}

// play sends a request in one of the ways that clients have. It tells whether the connection serves on.
func (r *soakRequest) play(c net.Conn, in *bufio.Reader, rng *rand.Rand) bool {
	size := 0
	if r.kind.method == http.MethodPost {
		size = rng.IntN(512)
	}
	way := rng.IntN(100)
	upload := r.kind.method == http.MethodPost && way < 20
	leaves := way%10 == 0
	switch {
	case upload && leaves:
		size = soakLeaveBytes
	case upload:
		size = 65<<10 + rng.IntN(128<<10)
	}
	if r.write(c, size, upload) != nil {
		r.endedAt = time.Now()
		return false
	}
	r.sentAt = time.Now()
	if leaves {
		time.Sleep(time.Duration(rng.Int64N(int64(soakLeaveMost))))
		if tcp, ok := c.(*net.TCPConn); ok && rng.IntN(2) == 0 {
			tcp.SetLinger(0)
		}
		r.leftAt = time.Now()
		c.Close()
		return false
	}
	if way == 99 {
		r.improper = true
		fmt.Fprintf(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	return r.read(c, in) && !r.improper
}

// write writes the request, an upload in pieces.
func (r *soakRequest) write(c net.Conn, size int, pieces bool) error {
	c.SetDeadline(time.Now().Add(soakPatience))
	head := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline-Ms: %d\r\n", r.kind.method,
		r.kind.class, r.id, r.kind.class, soakDeadline.Milliseconds())
	if r.kind.keyed {
		head += "Idempotency-Key: " + r.id + "\r\n"
	}
	if r.kind.method == http.MethodPost {
		head += fmt.Sprintf("Content-Length: %d\r\n", size)
	}
	if _, err := io.WriteString(c, head+"\r\n"); err != nil {
		return err
	}
	for body := make([]byte, size); len(body) > 0; {
		n := min(len(body), soakPieceSize)
		if _, err := c.Write(body[:n]); err != nil {
			return err
		}
		body = body[n:]
		if pieces {
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

// read reads the answer. It tells whether the connection serves on.
func (r *soakRequest) read(c net.Conn, in *bufio.Reader) bool {
	c.SetDeadline(time.Now().Add(soakPatience))
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		r.endedAt = time.Now()
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r.endedAt = time.Now()
	if err != nil {
		return false
	}
	r.status, r.body = resp.StatusCode, string(body)
	return !resp.Close
}
