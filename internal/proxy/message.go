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
	maxHeadBytes        = 16 << 10 // bytes of a head; an answer's interim ones count with it
	maxInterimResponses = 16       // 1xx answers ahead of one answer
	// maxBody is held of a body at most, and only what is held whole can be sent again. maxStream bounds bodies that
	// pass in pieces, each of the size of pieceSize: large enough to cost few calls, small enough for hundreds.
	maxBufferedBody = 64 << 10
	maxBodyBytes    = 32 << 20
	bodyBufferSize  = 16 << 10
	minBodyBuffer   = 1 << 10
)

var (
	errMalformedHead    = errors.New("a head that can't be read")
	errHeadTooLong      = errors.New("a head over the bound")
	errAmbiguousFraming = errors.New("framing that is not certain")
	errResponseTooLarge = errors.New("a body over the bound")
)

// stream is a connection from which messages are read, each within its bounds.
type httpConn struct {
	net.Conn
	reader     *bufio.Reader
	textReader *textproto.Reader
	readLimit  io.LimitedReader // what may still be read off the connection
}

// source is where a connection's bytes come from. The system tells only once that a connection was reset, and whoever
// reads on finds a plain end, which would end an answer of no length. So what ended the reading stays.
type stickyErrorConn struct {
	net.Conn
	err error
}

func (s *stickyErrorConn) Read(b []byte) (int, error) {
	if s.err != nil {
		return 0, s.err
	}
	n, err := s.Conn.Read(b)
	if timeout := net.Error(nil); !errors.As(err, &timeout) || !timeout.Timeout() {
		s.err = err
	}
	return n, err
}

func newHTTPConn(c net.Conn, buffer int) *httpConn {
	s := &httpConn{Conn: c}
	s.readLimit.R = &stickyErrorConn{Conn: c}
	s.reader = bufio.NewReaderSize(&s.readLimit, buffer)
	s.textReader = textproto.NewReader(s.reader)
	return s
}

// head reads a first line and the fields behind it. The caller sets the bound.
func (s *httpConn) readHead() (string, textproto.MIMEHeader, error) {
	line, err := s.textReader.ReadLine()
	if err != nil {
		return "", nil, s.readError(err)
	}
	h, err := s.textReader.ReadMIMEHeader()
	if err != nil {
		return "", nil, s.readError(err)
	}
	for name := range h {
		if strings.Contains(name, " ") { // textproto lets "Content-Length :" pass, the other side may read it as one
			return "", nil, errMalformedHead
		}
	}
	return line, h, nil
}

// failed tells a bound reached and a text that can't be read from a connection that broke.
func (s *httpConn) readError(err error) error {
	if s.readLimit.N <= 0 {
		return errHeadTooLong
	}
	if wrong := textproto.ProtocolError(""); errors.As(err, &wrong) {
		return fmt.Errorf("%w: %v", errMalformedHead, wrong)
	}
	return err
}

