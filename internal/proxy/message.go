package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"iter"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// This file reads and writes HTTP/1.1 messages. The readers of net/http are not used: they drop a
// Content-Length next to a Transfer-Encoding, so that a message with both can't be detected; they limit
// neither heads nor interim responses; and they accept a response without a length as complete wherever it
// ends.

const (
	maxInterimResponses = 16       // 1xx responses before a final one
	maxBodyBytes        = 32 << 20 // a whole body, buffered and streamed parts together
)

// Errors in the messages of clients and upstreams. The text of the first is also written to clients whose requests
// cause it.
var (
	errAmbiguousFraming = errors.New("framing that is not certain")
	errResponseTooLarge = errors.New("response body exceeds the size limit")
)

// httpConn is a connection from which HTTP messages are read within size limits.
type httpConn struct {
	net.Conn
	reader     *bufio.Reader
	readLimit  io.LimitedReader // N is how many more bytes may be read from the connection
	headMemory *memoryBudget    // for the buffers of heads; nil: unlimited
}

// stickyErrorConn repeats the first read error other than a timeout. The kernel reports a reset only once
// and then io.EOF, which would pass for the end of a response without a length.
type stickyErrorConn struct {
	net.Conn
	err error
}

func (c *stickyErrorConn) Read(b []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(b)
	if !isDeadlineError(err) {
		c.err = err
	}
	return n, err
}

// newHTTPConn wraps a connection, with a read buffer of the given size.
func newHTTPConn(raw net.Conn, buffer int) *httpConn {
	c := &httpConn{Conn: raw}
	c.readLimit.R = &stickyErrorConn{Conn: raw}
	c.reader = bufio.NewReaderSize(&c.readLimit, buffer)
	return c
}

