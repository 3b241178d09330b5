package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	goneWork    = 190 * time.Millisecond // of an upstream
	goneTraffic = 110                    // clients of small requests, which keep the upstreams busy
	goneClients = 18                     // clients that leave
	gonePause   = time.Second            // between the requests of such a client, at the mean
	goneBody    = 300000
	goneStay    = 5 * time.Millisecond // for which such a client waits behind its last byte, at the mean
	// goneLimit is 0.1 s, and the 50 ms by which every time limit is longer on sockets.
	goneLimit  = 150 * time.Millisecond
	gonePlay   = 80 * time.Second // at most
	goneBreaks = 5                // breaks after which the case is decided
)

func init() { cases["10"] = goneUpload }

// goneRecord tells which clients have left and when.
type goneRecord struct {
	mu       sync.Mutex
	left     map[string]time.Time // by request
	requests int
}

// goneUpload plays case 10: clients of uploads leave while their requests wait for a turn.
func goneUpload(s *stage) ([]string, error) {
	p, err := s.open(setup{memoryMB: 64, sockets: 384, classes: lessonClasses}, 12,
		func(int) answerFunc { return answerAfter(goneWork) })
	if err != nil {
		return nil, err
	}
	record := &goneRecord{left: map[string]time.Time{}}
	stop := make(chan struct{})
	var running sync.WaitGroup
	for range goneTraffic {
		running.Go(func() { record.repeat(s, stop, 50*time.Millisecond, func() { record.book(s, p.balancer.listen) }) })
	}
	for range goneClients {
		running.Go(func() { record.repeat(s, stop, 2*gonePause, func() { record.upload(s, p.balancer.listen) }) })
	}
	var breaks []string
	for began := time.Now(); time.Since(began) < gonePlay && len(breaks) < goneBreaks; {
		time.Sleep(time.Second)
		breaks = record.breaks(p.upstreams)
	}
	close(stop)
	running.Wait()
	s.say("%d requests, of which the clients of %d left", record.requests, len(record.left))
	return breaks, nil
}

// repeat calls ask until stop is closed, with pauses up to a limit.
func (g *goneRecord) repeat(s *stage, stop <-chan struct{}, pause time.Duration, ask func()) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(rand.N(pause)):
		}
		g.mu.Lock()
		g.requests++
		g.mu.Unlock()
		ask()
	}
}

// book sends a small request and waits for its answer.
func (g *goneRecord) book(s *stage, address string) {
	r := newRequest("book-lesson", 1500*time.Millisecond)
	s.note("client: %s sent", r.id)
	got := ask(address, r)
	s.note("client: %s answered %d %v", r.id, got.status, got.err)
}

// upload sends a request with a long body whole. Its client then leaves, or waits for the answer if there is to be no
// trouble.
func (g *goneRecord) upload(s *stage, address string) {
	r := newRequest("book-lesson", 1500*time.Millisecond)
	c, err := dial(address)
	if err != nil {
		return
	}
	defer c.Close()
	s.note("client: %s begins, %d bytes of body", r.id, goneBody)
	if _, err := io.WriteString(c, r.head(goneBody)+string(make([]byte, goneBody))); err != nil {
		s.note("client: %s: %v", r.id, err)
		return
	}
	s.note("client: %s is written whole", r.id)
	if !s.trouble {
		got := c.read(time.Now().Add(r.deadline + time.Second))
		s.note("client: %s answered %d %v", r.id, got.status, got.err)
		return
	}
	time.Sleep(goneStay/2 + rand.N(goneStay))
	c.Close()
	g.mu.Lock()
	g.left[r.id] = time.Now()
	g.mu.Unlock()
	s.note("client: %s: its client has closed the connection", r.id)
}

// breaks returns the requests that have begun at an upstream too long after their clients had left, and have run.
func (g *goneRecord) breaks(upstreams []*upstream) (breaks []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, u := range upstreams {
		for _, a := range u.all() {
			if at, left := g.left[a.id]; left && a.first.Sub(at) > goneLimit {
				breaks = append(breaks, fmt.Sprintf("%s began at %s %.3f s after its client had closed its connection, and %d bytes came whole",
					a.id, u.id, a.first.Sub(at).Seconds(), a.bytes))
			}
		}
	}
	return breaks
}
