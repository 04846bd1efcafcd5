package upstream

import (
	"errors"
	"io"
	"syscall"

	"github.com/valyala/fasthttp"
)

// BrokeOff reports whether an exchange failed because the replica's side closed or reset its
// connection. Timeouts, cancellations and answers that are not valid are other failures.
func BrokeOff(err error) bool {
	var nothing fasthttp.ErrNothingRead
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, ErrClosed) || errors.Is(err, ErrUnconfirmed) ||
		errors.As(err, &nothing) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// Refused reports whether an exchange failed because nothing listens at the replica's address.
func Refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
