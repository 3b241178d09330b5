package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// serial numbers the requests of all clients.
var serial atomic.Uint64

// request is a client's request.
type request struct {
	id       string
	class    string
	method   string
	deadline time.Duration
	body     string
	unkeyed  bool // a POST carries no key
}

// newRequest returns a request of a class with a fresh id.
func newRequest(class string, deadline time.Duration) request {
	r := request{id: fmt.Sprintf("%016x", serial.Add(1)), class: class, method: http.MethodGet, deadline: deadline}
	if class != "view-timetable" {
		r.method = http.MethodPost
	}
	return r
}

// head returns the request's head. length is that of the body.
func (r request) head(length int) string {
	text := fmt.Sprintf("%s /%s HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Tenant: tsagaan\r\n"+
		"X-Deadline-Ms: %d\r\n", r.method, r.class, r.id, r.class, r.deadline.Milliseconds())
	if r.method == http.MethodPost && !r.unkeyed {
		text += "Idempotency-Key: " + r.id + r.id + "\r\n"
	}
	if r.method == http.MethodPost {
		text += fmt.Sprintf("Content-Length: %d\r\n", length)
	}
	return text + "\r\n"
}

// reply is what a client got for a request. status 0 stands for no whole answer.
type reply struct {
	status int
	body   string
	err    error
	// closing tells that the answer asks the client to close the connection.
	closing bool
}

// client is a client's connection.
type client struct {
	net.Conn
	reader *bufio.Reader
}

// dial opens a client's connection.
func dial(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	return &client{c, bufio.NewReader(c)}, nil
}

// read reads an answer, at most until a time.
func (c *client) read(until time.Time) reply {
	c.SetReadDeadline(until)
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{err: err}
	}
	return reply{status: resp.StatusCode, body: string(body), closing: resp.Close}
}

// ask sends a request on a new connection and returns what came back by a second after its deadline.
func ask(address string, r request) reply {
	c, err := dial(address)
	if err != nil {
		return reply{err: err}
	}
	defer c.Close()
	if _, err := io.WriteString(c, r.head(len(r.body))+r.body); err != nil {
		return reply{err: err}
	}
	return c.read(time.Now().Add(r.deadline + time.Second))
}
