package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"iter"
	"net/http"
	"slices"
)

// This file reads the heads of messages. Their fields are stored as text: each field of its own in a map takes some
// 90 bytes beside its text, and a head may hold thousands of short ones.

const (
	maxHeadBytes  = 16 << 10 // a start line and header; those of interim responses count with the final one's
	minHeadBuffer = 512      // bytes first allocated for a head
	// maxQuotedBytes limits how much of a malformed line an error quotes.
	maxQuotedBytes = 80
)

// Errors in the heads of clients' requests and upstreams' responses. The texts are also written to clients whose
// requests cause them.
var (
	errMalformedHead = errors.New("a head that can't be read")
	errHeadTooLong   = errors.New("a head over the bound")
	errHeadMemory    = &refusal{status: http.StatusServiceUnavailable, reason: "no memory is left for a head of this size"}
)

// head holds the start line and the header fields of a message, or only the fields of a trailer.
type head struct {
	// text has the start line and then the fields, each as its name in canonical form, a colon, its value with any
	// spaces around it, and a line feed.
	text     []byte
	fieldsAt int           // index in text of the first field
	budget   *memoryBudget // of buffers over uncountedBytes; nil: unlimited
}

// readHead reads a start line and a header. The caller sets readLimit, and releases the head.
func (c *httpConn) readHead() (head, error) {
	h := head{budget: c.headMemory}
	_, err := h.readLine(c.reader)
	h.fieldsAt = len(h.text)
	if err == nil {
		err = h.readFields(c.reader)
	}
	if err != nil {
		h.release()
		return head{}, c.readError(err)
	}
	return h, nil
}

// discardTrailer reads the trailer of a chunked body. The caller sets readLimit.
func (c *httpConn) discardTrailer() error {
	trailer := head{budget: c.headMemory}
	defer trailer.release()
	if err := trailer.readFields(c.reader); err != nil {
		return c.readError(err)
	}
	return nil
}

// readError returns errHeadTooLong in place of an error of reading a head if the limit was reached.
func (c *httpConn) readError(err error) error {
	if c.readLimit.N <= 0 {
		return errHeadTooLong
	}
	return err
}

// readFields reads fields up to the empty line that ends them.
func (h *head) readFields(r *bufio.Reader) error {
	for {
		begin, err := h.readLine(r)
		if err != nil {
			return err
		}
		if len(h.text) == begin {
			return nil
		}
		if err := h.storeField(begin); err != nil {
			return err
		}
	}
}

// readLine appends the next line to the text, without its line end, and returns the index at which it begins.
func (h *head) readLine(r *bufio.Reader) (begin int, err error) {
	begin = len(h.text)
	for more := true; more; {
		part, err := r.ReadSlice('\n')
		if more = errors.Is(err, bufio.ErrBufferFull); err != nil && !more {
			return begin, err
		}
		if err := h.grow(len(part)); err != nil {
			return begin, err
		}
		h.text = append(h.text, part...)
	}
	h.text = bytes.TrimSuffix(h.text, []byte("\n"))
	if len(h.text) > begin {
		h.text = bytes.TrimSuffix(h.text, []byte("\r"))
	}
	return begin, nil
}

// grow makes room for n more bytes of text. It fails with errHeadMemory if the budget is used up.
func (h *head) grow(n int) error {
	size := max(cap(h.text), minHeadBuffer)
	for size < len(h.text)+n {
		size *= 2
	}
	if size == cap(h.text) {
		return nil
	}
	if !h.budget.reserve(countedBytes(size) - countedBytes(cap(h.text))) {
		return errHeadMemory
	}
	h.text = append(make([]byte, 0, size), h.text...)
	return nil
}

// release returns the memory of the head to its budget.
func (h *head) release() { h.budget.release(countedBytes(cap(h.text))) }

// storeField checks the line that begins at an index, the last one, and makes a field of it.
func (h *head) storeField(begin int) error {
	line := h.text[begin:]
	if line[0] == ' ' || line[0] == '\t' {
		return h.continueField(begin)
	}
	name, value, hasColon := bytes.Cut(line, []byte(":"))
	if !hasColon || !isToken(name) || !isFieldValue(value) {
		return malformedLine(line)
	}
	canonicalise(name)
	h.text = append(h.text, '\n')
	return nil
}

