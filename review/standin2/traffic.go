package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"
)

// keptClients are clients that use their connections again and again, one request at a time.
type keptClients struct {
	stage *stage

	mu       sync.Mutex
	answered map[int]int // by status
	crossed  int         // requests that met a connection which the balancer had closed unread; they are sent again
	lost     []string    // ids of requests that were read and got no answer
}

// run sends the requests of one client to an address until stop is closed. rest is the longest time for which its connection rests
// between two of them.
func (k *keptClients) run(address string, rest time.Duration, stop <-chan struct{}) {
	var c *client
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for {
		select {
		case <-stop:
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = dial(address); err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		if tcpState(c.Conn) != tcpEstablished { // ended between requests: the client opens another
			c.Close()
			c = nil
			continue
		}
		r := newRequest("view-timetable", 2500*time.Millisecond)
		k.stage.note("client: %s sent on %s", r.id, c.LocalAddr())
		_, writeErr := io.WriteString(c, r.head(0))
		got := c.read(time.Now().Add(r.deadline + time.Second))
		lost := writeErr == nil && got.err != nil && readAndClosed(c.Conn, got.err)
		k.count(r, got, lost)
		if got.err != nil || got.closing {
			c.Close()
			c = nil
		}
		if rest > 0 {
			time.Sleep(rand.N(rest))
		}
	}
}

// count counts what came back for a request.
func (k *keptClients) count(r request, got reply, lost bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case lost:
		k.lost = append(k.lost, r.id)
		k.stage.note("client: %s was read, and its connection closed with no byte of an answer", r.id)
	case got.err != nil:
		k.crossed++
		k.stage.note("client: %s got no answer: %v", r.id, got.err)
	default:
		k.answered[got.status]++
		k.stage.note("client: %s answered %d, %d bytes", r.id, got.status, len(got.body))
	}
}

// breaks returns the breaks of the rule on lost requests.
func (k *keptClients) breaks() (breaks []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stage.say("answers by status %v; %d requests crossed a close; %d read and closed with no answer", k.answered,
		k.crossed, len(k.lost))
	for _, id := range k.lost {
		breaks = append(breaks, fmt.Sprintf("request %s was read on a kept connection, which was closed with no answer", id))
	}
	return breaks
}

// lostCount returns how many requests have been lost so far.
func (k *keptClients) lostCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.lost)
}
