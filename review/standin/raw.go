package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// rawListener listens on a free port of loopback, and returns the descriptor and the address.
func rawListener() (int, string, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, "", err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return 0, "", err
	}
	if err := syscall.Listen(fd, 64); err != nil {
		return 0, "", err
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return 0, "", err
	}
	return fd, fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port), nil
}

// requestID returns the id in the beginning of a request.
func requestID(head []byte) string {
	_, rest, _ := bytes.Cut(head, []byte("X-Request-Id: "))
	id, _, _ := bytes.Cut(rest, []byte("\r\n"))
	return string(id)
}

// netConn returns a connection for a descriptor, which it takes over.
func netConn(fd int) (*net.TCPConn, error) {
	syscall.SetNonblock(fd, true)
	f := os.NewFile(uintptr(fd), "connection")
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil, errors.New("not a TCP connection")
	}
	return tcp, nil
}