// digits reads a number that is written in digits and nothing else: no sign, no blanks.
func parseDigits(text string) (uint64, bool) {
	if text == "" || strings.Trim(text, "0123456789") != "" {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return n, err == nil
}

// The readers of bodies return io.EOF where the body is whole, and only there. They lift the bound on what is read off
// the connection: who reads them bounds what is kept.

// sized is a body of a stated length.
type sizedBody struct {
	conn      *httpConn
	remaining int64
}

func (b *sizedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	b.conn.readLimit.N = math.MaxInt64
	n, err := b.conn.reader.Read(p[:min(int64(len(p)), b.remaining)])
	if b.remaining -= int64(n); b.remaining == 0 {
		return n, io.EOF
	} else if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunked is a body in chunks. Its trailer is read and dropped, as a recipient may.
type chunkedBody struct {
	conn    *httpConn
	decoder io.Reader
}

func (s *httpConn) newChunkedBody() *chunkedBody {
	return &chunkedBody{s, httputil.NewChunkedReader(s.reader)}
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	b.conn.readLimit.N = math.MaxInt64
	n, err := b.decoder.Read(p)
	if err == nil || errors.Is(err, io.ErrUnexpectedEOF) {
		return n, err
	} else if netErr := net.Error(nil); errors.As(err, &netErr) {
		return n, err
	} else if err != io.EOF {
		return n, errAmbiguousFraming
	}
	b.conn.readLimit.N = maxHeadBytes
	if _, err := b.conn.textReader.ReadMIMEHeader(); errors.Is(err, io.EOF) {
		return n, io.ErrUnexpectedEOF
	} else if err != nil {
		return n, b.conn.readError(err)
	}
	return n, io.EOF
}

// toEnd is a body that ends with the connection.
type untilCloseBody struct{ conn *httpConn }

func (b untilCloseBody) Read(p []byte) (int, error) {
	b.conn.readLimit.N = math.MaxInt64
	return b.conn.reader.Read(p)
}

// holder bounds what is held of bodies, over all connections.
type bodyMemory struct{ available atomic.Int64 }

func (h *bodyMemory) reserve(n int) bool {
	if h.available.Add(-int64(n)) >= 0 {
		return true
	}
	h.available.Add(int64(n))
	return false
}

// give returns the room of a buffer that gather has made.
func (h *bodyMemory) free(b []byte) { h.available.Add(int64(cap(b))) }

// gather reads a body into a buffer: all of it, which is whole then, or as much as fits, or as long as more says so.
// Memory grows with what comes, not with what was claimed.
func (h *bodyMemory) collect(body io.Reader, more func() bool) (b []byte, complete bool, err error) {
	for more() {
		if len(b) == cap(b) {
			grown := max(2*cap(b), minBodyBuffer)
			if grown > maxBufferedBody || !h.reserve(grown-cap(b)) {
				break
			}
			b = append(make([]byte, 0, grown), b...)
		}
		n, err := body.Read(b[len(b):cap(b)])
		if b = b[:len(b)+n]; err == io.EOF {
			return b, true, nil
		} else if err != nil {
			h.free(b)
			return nil, false, err
		}
	}
	return b, false, nil
}

func always() bool { return true }

// reply is the head of an upstream's answer, and its body, which is still to be read.
type upstreamResponse struct {
	status     int
	header     textproto.MIMEHeader
	body       io.Reader
	length     int64 // of the body; -1 where only its end will tell
	closeAfter bool  // the connection ends with it
}

// reply reads the head of an upstream's answer. Without an error it is certain where the answer ends.
func (s *httpConn) readResponse() (upstreamResponse, error) {
	s.readLimit.N = maxHeadBytes
	for range maxInterimResponses + 1 {
		line, h, err := s.readHead()
		if err != nil {
			return upstreamResponse{}, err
		}
		statusText, ok := strings.CutPrefix(line, "HTTP/1.1 ")
		statusText, _, _ = strings.Cut(statusText, " ")
		status, isNumber := parseDigits(statusText)
		if !ok || !isNumber || len(statusText) != 3 || status < 100 || status == http.StatusSwitchingProtocols {
			return upstreamResponse{}, errMalformedHead // nobody asked for another protocol
		}
		if status < http.StatusOK {
			continue
		}
		r := upstreamResponse{status: int(status), header: h, length: -1, closeAfter: wantsClose(h)}
		encodings, lengths := h["Transfer-Encoding"], h["Content-Length"]
		switch n, isLength := parseDigits(strings.Join(lengths, ",")); {
		case status == http.StatusNoContent || status == http.StatusNotModified: // whatever its fields say
			r.body, r.length = &sizedBody{s, 0}, 0
		case len(encodings) == 1 && len(lengths) == 0 && strings.EqualFold(encodings[0], "chunked"):
			r.body = s.newChunkedBody()
		case len(encodings) == 0 && isLength && n > maxBodyBytes:
			return upstreamResponse{}, errResponseTooLarge
		case len(encodings) == 0 && isLength:
			r.body, r.length = &sizedBody{s, int64(n)}, int64(n)
		case len(encodings) == 0 && len(lengths) == 0:
			r.body, r.closeAfter = untilCloseBody{s}, true
		default: // two lengths, or both framings: nobody can tell where it ends
			return upstreamResponse{}, errAmbiguousFraming
		}
		return r, nil
	}
	return upstreamResponse{}, errHeadTooLong
}

// closes tells whether the other side wants the connection closed behind this message.
func wantsClose(h textproto.MIMEHeader) bool {
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
var headersNotForwarded = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true,
	"Host": true, "X-Deadline-Ms": true, "Proxy-Authenticate": true, "Proxy-Authorization": true}

var headBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// pieces are the buffers in which bodies pass. Before and behind the piece is room for the framing of a chunk.
var bodyBuffers = sync.Pool{New: func() any { return new(bodyBuffer) }}

const (
	chunkHeadSize = 8 // hexadecimal digits of a piece's size, and a line's end
	chunkTailSize = 2
)

type bodyBuffer [chunkHeadSize + bodyBufferSize + chunkTailSize]byte

// space is where a body's piece goes.
func (p *bodyBuffer) data() []byte { return p[chunkHeadSize : chunkHeadSize+bodyBufferSize] }

// framed returns n bytes of the piece as they go on the wire.
func (p *bodyBuffer) framed(n int, chunked bool) []byte {
	if !chunked || n == 0 { // an empty chunk would end the body
		return p[chunkHeadSize : chunkHeadSize+n]
	}
	head := strconv.AppendInt(nil, int64(n), 16)
	head = append(head, "\r\n"...)
	copy(p[chunkHeadSize-len(head):], head)
	copy(p[chunkHeadSize+n:], "\r\n")
	return p[chunkHeadSize-len(head) : chunkHeadSize+n+chunkTailSize]
}

// lastChunk ends a body in chunks.
const lastChunk = "0\r\n\r\n"

// message is the client's request as an upstream gets it, but for the first lines that are written for each attempt.
// Method, path, query and body go on unchanged.
type message struct {
	methodAndTarget string // method and target
	header          http.Header
	host            string
	body            []byte  // as far as it is held
	rest            *upload // what is not; nil: nothing
}

// bytes renders m for an attempt that waits so long: in one piece where it is small, or without its body, which goes
// behind it.
func (m *message) bytes(timeout time.Duration) (head, tail []byte) {
	b := headBuffers.Get().(*bytes.Buffer)
	defer headBuffers.Put(b)
	b.Reset()
	b.WriteString(m.methodAndTarget)
	b.WriteString(" HTTP/1.1\r\nHost: ")
	b.WriteString(m.host)
	b.WriteString("\r\nX-Deadline-Ms: ")
	b.WriteString(strconv.FormatInt(max(1, timeout.Milliseconds()), 10))
	b.WriteString("\r\n")
	m.header.WriteSubset(b, headersNotForwarded) // a buffer takes all
	switch {
	case m.rest != nil && m.rest.length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	case m.rest != nil:
		fmt.Fprintf(b, "Content-Length: %d\r\n", m.rest.length)
	case len(m.body) > 0 || strings.HasPrefix(m.methodAndTarget, http.MethodPost):
		fmt.Fprintf(b, "Content-Length: %d\r\n", len(m.body))
	}
	b.WriteString("\r\n")
	switch {
	case m.rest != nil && m.rest.length < 0 && len(m.body) > 0:
		fmt.Fprintf(b, "%x\r\n", len(m.body))
		tail = m.body
	case len(m.body) <= bodyBufferSize:
		b.Write(m.body)
	default:
		tail = m.body
	}
	return bytes.Clone(b.Bytes()), tail
}

// upload is the part of a request's body that is not held. The client's side puts it into a pipe that one attempt reads,
// so that the client is read no faster than the upstream reads.
type upload struct {
	body     io.Reader // off the client's connection
	length   int64     // of the whole body; -1: chunks
	reader   *io.PipeReader
	writer   *io.PipeWriter
	client   net.Conn
	started  atomic.Bool // an attempt has begun to read it: no other one can
	complete bool        // the client's side: its last byte has come
	failure  atomic.Pointer[error]
}

// fail ends the body for the attempt that reads it, by a fault of the client's.
func (u *upload) fail(err error) {
	u.failure.Store(&err)
	u.writer.CloseWithError(err)
}

// fault returns the fault of the client's that has ended the body; nil: none, as with nothing to upload.
func (u *upload) clientErr() error {
	if u == nil {
		return nil
	}
	if err := u.failure.Load(); err != nil {
		return *err
	}
	return nil
}

// errUnread is what the client's side gets when nobody wants the rest of a body.
var errBodyUnwanted = errors.New("the rest of the body is not wanted")

// errHungUp is what the client's side gets when the client has closed its connection behind bytes that nobody has read.
var errClientClosed = errors.New("the client has closed its connection")

// abandoned tells whether the client has gone, and if so ends the client's side. Reading does not show it while bytes of
// the body come first, and these are not read until an attempt takes them. The system tells of the close without reading,
// but for one that waits behind more than the receive buffer takes.
func (u *upload) clientClosed() bool {
	if !closedByPeer(u.client) {
		return false
	}
	u.reader.CloseWithError(errClientClosed)
	return true
}

// The states of a TCP connection in which the other side has ended it, as include/net/tcp_states.h of Linux numbers them.
const (
	tcpClose     = 7 // by a reset
	tcpCloseWait = 8 // by a close
	tcpStateMask = 0xff
)

// hungUp looks, without waiting or reading, whether the other side has closed or reset a connection.
func closedByPeer(c net.Conn) bool {
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
func (u *upload) cancel() { u.reader.CloseWithError(errBodyUnwanted) }
