package proxy

import (
	"bytes"
	"errors"
	"io"
	"math"
	"net"
	"strconv"
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
		case b.last && n > 0, !b.last && n > 0 && !b.moreBuffered():
			return n, nil
		case b.last:
			return 0, b.readTrailer()
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

// moreBuffered reports whether data, or the whole head of the next chunk, is in the connection's buffer.
func (b *chunkedBody) moreBuffered() bool {
	if b.remaining > 0 {
		return b.conn.reader.Buffered() > 0
	}
	buffered, _ := b.conn.reader.Peek(b.conn.reader.Buffered())
	return bytes.IndexByte(buffered[min(len(buffered), b.lineEndLength()):], '\n') >= 0
}

// lineEndLength returns the length of the line end that precedes the head of the next chunk.
func (b *chunkedBody) lineEndLength() int {
	if b.afterData {
		return len("\r\n")
	}
	return 0
}

// readChunkHead reads the head of the next chunk. If it fails with a timeout it can be called again.
func (b *chunkedBody) readChunkHead() error {
	lineEnd := b.lineEndLength()
	line, err := b.conn.peekLine(lineEnd)
	if err != nil {
		return err
	}
	if b.afterData && !bytes.HasPrefix(line, []byte("\r\n")) {
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

// parseChunkHead returns the size in a chunk's head, without extensions. It refuses a line that ends in a bare line
// feed, which another recipient could take for a part of it.
func parseChunkHead(line []byte) (size int64, ok bool) {
	if bytes.IndexByte(line, '\r') != len(line)-len("\r\n") {
		return 0, false
	}
	digits, _, _ := bytes.Cut(bytes.TrimRight(line, " \t\r\n"), []byte(";"))
	if bytes.ContainsAny(digits, "+-_") {
		return 0, false
	}
	size, err := strconv.ParseInt(string(digits), 16, 64)
	return size, err == nil && size <= math.MaxInt64/4 && len(digits) <= 16
}

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
