package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	heldUpstreams = 5 // one of them, a fifth, falls silent
	heldClients   = 10
	heldPause     = 200 * time.Millisecond // between a client's requests
	heldSilence   = 6 * time.Second
	heldLimit     = 2 * time.Second
	heldSlack     = 500 * time.Millisecond // beyond heldLimit, for the machine
	// An answer is one chunk of heldAnswer bytes. Of it heldBefore come before a silence, or heldBeginning for requests
	// of the class that may not be repeated.
	heldAnswer    = 200000
	heldBefore    = 105000
	heldBeginning = 20000
	heldByte      = "z" // the body's only byte; no framing has it
)

// givenAnswer tells how much of an answer an upstream has written before it fell silent, and when.
type givenAnswer struct {
	at    time.Time
	bytes int
}

func init() { cases["9"] = silentUpstream }

// silentUpstream plays case 9: an upstream falls silent for some seconds in the middle of long answers.
func silentUpstream(s *stage) ([]string, error) {
	var mu sync.Mutex
	var silentUntil time.Time
	given := map[string]givenAnswer{} // by request
	classes := slices.Clone(lessonClasses)
	classes[1].Repeat = "non_idempotent"
	p, err := s.open(setup{memoryMB: 64, sockets: 384, classes: classes}, heldUpstreams,
		func(index int) answerFunc {
			return func(c net.Conn, r *http.Request) error {
				id := r.Header.Get("X-Request-Id")
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Load: util=0.30,qps=20\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", heldAnswer)
				before := heldBefore
				if r.Method == http.MethodPost {
					before = heldBeginning
				}
				if _, err := io.WriteString(c, strings.Repeat(heldByte, before)); err != nil {
					return err
				}
				mu.Lock()
				wait := time.Until(silentUntil)
				if index == 0 && wait > 0 {
					given[id] = givenAnswer{time.Now(), before}
					s.note("upstream 0 has written %d bytes of the answer to %s and is silent", before, id)
				}
				mu.Unlock()
				if index == 0 && wait > 0 {
					time.Sleep(wait)
				}
				_, err := io.WriteString(c, strings.Repeat(heldByte, heldAnswer-before)+"\r\n0\r\n\r\n")
				return err
			}
		})
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var running sync.WaitGroup
	var breaks []string
	var asked, whole atomic.Int64
	for i := range heldClients {
		class := classes[i%len(classes)].Name
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(heldPause):
				}
				r := newRequest(class, 5*time.Second)
				r.unkeyed = true
				asked.Add(1)
				arrivals, err := download(s, p.balancer.listen, r)
				if err == nil {
					whole.Add(1)
				}
				mu.Lock()
				if g, isGiven := given[r.id]; isGiven {
					due := g.at.Add(heldLimit + heldSlack)
					if got := arrivals.by(due); got < g.bytes && (got > 0 || err != nil) {
						breaks = append(breaks, fmt.Sprintf(
							"%s: the upstream had given %d bytes; %v later the client had %d of them; in the end it had %d of %d", r.id, g.bytes,
							heldLimit+heldSlack, got, arrivals.by(time.Now()), heldAnswer))
					}
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(3 * time.Second)
	if s.trouble {
		mu.Lock()
		silentUntil = time.Now().Add(heldSilence)
		mu.Unlock()
		s.note("upstream 0 falls silent for %v", heldSilence)
	}
	time.Sleep(heldSilence + 2*time.Second)
	close(stop)
	running.Wait()
	s.say("%d requests, %d whole answers, %d of them over the silence", asked.Load(), whole.Load(), len(given))
	return breaks, nil
}

// byteArrivals tells how many bytes of a body had come by when.
type byteArrivals []givenAnswer

// by returns how many bytes had come by a time.
func (a byteArrivals) by(at time.Time) (n int) {
	for _, x := range a {
		if !x.at.After(at) {
			n = x.bytes
		}
	}
	return n
}

// download sends a request and reads the answer as it comes, without decoding its framing.
func download(s *stage, address string, r request) (arrivals byteArrivals, err error) {
	c, err := dial(address)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	s.note("client: %s sent", r.id)
	if _, err := io.WriteString(c, r.head(0)); err != nil {
		return nil, err
	}
	buffer := make([]byte, 64<<10)
	for total := 0; total < heldAnswer; {
		c.SetReadDeadline(time.Now().Add(heldSilence + 2*time.Second))
		n, err := c.Read(buffer)
		total += strings.Count(string(buffer[:n]), heldByte)
		arrivals = append(arrivals, givenAnswer{time.Now(), total})
		if len(arrivals) == 1 && n > 0 {
			s.note("client: %s: the answer begins %q", r.id, buffer[:min(n, 40)])
		}
		if err != nil {
			s.note("client: %s ended after %d bytes: %v", r.id, total, err)
			return arrivals, err
		}
	}
	s.note("client: %s answered whole", r.id)
	return arrivals, nil
}
