package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// This file writes responses to clients.

// clientResponse is a response to a client.
type clientResponse struct {
	status         int
	body           []byte
	contentType    string
	retryAfter     time.Duration
	responseStream *responseStream // a streamed response's body; nil: body holds all of it
}

// refuse responds to a request that can't be served. The caller then closes the connection, because the
// start of the client's next request is unknown. Connection errors get no response.
func (f *frontend) refuse(c *client, err error) {
	f.setClosing(c)
	r := &refusal{status: http.StatusBadRequest, reason: err.Error()}
	if isDeadlineError(err) {
		if c.timed.evicted.Load() {
			return
		}
		r = &refusal{status: http.StatusRequestTimeout, reason: "the request did not come whole in time"}
	} else if errors.Is(err, errHeadTooLong) {
		r.status = http.StatusRequestHeaderFieldsTooLarge
	} else if !errors.As(err, &r) && !errors.Is(err, errMalformedHead) && !errors.Is(err, errAmbiguousFraming) {
		return
	}
	f.traffic.count(r.trafficReason(), "")
	if c.writeResponse(clientResponse{status: r.status, body: []byte(r.reason + "\n"), contentType: "text/plain",
		retryAfter: r.retryAfter}, true) != nil {
		return
	}
	if r.inUpload {
		c.lingeringClose(earlyResponseLingerTimeout, maxBodyBytes)
		return
	}
	c.lingeringClose(clientLingerTimeout, maxClientLingerBytes)
}

// trafficReason returns the reason under which the refusal is counted.
func (r *refusal) trafficReason() trafficReason {
	switch {
	case r.inUpload:
		return requestShed
	case r.status == http.StatusServiceUnavailable:
		return requestWithoutMemory
	}
	return requestInvalid
}

// renderHead returns a response's status line and header. framing is the header line that tells how the body
// ends. closing adds "Connection: close".
func renderHead(resp clientResponse, framing string, closing bool) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%s", resp.status, http.StatusText(resp.status), framing)
	if resp.contentType != "" {
		fmt.Fprintf(&b, "Content-Type: %s\r\n", resp.contentType)
	}
	if resp.retryAfter > 0 {
		fmt.Fprintf(&b, "Retry-After: %.3f\r\n", resp.retryAfter.Seconds())
	}
	if closing {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// writeResponse writes a buffered response. On an error the client has closed or can tell that the response
// is incomplete.
func (c *client) writeResponse(resp clientResponse, closing bool) error {
	b := renderHead(resp, fmt.Sprintf("Content-Length: %d\r\n", len(resp.body)), closing)
	if len(resp.body) <= bodyBufferSize {
		return writeFully(c, append(b, resp.body...))
	}
	if err := writeFully(c, b); err != nil {
		return err
	}
	return writeFully(c, resp.body)
}

// forwardResponse streams a response to the client and sends the result to r.done. If it fails, the client can
// tell that the response is incomplete.
func (c *client) forwardResponse(r *responseStream, contentType string, closing bool, w *clientWatcher) error {
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case err := <-w.readDone:
			w.readDone <- err
			if err != nil && !errors.Is(err, errBodyUnwanted) { // the client has closed, so the response has no reader
				r.conn.Close()
			}
		case <-done:
		}
	}()
	err := c.writeStream(r, contentType, closing)
	r.done <- err
	return err
}

// writeStream writes a streamed response's head, the buffered part of its body, and the rest as it is read
// from the upstream.
func (c *client) writeStream(r *responseStream, contentType string, closing bool) error {
	chunked := r.length < 0
	framing := "Transfer-Encoding: chunked\r\n"
	if !chunked {
		framing = fmt.Sprintf("Content-Length: %d\r\n", r.length)
	}
	if err := writeFully(c, renderHead(clientResponse{status: http.StatusOK, contentType: contentType}, framing,
		closing)); err != nil {
		return err
	}
	if err := c.writeBuffered(r, chunked); err != nil {
		return err
	}
	for {
		err := c.forwardPart(r, chunked)
		if err == io.EOF && chunked {
			return writeFully(c, []byte(lastChunk))
		} else if err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// writeBuffered writes the part of a streamed response's body that has been read, and returns its memory.
func (c *client) writeBuffered(r *responseStream, chunked bool) error {
	defer r.freeBuffered()
	if len(r.buffered) == 0 {
		return nil
	}
	if !chunked {
		return writeFully(c, r.buffered)
	}
	if err := writeFully(c, fmt.Appendf(nil, "%x\r\n", len(r.buffered))); err != nil {
		return err
	}
	if err := writeFully(c, r.buffered); err != nil {
		return err
	}
	return writeFully(c, []byte("\r\n"))
}

// forwardPart reads a part of a streamed response's body from the upstream and writes it. It holds no buffer while the
// upstream is silent. It returns io.EOF once the whole body is written.
func (c *client) forwardPart(r *responseStream, chunked bool) error {
	r.conn.SetReadDeadline(time.Now().Add(bodyIdleTimeout))
	r.body.await()
	buffer := r.memory.acquireBuffer()
	defer r.memory.freeBuffer(buffer)
	var readErr error
	buffer.length, readErr = r.body.Read(buffer.space())
	if buffer.length > 0 {
		if err := writeFully(c, buffer.framed(chunked)); err != nil {
			return err
		}
	}
	return readErr
}
