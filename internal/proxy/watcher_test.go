package proxy

import (
	"errors"
	"net/http"
	"testing"
)

// TestBodyErrorPrecedesRefusal guards against answering a request whose body is too large with the refusal
// that follows (503), which says that a retry is safe, instead of 413: the refusal may arrive before the
// error of the body's reader.
func TestBodyErrorPrecedesRefusal(t *testing.T) {
	for name, c := range map[string]struct {
		readFailed bool // the reader's error is available too
		status     int
		wantErr    error
	}{
		"refused first": {false, http.StatusServiceUnavailable, errRequestTooLarge},
		"both":          {true, http.StatusServiceUnavailable, errRequestTooLarge},
		"failed first":  {false, http.StatusBadGateway, errRequestTooLarge},
		"succeeded":     {false, http.StatusOK, nil},
	} {
		t.Run(name, func(t *testing.T) {
			for range 20 { // a select with two ready cases picks one at random
				rest := &upload{pipe: newBodyPipe(nil)}
				w := &clientWatcher{
					req:      &request{responseCh: make(chan clientResponse, 1), message: message{rest: rest}},
					readDone: make(chan error, 1),
				}
				rest.fail(errRequestTooLarge)
				w.req.responseCh <- clientResponse{status: c.status}
				if c.readFailed {
					w.readDone <- errRequestTooLarge
				}
				if resp, err := w.awaitResponse(); !errors.Is(err, c.wantErr) ||
					(err == nil && resp.status != c.status) {
					t.Fatalf("got status %d and error %v, want errRequestTooLarge unless the response succeeded",
						resp.status, err)
				}
			}
		})
	}
}
