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
	"time"
)

// This file reads and writes HTTP/1.1 messages. The readers of net/http are not used: they drop a
// Content-Length next to a Transfer-Encoding, so that a message with both can't be detected; they limit
// neither heads nor interim responses; and they accept a response without a length as complete wherever it
// ends. Header fields are parsed by net/textproto.

const (
	maxHeadBytes        = 16 << 10 // a start line and header; those of interim responses count with the final one's
	maxInterimResponses = 16       // 1xx responses before a final one

	maxBufferedBody = 64 << 10 // bytes of a body kept in memory; only a fully buffered body can be sent again
	maxBodyBytes    = 32 << 20 // a whole body, buffered and streamed parts together
	bodyBufferSize  = 16 << 10 // bytes of a streamed body per read and write: few calls, and hundreds of buffers fit
	minBodyBuffer   = 1 << 10  // bytes first allocated for a buffered body
)

// Errors in the messages of clients and upstreams. The texts of the first three are also written to clients
// whose requests cause them.
var (
	errMalformedHead    = errors.New("a head that can't be read")
	errHeadTooLong      = errors.New("a head over the bound")
	errAmbiguousFraming = errors.New("framing that is not certain")
	errResponseTooLarge = errors.New("response body exceeds the size limit")
)

// httpConn is a connection from which HTTP messages are read within size limits.
type httpConn struct {
	net.Conn
	reader     *bufio.Reader
	textReader *textproto.Reader
	readLimit  io.LimitedReader // N is how many more bytes may be read from the connection
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
	if timeout := net.Error(nil); !errors.As(err, &timeout) || !timeout.Timeout() {
		c.err = err
	}
	return n, err
}

// newHTTPConn wraps a connection, with a read buffer of the given size.
func newHTTPConn(raw net.Conn, buffer int) *httpConn {
	c := &httpConn{Conn: raw}
	c.readLimit.R = &stickyErrorConn{Conn: raw}
	c.reader = bufio.NewReaderSize(&c.readLimit, buffer)
	c.textReader = textproto.NewReader(c.reader)
	return c
}

// readHead reads a start line and a header. The caller sets readLimit.
func (c *httpConn) readHead() (string, textproto.MIMEHeader, error) {
	line, err := c.textReader.ReadLine()
	if err != nil {
		return "", nil, c.readError(err)
	}
	h, err := c.textReader.ReadMIMEHeader()
	if err != nil {
		return "", nil, c.readError(err)
	}
	for name := range h {
		if strings.Contains(name, " ") { // textproto accepts "Content-Length :", which upstreams may read as valid
			return "", nil, errMalformedHead
		}
	}
	return line, h, nil
}

// readError maps an error of reading a head to errHeadTooLong if the limit was reached and to
// errMalformedHead if the text is malformed. Connection errors are returned as they are.
func (c *httpConn) readError(err error) error {
	if c.readLimit.N <= 0 {
		return errHeadTooLong
	}
	if wrong := textproto.ProtocolError(""); errors.As(err, &wrong) {
		return fmt.Errorf("%w: %v", errMalformedHead, wrong)
	}
	return err
}

// parseDigits parses a decimal number without sign or spaces.
func parseDigits(text string) (uint64, bool) {
	if text == "" || strings.Trim(text, "0123456789") != "" {
		return 0, false
	}
	n, err := strconv.ParseUint(text, 10, 64)
	return n, err == nil
}

// The body readers return io.EOF only at the end of a complete body. They lift readLimit: their callers
// limit what they read.

// sizedBody reads a body with a Content-Length.
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

// chunkedBody reads a body in chunked encoding. The trailer is read and discarded, which HTTP permits.
type chunkedBody struct {
	conn    *httpConn
	decoder io.Reader
}

