package proxy

import (
	"errors"
	"os"
)

// isDeadlineError reports whether an error of a connection tells that a deadline which was set on it is over. net.Error's
// Timeout also reports true for ETIMEDOUT, with which the system tells that a connection is broken.
func isDeadlineError(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
