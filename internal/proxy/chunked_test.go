package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"garnettide"
)

// maxHoldBack is how long bytes of a begun response may be held back.
const maxHoldBack = 2 * time.Second

// TestPartOfChunkIsForwarded guards against holding back what an upstream has given of a chunk while the rest of the
// chunk, or the head of the next one, does not come; also where the response has hardly begun.
func TestPartOfChunkIsForwarded(t *testing.T) {
	for name, tt := range map[string]struct {
		before   string // what the upstream writes before it falls silent
		expected int    // bytes of the body in it
		rest     string
	}{
		"start of the first chunk": {fmt.Sprintf("%x\r\n%s", 30000, zeros(20000)), 20000, zeros(10000) + "\r\n0\r\n\r\n"},
		"long part of a chunk":     {fmt.Sprintf("%x\r\n%s", 200000, zeros(105000)), 105000, zeros(95000) + "\r\n0\r\n\r\n"},
		"part of a chunk's head":   {"5\r\nzzzzz\r\n1", 5, "0\r\n" + zeros(16) + "\r\n0\r\n\r\n"},
		"head of a chunk":          {"5\r\nzzzzz\r\n10\r\n", 5, zeros(16) + "\r\n0\r\n\r\n"},
		"last chunk":               {"5\r\nzzzzz\r\n0\r\n", 5, "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const silence = 6 * time.Second
				b := newMemBalancer(t, newEmptyPipe(t), dialBlocked, func(*Config, *garnettide.Settings) {})
				close(b.connectGate)
				b.sendList(50, b.addUpstream(func(c net.Conn, _ *http.Request) bool {
					io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+tt.before)
					time.Sleep(silence)
					io.WriteString(c, tt.rest)
					return true
				}).member("s-00000001"))
				conn := b.connectClient()
				begin := time.Now()
				writeEmptyCheckin(conn, "1")
				received := 0
				buffer := make([]byte, 64<<10)
				for received < tt.expected {
					conn.SetReadDeadline(begin.Add(maxHoldBack))
					n, err := conn.Read(buffer)
					received += bytes.Count(buffer[bodyStart(buffer[:n]):n], []byte(zeroByte))
					if err != nil {
						t.Fatalf("got %d of %d bytes that the upstream had given %v ago, then %v", received, tt.expected,
							time.Since(begin), err)
					}
				}
				conn.Close()
				time.Sleep(2 * silence)
				b.expireAndStop()
			})
		})
	}
}

// TestSlowChunkIsNotCutOff guards against ending a response whose upstream writes a chunk slowly but without a pause: the
// time that a peer may be silent counted for the whole buffer that the chunk was to fill.
func TestSlowChunkIsNotCutOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, pieces = 12000, 24
		b := newMemBalancer(t, newEmptyPipe(t), dialBlocked, func(*Config, *garnettide.Settings) {})
		close(b.connectGate)
		b.sendList(50, b.addUpstream(func(c net.Conn, _ *http.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", size)
			for range pieces {
				time.Sleep(time.Second)
				if _, err := io.WriteString(c, zeros(size/pieces)); err != nil {
					return false
				}
			}
			io.WriteString(c, "\r\n0\r\n\r\n")
			return true
		}).member("s-00000001"))
		conn := b.connectClient()
		writeEmptyCheckin(conn, "1")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := io.ReadAll(resp.Body); err != nil || len(body) != size {
			t.Errorf("got %d of %d bytes, error %v", len(body), size, err)
		}
		conn.Close()
		b.expireAndStop()
	})
}

// zeroByte is the only byte of the bodies of zeros, and occurs in no head of their chunks that the balancer writes.
const zeroByte = "z"

// zeros returns a body of n bytes.
func zeros(n int) string { return strings.Repeat(zeroByte, n) }

// bodyStart returns the index behind the head of a response, or 0 if the text has none.
func bodyStart(text []byte) int {
	if !bytes.HasPrefix(text, []byte("HTTP/")) {
		return 0
	}
	return bytes.Index(text, []byte("\r\n\r\n"))
}

// scriptedConn is a connection from which given pieces are read, one by each call.
type scriptedConn struct {
	net.Conn
	pieces [][]byte
}

func (c *scriptedConn) Read(p []byte) (int, error) {
	if len(c.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.pieces[0])
	if c.pieces[0] = c.pieces[0][n:]; len(c.pieces[0]) == 0 {
		c.pieces = c.pieces[1:]
	}
	return n, nil
}

// FuzzChunkedBody guards against reading a chunked body otherwise than net/http does, wherever its bytes are cut.
func FuzzChunkedBody(f *testing.F) {
	for _, body := range []string{"5\r\nhello\r\n0\r\n\r\n", "5;a=b\r\nhello\r\n10 \t\r\n0123456789abcdef\r\n0\r\nX: 1\r\n\r\n",
		"5\nhello\r\n0\r\n\r\n", "5\r\nhello0\r\n\r\n", "-5\r\nhello\r\n0\r\n\r\n", "\r\n", "0\r\n\r\n", "5\r\nhel", "g\r\n",
		"00000000000000005\r\nhello\r\n0\r\n\r\n", "ffffffffffffffff\r\nhello", "5\r\rhello\r\n0\r\n\r\n", ";\r\n\r\n",
		strings.Repeat("1;"+strings.Repeat("x", 1000)+"\r\na\r\n", 20) + "0\r\n\r\n"} {
		f.Add([]byte(body), 1)
		f.Add([]byte(body), 7)
		f.Add([]byte(body), 5000)
	}
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		var pieces [][]byte
		for rest := text; len(rest) > 0; {
			n := min(len(rest), max(1, cut))
			pieces, rest = append(pieces, rest[:n]), rest[n:]
		}
		c := newHTTPConn(&scriptedConn{pieces: pieces}, clientReadBuffer)
		got, gotErr := io.ReadAll(io.LimitReader(c.newChunkedBody(), 1<<20))
		expected, err := io.ReadAll(io.LimitReader(httputil.NewChunkedReader(bytes.NewReader(text)), 1<<20))
		switch {
		case err == nil && !bytes.Equal(got, expected): // the error may be one of the trailer, which net/http reads elsewhere
			if gotErr == nil || !hasLongLine(text) {
				t.Fatalf("%q: got %q, error %v; net/http: %q", text, got, gotErr, expected)
			}
		case err != nil && gotErr == nil:
			t.Fatalf("%q is accepted, net/http: %v", text, err)
		case err != nil && !bytes.HasPrefix(expected, got) && !bytes.HasPrefix(got, expected):
			t.Fatalf("%q: got %q, error %v; net/http: %q, error %v", text, got, gotErr, expected, err)
		}
	})
}

// hasLongLine reports whether a text has a line that does not fit the read buffer.
func hasLongLine(text []byte) bool {
	for line := range bytes.Lines(text) {
		if len(line)+len("\r\n") > clientReadBuffer {
			return true
		}
	}
	return false
}

// BenchmarkTinyChunks measures the reading of a body in chunks of one byte.
func BenchmarkTinyChunks(b *testing.B) {
	const chunks = 4096
	text := []byte(strings.Repeat("1\r\nb\r\n", chunks) + lastChunk)
	part := make([]byte, bodyBufferSize)
	for b.Loop() {
		body := newHTTPConn(&scriptedConn{pieces: [][]byte{text}}, clientReadBuffer).newChunkedBody()
		for {
			if _, err := body.Read(part); err == io.EOF {
				break
			} else if err != nil {
				b.Fatal(err)
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/chunks, "ns/chunk")
}
