package proxy

import (
	"errors"
	"io"
	"net/http"
	"testing"
)

// An upload over the bound in chunks ends its attempt, and the module refuses the request then. The client is owed the answer
// that says what is wrong, 413. On busy machines callers saw 503, which says that another try is harmless: the refusal can
// be there before the reader of the body has told its error, and of both the front took one at random.
// TestBodyOverTheBoundInChunks failed so in a run of CI on four cores, 1.58 s after its start (503, want 413).
func TestBodyErrorPrecedesRefusal(t *testing.T) {
	for name, c := range map[string]struct {
		told   bool // the reader's error is there too
		status int
		fault  error
	}{
		"refused first":       {false, http.StatusServiceUnavailable, errRequestTooLarge},
		"both":                {true, http.StatusServiceUnavailable, errRequestTooLarge},
		"failed first":        {false, http.StatusBadGateway, errRequestTooLarge},
		"served all the same": {false, http.StatusOK, nil},
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 { // a select takes one of two at random
				rest := &upload{}
				rest.reader, rest.writer = io.Pipe()
				w := &clientWatcher{req: &request{responseCh: make(chan clientResponse, 1), message: message{rest: rest}}, readDone: make(chan error, 1)}
				rest.fail(errRequestTooLarge)
				w.req.responseCh <- clientResponse{status: c.status}
				if c.told {
					w.readDone <- errRequestTooLarge
				}
				if a, err := w.awaitResponse(); !errors.Is(err, c.fault) || (err == nil && a.status != c.status) {
					t.Fatalf("status %d, error %v", a.status, err)
				}
			}
		})
	}
}
