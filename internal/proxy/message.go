package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// This file reads and writes messages. net/http's own readers are not used: they drop a Content-Length that stands
// beside Transfer-Encoding, so that nobody can see both, bound neither head nor interim answers, and take an answer
// without a length as whole wherever it ends. Fields are parsed by net/textproto.

const (
	maxHead    = 16 << 10 // bytes of a head; an answer's interim ones count with it
	maxInterim = 16       // 1xx answers ahead of one answer
	// maxBody is held of a body at most, and only what is held whole can be sent again. maxStream bounds bodies that
	// pass in pieces, each of the size of pieceSize: large enough to cost few calls, small enough for hundreds.
	maxBody   = 64 << 10
	maxStream = 32 << 20
	pieceSize = 16 << 10
	leastHeld = 1 << 10
)

var (
	errHead  = errors.New("a head that can't be read")
	errLong  = errors.New("a head over the bound")
	errFrame = errors.New("framing that is not certain")
	errLarge = errors.New("a body over the bound")
)

// stream is a connection from which messages are read, each within its bounds.
type stream struct {
	net.Conn
	in    *bufio.Reader
	text  *textproto.Reader
	bound io.LimitedReader // what may still be read off the connection
}

// source is where a connection's bytes come from. The system tells only once that a connection was reset, and whoever
// reads on finds a plain end, which would end an answer of no length. So what ended the reading stays.
type source struct {
	net.Conn
	err error
}

func (s *source) Read(b []byte) (int, error) {
	if s.err != nil {
		return 0, s.err
	}
	n, err := s.Conn.Read(b)
	if timeout := net.Error(nil); !errors.As(err, &timeout) || !timeout.Timeout() {
		s.err = err
	}
	return n, err
}

func newStream(c net.Conn, buffer int) *stream {
	s := &stream{Conn: c}
	s.bound.R = &source{Conn: c}
	s.in = bufio.NewReaderSize(&s.bound, buffer)
	s.text = textproto.NewReader(s.in)
	return s
}

// head reads a first line and the fields behind it. The caller sets the bound.
func (s *stream) head() (string, textproto.MIMEHeader, error) {
	line, err := s.text.ReadLine()
	if err != nil {
		return "", nil, s.failed(err)
	}
	h, err := s.text.ReadMIMEHeader()
	if err != nil {
		return "", nil, s.failed(err)
	}
	for name := range h {
		if strings.Contains(name, " ") { // textproto lets "Content-Length :" pass, the other side may read it as one
			return "", nil, errHead
		}
	}
	return line, h, nil
}

// failed tells a bound reached and a text that can't be read from a connection that broke.
func (s *stream) failed(err error) error {
	if s.bound.N <= 0 {
		return errLong
	}
	if wrong := textproto.ProtocolError(""); errors.As(err, &wrong) {
		return fmt.Errorf("%w: %v", errHead, wrong)
	}
	return err
}