// parseDigits parses a decimal number without sign or spaces.
func parseDigits(text string) (uint64, bool) {
	if text == "" || strings.Trim(text, "0123456789") != "" {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return n, err == nil
}

// bodyReader reads the body of a message. It returns io.EOF only at the end of a complete body. It lifts readLimit: its
// callers limit what they read.
type bodyReader interface {
	io.Reader
	// Read waits only if nothing has arrived.
	//
	// await waits until Read has something to return. A caller needs no buffer meanwhile, and can go on behind a timeout.
	// Read returns any other error again.
	await() error
}

// awaitInput waits until bytes can be read without a wait, or none will come.
func (c *httpConn) awaitInput() error {
	c.readLimit.N = math.MaxInt64
	if c.reader.Buffered() > 0 || unreadBytes(c.Conn) > 0 {
		return nil
	}
	_, err := c.reader.Peek(1)
	return err
}

// sizedBody reads a body with a Content-Length.
type sizedBody struct {
	conn      *httpConn
	remaining int64
}

func (b *sizedBody) await() error {
	if b.remaining == 0 {
		return nil
	}
	return b.conn.awaitInput()
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

// untilCloseBody reads a body that ends when the connection closes.
type untilCloseBody struct{ conn *httpConn }

func (b untilCloseBody) await() error { return b.conn.awaitInput() }

func (b untilCloseBody) Read(p []byte) (int, error) {
	b.conn.readLimit.N = math.MaxInt64
	return b.conn.reader.Read(p)
}

// upstreamResponse is the part of an upstream's response head that the balancer uses, and a reader of its body.
type upstreamResponse struct {
	status      int
	contentType string
	loadReports []string // values of X-Load
	notRun      bool     // the upstream states that the request was not executed
	body        bodyReader
	length      int64 // of the body; -1: unknown before its end
	closeAfter  bool  // the connection can't be reused
}

// readResponse reads the head of an upstream's response and skips interim responses. It fails if the end of
// the body would be ambiguous.
func (c *httpConn) readResponse() (upstreamResponse, error) {
	c.readLimit.N = maxHeadBytes
	for range maxInterimResponses + 1 {
		h, err := c.readHead()
		if err != nil {
			return upstreamResponse{}, err
		}
		r, err := c.parseResponse(&h)
		if h.release(); err != nil || r.status >= http.StatusOK {
			return r, err
		}
	}
	return upstreamResponse{}, errHeadTooLong
}

// parseResponse interprets the head of a response. That of an interim response has no body.
func (c *httpConn) parseResponse(h *head) (upstreamResponse, error) {
	statusText, ok := strings.CutPrefix(h.startLine(), "HTTP/1.1 ")
	statusText, _, _ = strings.Cut(statusText, " ")
	status, isNumber := parseDigits(statusText)
	if !ok || !isNumber || len(statusText) != 3 || status < 100 || status == http.StatusSwitchingProtocols {
		return upstreamResponse{}, errMalformedHead // requests never ask for a protocol switch
	}
	r := upstreamResponse{status: int(status), contentType: h.get("Content-Type"), loadReports: h.values("X-Load"),
		notRun: h.get("X-Not-Run") == "1", length: -1, closeAfter: wantsClose(h)}
	encodings, lengths := h.values("Transfer-Encoding"), h.values("Content-Length")
	switch n, isLength := parseDigits(strings.Join(lengths, ",")); {
	case status < http.StatusOK:
	case status == http.StatusNoContent || status == http.StatusNotModified: // never have a body
		r.body, r.length = &sizedBody{c, 0}, 0
	case len(encodings) == 1 && len(lengths) == 0 && strings.EqualFold(encodings[0], "chunked"):
		r.body = c.newChunkedBody()
	case len(encodings) == 0 && isLength && n > maxBodyBytes:
		return upstreamResponse{}, errResponseTooLarge
	case len(encodings) == 0 && isLength:
		r.body, r.length = &sizedBody{c, int64(n)}, int64(n)
	case len(encodings) == 0 && len(lengths) == 0:
		r.body, r.closeAfter = untilCloseBody{c}, true
	default: // conflicting lengths, an unknown encoding, or both a length and an encoding
		return upstreamResponse{}, errAmbiguousFraming
	}
	return r, nil
}

// connectionOptions returns the options that the Connection fields of a header list.
func connectionOptions(h *head) iter.Seq[string] {
	return func(yield func(string) bool) {
		for _, list := range h.values("Connection") {
			for option := range strings.SplitSeq(list, ",") {
				if !yield(strings.TrimSpace(option)) {
					return
				}
			}
		}
	}
}

// wantsClose reports whether a header asks to close the connection after its message.
func wantsClose(h *head) bool {
	for option := range connectionOptions(h) {
		if strings.EqualFold(option, "close") {
			return true
		}
	}
	return false
}

// headersNotForwarded names the hop-by-hop fields, and the fields that message.bytes writes itself.
var headersNotForwarded = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true,
	"Host": true, "X-Deadline-Ms": true, "Proxy-Authenticate": true, "Proxy-Authorization": true}

// headBuffers holds buffers in which request heads are rendered.
var headBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// lastChunk ends a body in chunked encoding.
const lastChunk = "0\r\n\r\n"

// message is a client's request as it is forwarded to upstreams. Method, path, query and body are
// unchanged; bytes writes the request line, Host and X-Deadline-Ms for each attempt.
type message struct {
	methodAndTarget string // as in the request line
	head            head   // its fields
	host            string
	body            []byte  // the buffered part
	rest            *upload // the streamed part; nil: none
}

// release drops the head and the buffered body, and returns their memory. That of the body is of the given budget.
// Attempts have copies of the message.
func (m *message) release(bodies *memoryBudget) {
	bodies.free(m.body)
	m.head.release()
	m.body, m.head = nil, head{}
}

// bytes renders m for an attempt with the given timeout. A small buffered body is part of head. Otherwise
// it is returned as tail, to be written after head.
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
	for name, value := range m.head.fields() {
		if !headersNotForwarded[string(name)] {
			b.Write(name)
			b.WriteString(": ")
			b.Write(value)
			b.WriteString("\r\n")
		}
	}
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
