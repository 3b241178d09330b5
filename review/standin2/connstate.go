package main

import (
	"errors"
	"io"
	"net"
	"syscall"
	"time"
)

// The states of a TCP connection that the cases tell apart, as Linux numbers them.
const (
	tcpEstablished = 1
	tcpCloseWait   = 8 // the peer has ended it and has not reset it
)

// resetWait is how long a client waits for the reset that follows bytes which its peer never read.
const resetWait = 200 * time.Millisecond

// tcpState returns the state of a connection, or 0 if the system does not tell.
func tcpState(c net.Conn) (state int) {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return 0
	}
	if err := raw.Control(func(fd uintptr) {
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
		if err == nil {
			state = info & 0xff // the state is the first byte
		}
	}); err != nil {
		return 0
	}
	return state
}

// readAndClosed reports whether the peer read a request and then closed its connection without an answer. The request
// was written whole, the connection was established before that, and err is the error of reading the answer. A close
// over unread bytes resets a connection, and so do bytes that arrive after the close. An end that no reset follows
// therefore comes from a peer that had read all bytes.
func readAndClosed(c net.Conn, err error) bool {
	if !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		return false
	}
	time.Sleep(resetWait)
	return tcpState(c) == tcpCloseWait
}
