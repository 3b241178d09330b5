package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["stall"] = caseStall }

// caseStall: clients book lessons with bodies of some megabytes. Two of four upstreams hang in the middle of such bodies
// and read no further.
func caseStall(r *run) error {
	f, err := newFleet(r, 4, 30*time.Millisecond)
	if err != nil {
		return err
	}
	var hang atomic.Bool
	if r.trouble {
		for _, u := range f.upstreams[:2] {
			u.onRequest = func(c *net.TCPConn, br *bufio.Reader, q *http.Request, a *arrival) bool {
				if !hang.Load() {
					return false
				}
				n, _ := io.CopyN(io.Discard, q.Body, 256<<10)
				u.arrivals.update(a, func(a *arrival) { a.received = n })
				r.log("upstream %s hangs after %d bytes of the body of request %s", a.upstream, n, a.id)
				return true
			}
		}
	}
	if err := f.serve(); err != nil {
		return err
	}
	f.ordinary(4*time.Second, 40*time.Millisecond)
	r.log("long bodies from here on; two of four upstreams hang: %v", r.trouble)
	hang.Store(true)
	for i := range 36 { // bodies of 2.5 to 8 MB
		f.send(newRequest(bookLesson, 2*time.Second, (5+i*7%12)<<19), 40*time.Second)
		time.Sleep(4 * time.Millisecond)
	}
	f.ordinary(10*time.Second, 50*time.Millisecond)
	if err := f.judge(); err != nil {
		f.balancer.cmd.Process.Signal(syscall.SIGTERM) // not judged: shows whether the process can still end
		select {
		case <-f.balancer.exited:
			r.log("the balancer ended after SIGTERM: %v", f.balancer.exitErr)
		case <-time.After(6 * time.Second):
			r.log("all clients have left long ago, and the balancer has not ended 6 s after SIGTERM")
		}
		return err
	}
	return nil
}