// digits reads a number that is written in digits and nothing else: no sign, no blanks.
func digits(text string) (uint64, bool) {
	if text == "" || strings.Trim(text, "0123456789") != "" {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return n, err == nil
}

// The readers of bodies return io.EOF where the body is whole, and only there. They lift the bound on what is read off
// the connection: who reads them bounds what is kept.

// sized is a body of a stated length.
type sized struct {
	s    *stream
	left int64
}

func (b *sized) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	b.s.bound.N = math.MaxInt64
	n, err := b.s.in.Read(p[:min(int64(len(p)), b.left)])
	if b.left -= int64(n); b.left == 0 {
		return n, io.EOF
	} else if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunked is a body in chunks. Its trailer is read and dropped, as a recipient may.
type chunked struct {
	s     *stream
	parts io.Reader
}

func (s *stream) chunks() *chunked { return &chunked{s, httputil.NewChunkedReader(s.in)} }

func (b *chunked) Read(p []byte) (int, error) {
	b.s.bound.N = math.MaxInt64
	n, err := b.parts.Read(p)
	if err == nil || errors.Is(err, io.ErrUnexpectedEOF) {
		return n, err
	} else if broken := net.Error(nil); errors.As(err, &broken) {
		return n, err
	} else if err != io.EOF {
		return n, errFrame
	}
	b.s.bound.N = maxHead
	if _, err := b.s.text.ReadMIMEHeader(); errors.Is(err, io.EOF) {
		return n, io.ErrUnexpectedEOF
	} else if err != nil {
		return n, b.s.failed(err)
	}
	return n, io.EOF
}

// toEnd is a body that ends with the connection.
type toEnd struct{ s *stream }

func (b toEnd) Read(p []byte) (int, error) {
	b.s.bound.N = math.MaxInt64
	return b.s.in.Read(p)
}

// holder bounds what is held of bodies, over all connections.
type holder struct{ room atomic.Int64 }

func (h *holder) take(n int) bool {
	if h.room.Add(-int64(n)) >= 0 {
		return true
	}
	h.room.Add(int64(n))
	return false
}

// give returns the room of a buffer that gather has made.
func (h *holder) give(b []byte) { h.room.Add(int64(cap(b))) }

// gather reads a body into a buffer: all of it, which is whole then, or as much as fits, or as long as more says so.
// Memory grows with what comes, not with what was claimed.
func (h *holder) gather(body io.Reader, more func() bool) (b []byte, whole bool, err error) {
	for more() {
		if len(b) == cap(b) {
			grown := max(2*cap(b), leastHeld)
			if grown > maxBody || !h.take(grown-cap(b)) {
				break
			}
			b = append(make([]byte, 0, grown), b...)
		}
		n, err := body.Read(b[len(b):cap(b)])
		if b = b[:len(b)+n]; err == io.EOF {
			return b, true, nil
		} else if err != nil {
			h.give(b)
			return nil, false, err
		}
	}
	return b, false, nil
}

func always() bool { return true }

// reply is the head of an upstream's answer, and its body, which is still to be read.
type reply struct {
	status int
	header textproto.MIMEHeader
	body   io.Reader
	length int64 // of the body; -1 where only its end will tell
	ends   bool  // the connection ends with it
}

// reply reads the head of an upstream's answer. Without an error it is certain where the answer ends.
func (s *stream) reply() (reply, error) {
	s.bound.N = maxHead
	for range maxInterim + 1 {
		line, h, err := s.head()
		if err != nil {
			return reply{}, err
		}
		code, ok := strings.CutPrefix(line, "HTTP/1.1 ")
		code, _, _ = strings.Cut(code, " ")
		status, isNumber := digits(code)
		if !ok || !isNumber || len(code) != 3 || status < 100 || status == http.StatusSwitchingProtocols {
			return reply{}, errHead // nobody asked for another protocol
		}
		if status < http.StatusOK {
			continue
		}
		r := reply{status: int(status), header: h, length: -1, ends: closes(h)}
		te, cl := h["Transfer-Encoding"], h["Content-Length"]
		switch n, isLength := digits(strings.Join(cl, ",")); {
		case status == http.StatusNoContent || status == http.StatusNotModified: // whatever its fields say
			r.body, r.length = &sized{s, 0}, 0
		case len(te) == 1 && len(cl) == 0 && strings.EqualFold(te[0], "chunked"):
			r.body = s.chunks()
		case len(te) == 0 && isLength && n > maxStream:
			return reply{}, errLarge
		case len(te) == 0 && isLength:
			r.body, r.length = &sized{s, int64(n)}, int64(n)
		case len(te) == 0 && len(cl) == 0:
			r.body, r.ends = toEnd{s}, true
		default: // two lengths, or both framings: nobody can tell where it ends
			return reply{}, errFrame
		}
		return r, nil
	}
	return reply{}, errLong
}

// closes tells whether the other side wants the connection closed behind this message.
func closes(h textproto.MIMEHeader) bool {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if strings.EqualFold(strings.TrimSpace(name), "close") {
				return true
			}
		}
	}
	return false
}

// notEndToEnd names what belongs to one connection, and what is written anew.
var notEndToEnd = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true,
	"Host": true, "X-Deadline-Ms": true, "Proxy-Authenticate": true, "Proxy-Authorization": true}

var buffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// pieces are the buffers in which bodies pass. Before and behind the piece is room for the framing of a chunk.
var pieces = sync.Pool{New: func() any { return new(piece) }}

const (
	chunkHead = 8 // hexadecimal digits of a piece's size, and a line's end
	chunkTail = 2
)

type piece [chunkHead + pieceSize + chunkTail]byte

// space is where a body's piece goes.
func (p *piece) space() []byte { return p[chunkHead : chunkHead+pieceSize] }

