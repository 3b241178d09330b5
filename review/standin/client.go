package main

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is a client's request and what the client saw of its answer.
type request struct {
	id       string
	class    class
	deadline time.Duration
	body     []byte

	began      time.Time
	lastByteAt time.Time     // when the last byte was written to the accepted connection; zero: it was not
	answeredAt time.Time     // when the last byte of the answer came; zero: no whole answer
	status     int           // of the answer
	foreign    bool          // a 200 with another body than the upstream made for this request
	err        error         // why there is no whole answer
	waited     time.Duration // from the last byte written until the client stopped to wait
}

// newRequest returns a request with a fresh id.
func newRequest(c class, deadline time.Duration, size int) *request {
	id := make([]byte, 8)
	rand.Read(id)
	return &request{id: fmt.Sprintf("%x", id), class: c, deadline: deadline, body: bytes.Repeat([]byte("lesson \n"), (size+7)/8)[:size]}
}

// head renders the head of the request.
func (q *request) head() []byte {
	method, extra := "GET", ""
	if q.class.Repeat != "read_like" {
		method, extra = "POST", fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	if q.class.Repeat == "idempotency_key" {
		extra += "Idempotency-Key: " + q.id + q.id + "\r\n"
	}
	return fmt.Appendf(nil, "%s /%s HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: tsagaan\r\n"+
		"X-Deadline-Ms: %d\r\n%s\r\n", method, q.class.Name, q.id, q.class.Name, q.deadline.Milliseconds(), extra)
}

// send sends the request on a new connection and waits for the answer, until wait after its last byte was written, or
// after its beginning if it could not be written.
func (q *request) send(address string, wait time.Duration) {
	q.began = time.Now()
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		q.err = err
		return
	}
	defer c.Close()
	written := make(chan error, 1)
	go func() {
		c.SetWriteDeadline(time.Now().Add(wait))
		_, err := c.Write(append(q.head(), q.body...))
		if err == nil {
			now := time.Now()
			q.lastByteAt = now
			c.SetReadDeadline(now.Add(wait))
		}
		written <- err
	}()
	c.SetReadDeadline(time.Now().Add(wait))
	q.read(c)
	end := time.Now()
	c.Close()
	<-written
	if !q.lastByteAt.IsZero() {
		q.waited = end.Sub(q.lastByteAt)
	}
}

// read reads the answer.
func (q *request) read(c net.Conn) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		q.err = err
		return
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		q.status, q.err = resp.StatusCode, err
		return
	}
	q.status, q.answeredAt = resp.StatusCode, time.Now()
	sum := sha256.Sum256(q.body)
	q.foreign = q.status == http.StatusOK && string(body) != answerTo(q.id, sum[:])
}

// describe tells what the client saw.
func (q *request) describe() string {
	switch {
	case q.lastByteAt.IsZero():
		return fmt.Sprintf("the last byte was never written; status %d, error %v", q.status, q.err)
	case q.answeredAt.IsZero():
		return fmt.Sprintf("no whole answer within %v of the last byte (status %d, error %v)",
			q.waited.Round(time.Millisecond), q.status, q.err)
	}
	return fmt.Sprintf("status %d, %v after the last byte", q.status, q.answeredAt.Sub(q.lastByteAt).Round(time.Millisecond))
}

// lost reports whether the request was taken and got no final answer within half a second of its time.
func (q *request) lost() bool {
	return !q.lastByteAt.IsZero() && (q.answeredAt.IsZero() || q.answeredAt.Sub(q.lastByteAt) > q.deadline+lateAllowance)
}

// lateAllowance is half a second, and the 50 ms by which time limits on sockets are longer.
const lateAllowance = 550 * time.Millisecond
