package proxy

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net"
	"unicode"
)

// maxChunkOverhead limits the bytes of framing beyond those that a usual sender needs, so that a body of little data is
// not hidden in much framing. It is the limit of net/http/httputil.
const maxChunkOverhead = 16 << 10

// chunkedBody reads a body in chunked encoding (RFC 9112, section 7.1). The reader of net/http/httputil is not used:
// within a chunk it waits until the caller's buffer is full. The trailer is read and discarded, which HTTP permits.
type chunkedBody struct {
	conn      *httpConn
	remaining uint64 // bytes of the current chunk that have not been read
	afterData bool   // a line end that follows a chunk's data has not been read
	last      bool   // the head of the last chunk, which has no data, has been read
	overhead  int64  // see maxChunkOverhead
}

// newChunkedBody returns a reader of the chunked body that follows a head.
func (c *httpConn) newChunkedBody() *chunkedBody { return &chunkedBody{conn: c} }

func (b *chunkedBody) await() error {
	b.conn.readLimit.N = math.MaxInt64
	for b.remaining == 0 && !b.last {
		if err := b.readChunkHead(); err != nil {
			return err
		}
	}
	if b.last {
		_, err := b.conn.peekLine(0) // of the trailer
		return err
	}
	return b.conn.awaitInput()
}

func (b *chunkedBody) Read(p []byte) (n int, err error) {
	b.conn.readLimit.N = math.MaxInt64
	for n < len(p) {
		switch {
		case b.last && n > 0, b.remaining > 0 && n > 0 && b.conn.reader.Buffered() == 0:
			return n, nil
		case b.last:
			return 0, b.readTrailer()
		case b.remaining == 0 && n > 0:
			line := b.bufferedChunkHead()
			if line == nil {
				return n, nil
			}
			if err := b.takeChunkHead(line); err != nil {
				return n, err
			}
		case b.remaining == 0:
			if err := b.readChunkHead(); err != nil {
				return n, bodyError(err)
			}
		default:
			read, err := b.conn.reader.Read(p[n:min(uint64(len(p)), uint64(n)+b.remaining)])
			n += read
			b.remaining -= uint64(read)
			b.afterData = b.remaining == 0
			if err != nil {
				return n, bodyError(err)
			}
		}
	}
	return n, nil
}

// lineEndLength returns the length of the line end that precedes the head of the next chunk.
func (b *chunkedBody) lineEndLength() int {
	if b.afterData {
		return len("\r\n")
	}
	return 0
}

// bufferedChunkHead returns the head of the next chunk, with the line end before it, if it has arrived whole, or else nil.
func (b *chunkedBody) bufferedChunkHead() []byte {
	buffered, _ := b.conn.reader.Peek(b.conn.reader.Buffered())
	for i := b.lineEndLength(); i < len(buffered); i++ { // heads are short
		if buffered[i] == '\n' {
			return buffered[:i+1]
		}
	}
	return nil
}

// readChunkHead reads the head of the next chunk. If it fails with a timeout it can be called again.
func (b *chunkedBody) readChunkHead() error {
	line, err := b.conn.peekLine(b.lineEndLength())
	if err != nil {
		return err
	}
	return b.takeChunkHead(line)
}

// takeChunkHead consumes the head of the next chunk, which is at the beginning of the connection's buffer.
func (b *chunkedBody) takeChunkHead(line []byte) error {
	lineEnd := b.lineEndLength()
	if b.afterData && (line[0] != '\r' || line[1] != '\n') {
		return errAmbiguousFraming
	}
	size, ok := parseChunkHead(line[lineEnd:])
	if !ok {
		return errAmbiguousFraming
	}
	b.overhead = max(0, b.overhead+int64(len(line)-lineEnd)+int64(len("\r\n"))-16-2*size)
	if b.overhead > maxChunkOverhead {
		return errAmbiguousFraming
	}
	b.conn.reader.Discard(len(line)) // never fails: the bytes are buffered
	b.remaining, b.last, b.afterData = uint64(size), size == 0, false
	return nil
}

// maxChunkDigits is the length of the largest size in a chunk's head, and maxChunkSize leaves room for sums of sizes.
const (
	maxChunkDigits = 16
	maxChunkSize   = math.MaxInt64 / 4
)

// parseChunkHead returns the size in a chunk's head, without extensions. It refuses a line that ends in a bare line
// feed, which another recipient could take for a part of it.
func parseChunkHead(line []byte) (size int64, ok bool) {
	text, hasEnd := bytes.CutSuffix(line, []byte("\r\n"))
	if !hasEnd {
		return 0, false
	}
	digits, value := 0, uint64(0)
	for ; digits < len(text) && digits < maxChunkDigits && hexValues[text[digits]] != notHex; digits++ {
		value = value<<4 | uint64(hexValues[text[digits]])
	}
	if digits == 0 || value > maxChunkSize || !isChunkHeadEnd(text[digits:]) {
		return 0, false
	}
	return int64(value), true
}

// isChunkHeadEnd reports whether text may follow the size in a chunk's head: an extension, or spaces that are ignored.
func isChunkHeadEnd(text []byte) bool {
	if len(text) == 0 {
		return true
	}
	if text[0] == ';' {
		return bytes.IndexByte(text, '\r') < 0
	}
	return len(bytes.Trim(text, " \t")) == 0
}

// notHex is the entry of hexValues of a byte that is no hexadecimal digit.
const notHex = 0xff

// hexValues has the value of each byte as a hexadecimal digit.
var hexValues = func() (values [256]uint8) {
	for i := range values {
		values[i] = notHex
	}
	for value, digit := range "0123456789abcdef" {
		values[digit] = uint8(value)
		values[unicode.ToUpper(digit)] = uint8(value)
	}
	return values
}()

// readTrailer reads and discards the trailer. It returns io.EOF at its end.
func (b *chunkedBody) readTrailer() error {
	b.conn.readLimit.N = maxHeadBytes
	if err := b.conn.discardTrailer(); errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	} else if err != nil {
		return err
	}
	return io.EOF
}

// peekLine returns the buffered bytes up to the first line feed behind the first skip bytes, and consumes nothing. It
// waits until they have arrived. A line that does not fit the buffer is an error.
func (c *httpConn) peekLine(skip int) ([]byte, error) {
	for {
		buffered, _ := c.reader.Peek(c.reader.Buffered())
		if len(buffered) > skip {
			if end := bytes.IndexByte(buffered[skip:], '\n'); end >= 0 {
				return buffered[:skip+end+1], nil
			}
		}
		if len(buffered) == c.reader.Size() {
			return nil, errAmbiguousFraming
		}
		if _, err := c.reader.Peek(len(buffered) + 1); err != nil {
			return nil, err
		}
	}
}

// bodyError returns the error of a body that ends early for an error of its connection, and errAmbiguousFraming for any
// other error.
func bodyError(err error) error {
	if netErr := net.Error(nil); errors.As(err, &netErr) {
		return err
	} else if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return io.ErrUnexpectedEOF
	}
	return errAmbiguousFraming
}
