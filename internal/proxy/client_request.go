package proxy

import (
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"garnettide"
)

// This file reads and validates the requests of clients.

// refusal is an error for which a request is refused before it reaches the Balancer, with the status and
// text of the response.
type refusal struct {
	status     int
	reason     string
	retryAfter time.Duration // 0: not told
	inUpload   bool          // the client is sending a long body, and may read the response behind it
}

func (r *refusal) Error() string { return r.reason }

// badRequest returns a refusal with status 400.
func badRequest(format string, args ...any) error {
	return &refusal{status: http.StatusBadRequest, reason: fmt.Sprintf(format, args...)}
}

var (
	errRequestTooLarge = &refusal{status: http.StatusRequestEntityTooLarge, reason: "the body is over the bound"}
	errPipelined       = badRequest("bytes behind a request that is not answered yet")
)

// singletonHeaders names the header fields that a request may contain only once.
var singletonHeaders = []string{"Host", "Content-Length", "X-Request-Id", "X-Class", "X-Tenant", "X-Deadline-Ms",
	"Idempotency-Key", "X-Retry", "X-Cost-Hint", "X-Extras", "Cookie"}

// readRequest reads and validates a client's request. A nil request without an error is a health check of
// this balancer. clientCloses reports that the client asks to close the connection after the response.
func (f *frontend) readRequest(c *client) (req *request, clientCloses bool, err error) {
	h, err := c.readHead()
	if err != nil {
		return nil, false, err
	}
	clientCloses = wantsClose(&h)
	if req, err = f.validateRequest(c, &h); req == nil {
		h.release()
	}
	return req, clientCloses, err
}

// validateRequest validates a request with the given head, and reads its body. A nil request without an error is a
// health check.
func (f *frontend) validateRequest(c *client, h *head) (*request, error) {
	method, rest, _ := strings.Cut(h.startLine(), " ")
	target, version, _ := strings.Cut(rest, " ")
	if version != "HTTP/1.1" {
		return nil, &refusal{status: http.StatusHTTPVersionNotSupported, reason: "HTTP/1.1 is wanted"}
	}
	if name := h.repeated(singletonHeaders); name != "" {
		return nil, badRequest("%s stands there more than once", name)
	}
	if method == http.MethodGet && target == "/healthz" && h.get("X-Request-Id") == "" {
		return nil, nil
	}
	req, err := f.parseRequest(method, target, h)
	if err != nil {
		return nil, err
	}
	if err := f.readBody(c, req, method, h); err != nil {
		return nil, err
	}
	if req.message.rest == nil && c.reader.Buffered() > 0 {
		f.memory.free(req.message.body)
		return nil, errPipelined
	}
	req.at = f.now() // the deadline counts from the request's last byte
	return req, nil
}

// readBody reads a request's body as far as it can be buffered. What remains is set up to be streamed.
// Framing that an upstream could interpret differently is refused, to prevent request smuggling.
func (f *frontend) readBody(c *client, req *request, method string, h *head) error {
	encodings := h.values("Transfer-Encoding")
	length, hasLength := h.lookup("Content-Length")
	n, ok := parseDigits(length)
	var body bodyReader
	switch {
	case len(encodings) > 0 && hasLength:
		return badRequest("both Content-Length and Transfer-Encoding")
	case len(encodings) == 1 && strings.EqualFold(encodings[0], "chunked"):
		body, n = c.newChunkedBody(), 0
	case len(encodings) > 1 || strings.Count(strings.ToLower(strings.Join(encodings, ",")), "chunked") > 1:
		return badRequest("Transfer-Encoding stands there more than once")
	case len(encodings) > 0:
		return &refusal{status: http.StatusNotImplemented, reason: "no Transfer-Encoding but chunked"}
	case length == "" && method == http.MethodGet:
		return nil
	case length == "":
		return &refusal{status: http.StatusLengthRequired, reason: "a Content-Length is wanted, or chunks"}
	case !ok && strings.Trim(length, "0123456789") != "":
		return badRequest("Content-Length is no number")
	case !ok || n > maxBodyBytes:
		return errRequestTooLarge
	case n > 0 && method == http.MethodGet:
		return badRequest("GET with a body")
	case n == 0:
		return nil
	case n > maxBufferedBody && f.refusesUploads.Load():
		return &refusal{status: http.StatusServiceUnavailable, reason: "too many uploads are in progress",
			retryAfter: f.plan.Load().TransferRetryAfter(), inUpload: true}
	default:
		body = &sizedBody{c.httpConn, int64(n)}
	}
	if expects := h.get("Expect"); strings.EqualFold(expects, "100-continue") {
		if c.reader.Buffered() == 0 {
			io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n") // an error also fails the read below
		}
	} else if expects != "" {
		return &refusal{status: http.StatusExpectationFailed, reason: "nothing but 100-continue is expected here"}
	}
	c.timed.readingBody = true
	buffered, complete, err := f.memory.collect(body, func() bool {
		c.timed.slicer.checkTime()
		return true
	})
	if err != nil {
		return err
	}
	if req.message.body = buffered; complete && method == http.MethodGet && len(buffered) > 0 {
		f.memory.free(buffered)
		return badRequest("GET with a body")
	} else if complete {
		return nil
	}
	rest := &upload{body: body, length: int64(n), pipe: newBodyPipe(f.memory), client: c.timed.Conn}
	if len(encodings) > 0 {
		rest.length = -1
	}
	req.message.rest = rest
	return nil
}