// newChunkedBody returns a reader of the chunked body that follows a head.
func (c *httpConn) newChunkedBody() *chunkedBody {
	return &chunkedBody{c, httputil.NewChunkedReader(c.reader)}
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

// untilCloseBody reads a body that ends when the connection closes.
type untilCloseBody struct{ conn *httpConn }

func (b untilCloseBody) Read(p []byte) (int, error) {
	b.conn.readLimit.N = math.MaxInt64
	return b.conn.reader.Read(p)
}

// bodyMemory limits the memory for buffered bodies, over all connections. available is in bytes.
type bodyMemory struct{ available atomic.Int64 }

// reserve takes n bytes and reports whether that many were available. If not, it takes none.
func (m *bodyMemory) reserve(n int) bool {
	if m.available.Add(-int64(n)) >= 0 {
		return true
	}
	m.available.Add(int64(n))
	return false
}

// free returns the memory of a buffer that collect has allocated.
func (m *bodyMemory) free(b []byte) { m.available.Add(int64(cap(b))) }

// collect reads a body into a buffer until the body is complete, maxBufferedBody is reached, no memory is
// available or more returns false. complete reports that the buffer holds the whole body. The buffer grows
// with the bytes received, not with the stated length. After an error nothing stays reserved.
func (m *bodyMemory) collect(body io.Reader, more func() bool) (b []byte, complete bool, err error) {
	for more() {
		if len(b) == cap(b) {
			grown := max(2*cap(b), minBodyBuffer)
			if grown > maxBufferedBody || !m.reserve(grown-cap(b)) {
				break
			}
			b = append(make([]byte, 0, grown), b...)
		}
		n, err := body.Read(b[len(b):cap(b)])
		if b = b[:len(b)+n]; err == io.EOF {
			return b, true, nil
		} else if err != nil {
			m.free(b)
			return nil, false, err
		}
	}
	return b, false, nil
}

// always is a condition for collect that never stops it.
func always() bool { return true }

// upstreamResponse is the head of an upstream's response, and a reader of its body.
type upstreamResponse struct {
	status     int
	header     textproto.MIMEHeader
	body       io.Reader
	length     int64 // of the body; -1: unknown before its end
	closeAfter bool  // the connection can't be reused
}

// readResponse reads the head of an upstream's response and skips interim responses. It fails if the end of
// the body would be ambiguous.
func (c *httpConn) readResponse() (upstreamResponse, error) {
	c.readLimit.N = maxHeadBytes
	for range maxInterimResponses + 1 {
		line, h, err := c.readHead()
		if err != nil {
			return upstreamResponse{}, err
		}
		statusText, ok := strings.CutPrefix(line, "HTTP/1.1 ")
		statusText, _, _ = strings.Cut(statusText, " ")
		status, isNumber := parseDigits(statusText)
		if !ok || !isNumber || len(statusText) != 3 || status < 100 || status == http.StatusSwitchingProtocols {
			return upstreamResponse{}, errMalformedHead // requests never ask for a protocol switch
		}
		if status < http.StatusOK {
			continue
		}
		r := upstreamResponse{status: int(status), header: h, length: -1, closeAfter: wantsClose(h)}
		encodings, lengths := h["Transfer-Encoding"], h["Content-Length"]
		switch n, isLength := parseDigits(strings.Join(lengths, ",")); {
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
	return upstreamResponse{}, errHeadTooLong
}

// wantsClose reports whether a header asks to close the connection after its message.
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

// headersNotForwarded names the hop-by-hop fields, and the fields that message.bytes writes itself.
var headersNotForwarded = map[string]bool{"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Content-Length": true,
	"Host": true, "X-Deadline-Ms": true, "Proxy-Authenticate": true, "Proxy-Authorization": true}

// headBuffers holds buffers in which request heads are rendered.
var headBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// bodyBuffers holds buffers through which bodies are streamed.
var bodyBuffers = sync.Pool{New: func() any { return new(bodyBuffer) }}

const (
	chunkHeadSize = 8 // room for the chunk size in hexadecimal digits and CRLF
	chunkTailSize = 2 // CRLF
)

// bodyBuffer holds body bytes, with room before and after them for the framing of a chunk.
type bodyBuffer [chunkHeadSize + bodyBufferSize + chunkTailSize]byte

// data returns the part of the buffer for body bytes.
func (b *bodyBuffer) data() []byte { return b[chunkHeadSize : chunkHeadSize+bodyBufferSize] }

// framed returns the first n data bytes as they are written to a connection: as one chunk if chunked, else
// as they are.
func (b *bodyBuffer) framed(n int, chunked bool) []byte {
	if !chunked || n == 0 { // an empty chunk would end the body
		return b[chunkHeadSize : chunkHeadSize+n]
	}
	head := strconv.AppendInt(nil, int64(n), 16)
	head = append(head, "\r\n"...)
	copy(b[chunkHeadSize-len(head):], head)
	copy(b[chunkHeadSize+n:], "\r\n")
	return b[chunkHeadSize-len(head) : chunkHeadSize+n+chunkTailSize]
}

// lastChunk ends a body in chunked encoding.
const lastChunk = "0\r\n\r\n"

// message is a client's request as it is forwarded to upstreams. Method, path, query and body are
// unchanged; bytes writes the request line, Host and X-Deadline-Ms for each attempt.
type message struct {
	methodAndTarget string // as in the request line
	header          http.Header
	host            string
	body            []byte  // the buffered part
	rest            *upload // the streamed part; nil: none
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
	m.header.WriteSubset(b, headersNotForwarded) // a bytes.Buffer returns no error
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
