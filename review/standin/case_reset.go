package main

import (
	"bytes"
	"math/rand/v2"
	"runtime"
	"syscall"
	"time"
)

func init() { cases["reset"] = caseReset }

// caseReset: clients book lessons with bodies of 100 kB. Two of six upstreams reset connections under requests that have
// begun, as soon as the first bytes of them have come. The four others are well.
func caseReset(r *run) error {
	f, err := newFleet(r, 6, 30*time.Millisecond)
	if err != nil {
		return err
	}
	if r.trouble {
		for _, u := range f.upstreams[:2] {
			if err := u.resetEarly(r); err != nil {
				return err
			}
		}
	}
	if err := f.serve(); err != nil {
		return err
	}
	const length = 45 * time.Second
	f.clients.Go(func() { f.ordinary(length, 50*time.Millisecond) })
	for begin := time.Now(); time.Since(begin) < length; time.Sleep(40 * time.Millisecond) {
		f.send(newRequest(bookLesson, 2*time.Second, 100_000), 20*time.Second)
	}
	return f.judge()
}

// resetEarly gives the upstream another address. There a thread waits for the first bytes of each connection without
// sleeping, and resets every third one under a long request as soon as they have come. The others are served; each answer
// closes its connection.
func (u *upstream) resetEarly(r *run) error {
	listener, address, err := rawListener()
	if err != nil {
		return err
	}
	u.address, u.closing = address, true
	go func() {
		runtime.LockOSThread()
		b := make([]byte, 2048)
		for {
			c, _, err := syscall.Accept4(listener, syscall.SOCK_CLOEXEC)
			if err != nil {
				continue
			}
			n := -1
			for end := time.Now().Add(20 * time.Millisecond); time.Now().Before(end) && n < 0; {
				n, _, _ = syscall.Recvfrom(c, b, syscall.MSG_DONTWAIT)
			}
			if bytes.Contains(b[:max(n, 0)], longBody) && rand.IntN(3) == 0 {
				for end := time.Now().Add(time.Duration(rand.IntN(10)) * time.Microsecond); time.Now().Before(end); {
				}
				syscall.SetsockoptLinger(c, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
				syscall.Close(c)
				a := &arrival{id: requestID(b[:n]), upstream: u.id, at: time.Now()}
				u.arrivals.add(a)
				r.log("upstream %s resets the connection of request %s after the first %d bytes", u.id, a.id, n)
				continue
			}
			if conn, err := netConn(c); err == nil {
				go u.serve(conn, bytes.Clone(b[:max(n, 0)]))
			}
		}
	}()
	return nil
}

// longBody stands in the head of each long request.
var longBody = []byte("Content-Length: 100000\r\n")