// framed returns n bytes of the piece as they go on the wire.
func (p *piece) framed(n int, inChunks bool) []byte {
	if !inChunks || n == 0 { // an empty chunk would end the body
		return p[chunkHead : chunkHead+n]
	}
	head := strconv.AppendInt(nil, int64(n), 16)
	head = append(head, "\r\n"...)
	copy(p[chunkHead-len(head):], head)
	copy(p[chunkHead+n:], "\r\n")
	return p[chunkHead-len(head) : chunkHead+n+chunkTail]
}

// lastChunk ends a body in chunks.
const lastChunk = "0\r\n\r\n"

// message is the client's request as an upstream gets it, but for the first lines that are written for each attempt.
// Method, path, query and body go on unchanged.
type message struct {
	line   string // method and target
	header http.Header
	host   string
	body   []byte  // as far as it is held
	rest   *upload // what is not; nil: nothing
}

// bytes renders m for an attempt that waits so long: in one piece where it is small, or without its body, which goes
// behind it.
func (m *message) bytes(wait time.Duration) (head, tail []byte) {
	b := buffers.Get().(*bytes.Buffer)
	defer buffers.Put(b)
	b.Reset()
	b.WriteString(m.line)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(m.host)
	b.WriteString("\r\nX-Deadline-Ms: ")
	b.WriteString(strconv.FormatInt(max(1, wait.Milliseconds()), 10))
	b.WriteString("\r\n")
	m.header.WriteSubset(b, notEndToEnd) // a buffer takes all
	switch {
	case m.rest != nil && m.rest.length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case m.rest != nil:
		fmt.Fprintf(b, "Content-Length: %d\r\n", m.rest.length)
	case len(m.body) > 0 || strings.HasPrefix(m.line, http.MethodPost):
		fmt.Fprintf(b, "Content-Length: %d\r\n", len(m.body))
	}
	b.WriteString("\r\n")
	switch {
	case m.rest != nil && m.rest.length < 0 && len(m.body) > 0:
		fmt.Fprintf(b, "%x\r\n", len(m.body))
		tail = m.body
	case len(m.body) <= pieceSize:
		b.Write(m.body)
	default:
		tail = m.body
	}
	return bytes.Clone(b.Bytes()), tail
}

// upload is the part of a request's body that is not held. The client's side puts it into a pipe that one attempt reads,
// so that the client is read no faster than the upstream reads.
type upload struct {
	body   io.Reader // off the client's connection
	length int64     // of the whole body; -1: chunks
	in     *io.PipeReader
	out    *io.PipeWriter
	client net.Conn
	taken  atomic.Bool // an attempt has begun to read it: no other one can
	came   bool        // the client's side: its last byte has come
	failed atomic.Pointer[error]
}

// fail ends the body for the attempt that reads it, by a fault of the client's.
func (u *upload) fail(err error) {
	u.failed.Store(&err)
	u.out.CloseWithError(err)
}

// fault returns the fault of the client's that has ended the body; nil: none, as with nothing to upload.
func (u *upload) fault() error {
	if u == nil {
		return nil
	}
	if err := u.failed.Load(); err != nil {
		return *err
	}
	return nil
}

// errUnread is what the client's side gets when nobody wants the rest of a body.
var errUnread = errors.New("the rest of the body is not wanted")

// errHungUp is what the client's side gets when the client has closed its connection behind bytes that nobody has read.
var errHungUp = errors.New("the client has closed its connection")

// abandoned tells whether the client has gone, and if so ends the client's side. Reading does not show it while bytes of
// the body come first, and these are not read until an attempt takes them. The system tells of the close without reading,
// but for one that waits behind more than the receive buffer takes.
func (u *upload) abandoned() bool {
	if !hungUp(u.client) {
		return false
	}
	u.in.CloseWithError(errHungUp)
	return true
}

// The states of a TCP connection in which the other side has ended it, as include/net/tcp_states.h of Linux numbers them.
const (
	tcpClose     = 7 // by a reset
	tcpCloseWait = 8 // by a close
	tcpStateMask = 0xff
)

// hungUp looks, without waiting or reading, whether the other side has closed or reset a connection.
func hungUp(c net.Conn) bool {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		return true
	}
	state := 0
	err = raw.Control(func(fd uintptr) {
		info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO) // its first byte is the state
		if err == nil {
			state = info & tcpStateMask
		}
	})
	return err != nil || state == tcpClose || state == tcpCloseWait
}

// end tells the client's side that the rest is not wanted. After the last byte it has no effect.
func (u *upload) end() { u.in.CloseWithError(errUnread) }
