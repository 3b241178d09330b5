package scale

import (
	"context"
	"errors"
	"net"
	"strconv"
	"syscall"
	"testing"
)

// ipLocalPortRange is the socket option IP_LOCAL_PORT_RANGE of Linux: the ports of which the system chooses one, the
// lowest in the lower and the highest in the upper half of its value.
const ipLocalPortRange = 51

// TestReservedPortIsNotGivenToOthers guards against a balancer of the soak that can't listen, or another server that is
// taken for it, because the system has given the port of its admin listener to somebody else.
func TestReservedPortIsNotGivenToOthers(t *testing.T) {
	r, err := reserveAddress()
	if err != nil {
		t.Fatal(err)
	}
	defer r.release()
	_, portText, _ := net.SplitHostPort(r.address)
	port, err := strconv.Atoi(portText)
	if err != nil {
		t.Fatal(err)
	}
	onlyThisPort := func(_, _ string, c syscall.RawConn) error { // leaves the system no other choice
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_IP, ipLocalPortRange, port<<16|port)
		})
		return errors.Join(err, optionErr)
	}
	unrelated, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unrelated.Close()
	if l, err := (&net.ListenConfig{Control: onlyThisPort}).Listen(context.Background(), "tcp", "127.0.0.1:0"); !errors.Is(err,
		syscall.EADDRINUSE) {
		t.Errorf("listening on a port of the system's choice: got %v, error %v, want EADDRINUSE", l, err)
	}
	if c, err := (&net.Dialer{Control: onlyThisPort}).Dial("tcp", unrelated.Addr().String()); !errors.Is(err,
		syscall.EADDRNOTAVAIL) {
		t.Errorf("connecting from a port of the system's choice: got %v, error %v, want EADDRNOTAVAIL", c, err)
	}
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		t.Fatalf("listening at the reserved address: %v", err)
	}
	defer l.Close()
	c, err := net.Dial("tcp", r.address)
	if err != nil {
		t.Fatalf("connecting to the listener: %v", err)
	}
	c.Close()
}