// continueField joins the line that begins at an index, the last one, to the field before it.
func (h *head) continueField(begin int) error {
	line := h.text[begin:]
	if begin == h.fieldsAt || !isFieldValue(line) {
		return malformedLine(line)
	}
	h.text[begin-1] = ' ' // in place of the line feed
	h.text = append(h.text, '\n')
	return nil
}

// malformedLine returns an errMalformedHead that quotes the beginning of a line.
func malformedLine(line []byte) error {
	return fmt.Errorf("%w: field line %q", errMalformedHead, line[:min(len(line), maxQuotedBytes)])
}

// tokenChars tells for each byte whether tokens may hold it.
var tokenChars = func() (is [256]bool) {
	for _, c := range []byte("!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz") {
		is[c] = true
	}
	return is
}()

// isToken reports whether text is a token as defined by RFC 9110, section 5.6.2. Names of fields are tokens: no space
// may stand before the colon.
func isToken(text []byte) bool {
	for _, c := range text {
		if !tokenChars[c] {
			return false
		}
	}
	return len(text) > 0
}

// canonicalise changes the name of a field, a token, to its canonical form in place, as textproto.CanonicalMIMEHeaderKey
// does with a copy.
func canonicalise(name []byte) {
	const toLower = 'a' - 'A'
	upper := true
	for i, c := range name {
		switch {
		case upper && 'a' <= c && c <= 'z':
			name[i] = c - toLower
		case !upper && 'A' <= c && c <= 'Z':
			name[i] = c + toLower
		}
		upper = c == '-'
	}
}

// isFieldValue reports whether text holds no control characters but tabs.
func isFieldValue(text []byte) bool {
	for _, c := range text {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// startLine returns the start line.
func (h *head) startLine() string { return string(h.text[:h.fieldsAt]) }

// fields returns the names and values of the fields, in their order, without spaces around them. They are valid until
// the head is changed.
func (h *head) fields() iter.Seq2[[]byte, []byte] {
	return func(yield func(name, value []byte) bool) {
		for line := range bytes.Lines(h.text[h.fieldsAt:]) {
			name, value, _ := bytes.Cut(line, []byte(":"))
			if !yield(name, trimValue(value)) {
				return
			}
		}
	}
}

// trimValue returns the value at the end of a line of the text without the spaces around it and the line feed.
func trimValue(text []byte) []byte { return bytes.Trim(text, " \t\n") }

// withName returns the values of the fields with a name in canonical form.
func (h *head) withName(name string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for line := range bytes.Lines(h.text[h.fieldsAt:]) {
			if len(line) <= len(name) || line[len(name)] != ':' || string(line[:len(name)]) != name {
				continue
			}
			if !yield(string(trimValue(line[len(name)+len(":"):]))) {
				return
			}
		}
	}
}

// values returns the values of the fields with a name in canonical form.
func (h *head) values(name string) []string { return slices.Collect(h.withName(name)) }

// lookup returns the value of the first field with a name in canonical form, and whether there is one.
func (h *head) lookup(name string) (value string, found bool) {
	for value := range h.withName(name) {
		return value, true
	}
	return "", false
}

// get returns the value of the first field with a name in canonical form, or an empty string.
func (h *head) get(name string) string {
	value, _ := h.lookup(name)
	return value
}

// repeated returns the first of the given names, in canonical form, that more than one field has, or an empty string.
func (h *head) repeated(names []string) string {
	seen := make([]bool, len(names))
	for line := range bytes.Lines(h.text[h.fieldsAt:]) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		for i := range names {
			if string(name) != names[i] {
				continue
			}
			if seen[i] {
				return names[i]
			}
			seen[i] = true
		}
	}
	return ""
}

// remove removes the fields whose names, in canonical form, are in a set.
func (h *head) remove(names map[string]bool) {
	kept := h.text[:h.fieldsAt]
	for line := range bytes.Lines(h.text[h.fieldsAt:]) {
		if name, _, _ := bytes.Cut(line, []byte(":")); !names[string(name)] {
			kept = append(kept, line...)
		}
	}
	h.text = kept
}
