package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// fleet is a small deployment: some upstreams, discovery and one balancer.
type fleet struct {
	*run
	arrivals  *arrivals
	upstreams []*upstream
	discovery *discovery
	balancer  *balancer
	limits    map[string]any // replace those of the configuration, by name

	mu       sync.Mutex
	requests []*request
	clients  sync.WaitGroup
}

// newFleet starts upstreams, which work for a time on each request.
func newFleet(r *run, count int, work time.Duration) (*fleet, error) {
	f := &fleet{run: r, arrivals: &arrivals{}, limits: map[string]any{}}
	for i := range count {
		u, err := newUpstream(fmt.Sprintf("s-%08x", 0x5be2a070+i), f.arrivals, work)
		if err != nil {
			return nil, err
		}
		f.upstreams = append(f.upstreams, u)
	}
	return f, nil
}

// serve starts discovery and the balancer.
func (f *fleet) serve() error {
	var members []member
	for _, u := range f.upstreams {
		members = append(members, u.member())
	}
	var err error
	if f.discovery, err = newDiscovery(members); err != nil {
		return err
	}
	listen, err := freeAddress()
	if err != nil {
		return err
	}
	c := newConfig(listen, f.discovery.address, f.discovery.list(), viewTimetable, bookLesson)
	for name, limit := range f.limits {
		c.Limits[name] = limit
	}
	path, err := c.write(f.run, "config.json")
	if err != nil {
		return err
	}
	f.balancer, err = f.startBalancer("n1", listen, f.discovery.address, path)
	return err
}

// send sends a request on a goroutine of its own and waits for its answer as request.send does.
func (f *fleet) send(q *request, wait time.Duration) {
	f.mu.Lock()
	f.requests = append(f.requests, q)
	f.mu.Unlock()
	f.clients.Go(func() { q.send(f.balancer.listen, wait) })
}

// ordinary sends the small requests of a quiet hour for a time, one each interval, of which every fifth books a lesson.
func (f *fleet) ordinary(length, interval time.Duration) {
	for i, begin := 0, time.Now(); time.Since(begin) < length; i++ {
		if i%5 == 0 {
			f.send(newRequest(bookLesson, 2*time.Second, 300), 5*time.Second)
		} else {
			f.send(newRequest(viewTimetable, 5*time.Second, 0), 8*time.Second)
		}
		time.Sleep(interval)
	}
}

// judge records every request and returns an error if one that was taken got no answer in time, or a wrong one.
func (f *fleet) judge() error {
	f.clients.Wait()
	lost, foreign, served, small := 0, 0, 0, map[string]int{}
	for _, q := range f.requests {
		verdict := ""
		switch {
		case q.lost():
			verdict = "LOST: "
			lost++
		case q.foreign:
			verdict = "FOREIGN: "
			foreign++
		case q.status == http.StatusOK:
			served++
		}
		if verdict == "" && len(q.body) < 1000 {
			small[fmt.Sprintf("%s, status %d", q.class.Name, q.status)]++
			continue
		}
		f.log("%srequest %s: %s, deadline %v, body of %d bytes: %s; at upstreams: %s", verdict, q.id, q.class.Name, q.deadline,
			len(q.body), q.describe(), f.describe(q.id))
	}
	f.log("the small requests, by class and status: %v", small)
	f.log("%d requests, %d served; lost: %d; wrong answers: %d", len(f.requests), served, lost, foreign)
	switch {
	case lost+foreign > 0:
		return fmt.Errorf("%w: of %d requests %d that the balancer took had no final answer half a second after their time, and %d had a wrong answer",
			errBroken, len(f.requests), lost, foreign)
	case served == 0:
		return errors.New("nothing was served")
	}
	return nil
}

// describe lists where a request arrived.
func (f *fleet) describe(id string) (text string) {
	for _, a := range f.arrivals.of(id) {
		text += fmt.Sprintf("%s (%d bytes of its body, ran: %v) ", a.upstream, a.received, a.ran)
	}
	if text == "" {
		return "none"
	}
	return text
}
