package scale

import (
	"fmt"
	"net"
	"strconv"
	"syscall"
)

// reservedAddress is a loopback address that a process of the run will listen on. Until it is released the system gives
// its port neither to a listener nor to a connection that leaves the choice of a port to the system.
type reservedAddress struct {
	address string // host:port
	socket  int    // bound to the address, and never listening
}

// reserveAddress reserves an address with a free port. The process that is to listen there binds to it in the ordinary
// way: listeners of package net set SO_REUSEADDR, which lets them share the port with a socket that does not listen.
func reserveAddress() (reservedAddress, error) {
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return reservedAddress{}, fmt.Errorf("reserving an address: %w", err)
	}
	r := reservedAddress{socket: socket}
	if err := r.bind(); err != nil {
		r.release()
		return reservedAddress{}, fmt.Errorf("reserving an address: %w", err)
	}
	return r, nil
}

// bind binds the socket to a free port and sets address.
func (r *reservedAddress) bind() error {
	if err := syscall.SetsockoptInt(r.socket, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return err
	}
	loopback := [4]byte{127, 0, 0, 1}
	if err := syscall.Bind(r.socket, &syscall.SockaddrInet4{Addr: loopback}); err != nil {
		return err
	}
	bound, err := syscall.Getsockname(r.socket)
	if err != nil {
		return err
	}
	port := bound.(*syscall.SockaddrInet4).Port
	r.address = net.JoinHostPort(net.IP(loopback[:]).String(), strconv.Itoa(port))
	return nil
}

// release ends the reservation. A process that listens at the address is not affected.
func (r *reservedAddress) release() { syscall.Close(r.socket) }
