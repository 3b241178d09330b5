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

// This file implements the clients of the soak test. Each sends one request after another on its connection
// for as long as the connection is open.

const (
	soakRequestDeadline    = 750 * time.Millisecond // deadline of all requests
	soakClientTimeout      = 5 * time.Second        // time after which a client stops waiting for a response
	soakPause              = 10 * time.Millisecond  // usual mean time between requests, also used between polls and reconnects
	soakChunkSize          = 16 << 10               // bytes per write of an upload
	soakMaxAbortDelay      = 150 * time.Millisecond // longest time until a client aborts its request
	soakAbortedUploadBytes = 80 << 10               // size of an aborted upload; fits the balancer's receive buffer
)

// soakRequestClass is a class of requests.
type soakRequestClass struct {
	name          string
	method        string
	nonIdempotent bool
	sendsKey      bool // with an Idempotency-Key header
}

// soakRequestClasses are the first classes of the settings that newSettingsTemplate writes.
var soakRequestClasses = []soakRequestClass{
	{name: "c0", method: http.MethodGet},
	{name: "c1", method: http.MethodPost, sendsKey: true},
	{name: "c2", method: http.MethodPost, nonIdempotent: true},
}

// soakRequest is a client's record of a request.
type soakRequest struct {
	id          string
	class       soakRequestClass
	connectedAt time.Time
	firstOnConn bool      // first request on its connection
	sentAt      time.Time // when the last byte was written; zero if it was not
	abortedAt   time.Time // when the client closed the connection early; zero if it did not
	pipelined   bool      // another request was written before the response
	status      int       // 0 if there was no response
	body        string    // of the response
	endedAt     time.Time // when the response was complete or the connection ended
}

// soakClients records the requests of all clients. mu guards lastSerial and requests.
type soakClients struct {
	address    string
	seed       uint64
	pause      time.Duration // mean time between two requests of a client
	mu         sync.Mutex
	lastSerial int // serial number of the last request
	crowdIDs   int // IDs given to requests of a crowd
	requests   []*soakRequest
}

// newRequest records a new request with a random class.
func (s *soakClients) newRequest(rng *rand.Rand) *soakRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSerial++
	r := &soakRequest{id: fmt.Sprintf("%08x%08x", s.seed, s.lastSerial),
		class: soakRequestClasses[rng.IntN(len(soakRequestClasses))]}
	s.requests = append(s.requests, r)
	return r
}

// newCrowdID returns an ID for a request of a crowd, which is not recorded.
func (s *soakClients) newCrowdID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crowdIDs++
	return fmt.Sprintf("%08xc%07x", s.seed, s.crowdIDs)
}

// sendRequests sends requests on one connection after another until ctx ends, on each for as long as it is open.
func (s *soakClients) sendRequests(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		c, err := net.DialTimeout("tcp", s.address, soakRequestDeadline)
		if err != nil {
			time.Sleep(soakPause)
			continue
		}
		connectedAt, reader := time.Now(), bufio.NewReader(c)
		for firstOnConn := true; ctx.Err() == nil; firstOnConn = false {
			time.Sleep(time.Duration(rng.ExpFloat64() * float64(s.pause)))
			r := s.newRequest(rng)
			r.connectedAt, r.firstOnConn = connectedAt, firstOnConn
			if !r.exchange(c, reader, rng) {
				break
			}
		}
		c.Close()
	}
}

// exchange sends a request and reads the response. At random it uploads a large body in chunks, aborts the
// request, or pipelines a second one. It reports whether the connection can be used again.
func (r *soakRequest) exchange(c net.Conn, reader *bufio.Reader, rng *rand.Rand) bool {
	size := 0
	if r.class.method == http.MethodPost {
		size = rng.IntN(512)
	}
	variant := rng.IntN(100)
	upload := r.class.method == http.MethodPost && variant < 20
	aborts := variant%10 == 0
	switch {
	case upload && aborts:
		size = soakAbortedUploadBytes
	case upload:
		size = 65<<10 + rng.IntN(128<<10)
	}
	if r.write(c, size, upload) != nil {
		r.endedAt = time.Now()
		return false
	}
	r.sentAt = time.Now()
	if aborts {
		time.Sleep(time.Duration(rng.Int64N(int64(soakMaxAbortDelay))))
		if tcp, ok := c.(*net.TCPConn); ok && rng.IntN(2) == 0 {
			tcp.SetLinger(0)
		}
		r.abortedAt = time.Now()
		c.Close()
		return false
	}
	if variant == 99 {
		r.pipelined = true
		fmt.Fprintf(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	return r.read(c, reader) && !r.pipelined
}

// write writes the request, with pauses between the chunks of its body if inChunks is set.
func (r *soakRequest) write(c net.Conn, size int, inChunks bool) error {
	c.SetDeadline(time.Now().Add(soakClientTimeout))
	header := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: x\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline-Ms: %d\r\n",
		r.class.method, r.class.name, r.id, r.class.name, soakRequestDeadline.Milliseconds())
	if r.class.sendsKey {
		header += "Idempotency-Key: " + r.id + "\r\n"
	}
	if r.class.method == http.MethodPost {
		header += fmt.Sprintf("Content-Length: %d\r\n", size)
	}
	if _, err := io.WriteString(c, header+"\r\n"); err != nil {
		return err
	}
	for body := make([]byte, size); len(body) > 0; {
		n := min(len(body), soakChunkSize)
		if _, err := c.Write(body[:n]); err != nil {
			return err
		}
		body = body[n:]
		if inChunks {
			time.Sleep(time.Millisecond)
		}
	}
	return nil
}

// read reads the response and reports whether the connection can be used again.
func (r *soakRequest) read(c net.Conn, reader *bufio.Reader) bool {
	c.SetDeadline(time.Now().Add(soakClientTimeout))
	resp, err := http.ReadResponse(reader, nil)
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