// parseRequest validates the target and the header fields and returns the request without its body. A
// malformed field is refused rather than guessed at.
func (f *frontend) parseRequest(method, target string, h *head) (*request, error) {
	class := f.plan.Load().Class(h.get("X-Class"))
	path, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "?")
	first, _, _ := strings.Cut(path, "/")
	id := h.get("X-Request-Id")
	key, hasKey := h.lookup("Idempotency-Key")
	switch {
	case !strings.HasPrefix(target, "/") ||
		strings.ContainsFunc(target, func(r rune) bool { return r <= ' ' || r >= 0x7f }):
		return nil, badRequest("the target is no path")
	case h.get("Host") == "":
		return nil, badRequest("Host is wanted")
	case class == nil:
		return nil, badRequest("X-Class names no known class")
	case first != class.Name:
		return nil, badRequest("the path does not begin with the class")
	case id == "":
		return nil, badRequest("X-Request-Id is wanted")
	case (class.Idempotency == garnettide.Idempotent) != (method == http.MethodGet),
		class.Idempotency != garnettide.Idempotent && method != http.MethodPost:
		return nil, badRequest("the method does not fit the class")
	case (class.Idempotency == garnettide.IdempotentByKey) != (key != ""), key == "" && hasKey:
		return nil, badRequest("Idempotency-Key does not fit the class")
	}
	req := &request{clientRequestID: id, responseCh: make(chan clientResponse, 1)}
	req.Class, req.ClassSettings, req.Tenant, req.Retry = class.Name, class, h.get("X-Tenant"), h.get("X-Retry") == "1"
	req.Budget = class.Deadline
	if deadline, found := h.lookup("X-Deadline-Ms"); found {
		ms, ok := parseDigits(deadline)
		if !ok || ms == 0 {
			return nil, badRequest("X-Deadline-Ms is no time")
		}
		req.Budget = time.Duration(min(ms, uint64(req.Budget.Milliseconds()))) * time.Millisecond
	}
	req.Budget = max(0, req.Budget-clientDeadlineMargin)
	if hint, found := h.lookup("X-Cost-Hint"); found {
		us, ok := parseDigits(hint)
		if !ok {
			return nil, badRequest("X-Cost-Hint is no number")
		}
		// A hint above the class's deadline is ignored: it would distort the average cost.
		if us <= uint64(class.Deadline.Microseconds()) {
			req.Cost = time.Duration(us) * time.Microsecond
		}
	}
	if c, err := (&http.Request{Header: http.Header{"Cookie": h.values("Cookie")}}).Cookie("obj"); err == nil {
		req.HasKey = true
		if req.Key, err = strconv.ParseUint(c.Value, 16, 64); err != nil {
			req.Key = uint64(hashText(c.Value))
		}
	}
	h.remove(connectionHeaders(h))
	req.message = message{methodAndTarget: method + " " + target, head: *h, host: h.get("Host")}
	return req, nil
}

// connectionHeaders returns the names, in canonical form, of the fields that are meant for this connection only. It
// leaves out those that the protocol requires.
func connectionHeaders(h *head) map[string]bool {
	names := map[string]bool{}
	for option := range connectionOptions(h) {
		if name := textproto.CanonicalMIMEHeaderKey(option); !slices.Contains(singletonHeaders, name) {
			names[name] = true
		}
	}
	return names
}
