package clientlimit

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

const (
	// firstReadBytes is the memory that a body takes before any of it has arrived; most bodies fit into it.
	firstReadBytes = 4 << 10
	// bodyGrowth is the factor by which the memory of a body grows.
	bodyGrowth = 4
)

// BodyReader configures the reading of a body.
type BodyReader struct {
	// Bodies is the budget, Held the part of it that the request holds, which the caller closes. A request that is open
	// already holds other memory.
	Bodies *Bodies
	Held   *Body
	// MaxBytes is the largest body.
	MaxBytes int64
	// Deadline is that of the request; zero means none. MaxTime limits the time for the body; zero means no other limit.
	Deadline time.Time
	MaxTime  time.Duration
}

// bodyDeadline returns the time by which the next byte must arrive.
func (b *BodyReader) bodyDeadline(start time.Time, received int64) time.Time {
	deadline := rateDeadline(start, received)
	if !b.Deadline.IsZero() && b.Deadline.Before(deadline) {
		deadline = b.Deadline
	}
	if limit := start.Add(b.MaxTime); b.MaxTime > 0 && limit.Before(deadline) {
		deadline = limit
	}
	return deadline
}

// Read receives the body of a request. The error is an *Error.
func (b *BodyReader) Read(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	const op = "read body"
	if r.ContentLength > b.MaxBytes {
		return nil, &Error{Op: op, Kind: KindTooLarge}
	}
	size := int64(firstReadBytes)
	if r.ContentLength >= 0 {
		// One byte more, so that the end of the body is found without growing.
		size = min(size, r.ContentLength+1)
	}
	rc := http.NewResponseController(w)
	b.Held.Abort = func() { _ = rc.SetReadDeadline(time.Now()) }
	start := time.Now()
	if !b.Bodies.Open(start, b.Held, size) {
		return nil, &Error{Op: op, Kind: KindNoMemory}
	}
	if r.ContentLength == 0 {
		// The server is already waiting for the next request, which the deadline of a body would end.
		return nil, nil
	}
	// The server clears the deadline at the end of the body, as it then waits for the next request. Writers without
	// deadlines, as in tests, are not limited in time.
	_ = rc.SetReadDeadline(b.bodyDeadline(start, 0))
	buf := make([]byte, 0, size)
	for {
		n, err := r.Body.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		switch {
		case int64(len(buf)) > b.MaxBytes:
			return nil, &Error{Op: op, Kind: KindTooLarge}
		case err == io.EOF:
			return buf, nil
		case b.Bodies.IsEvicted(b.Held):
			return nil, &Error{Op: op, Kind: KindEvicted}
		case errors.Is(err, os.ErrDeadlineExceeded):
			return nil, &Error{Op: op, Kind: KindLate}
		case err != nil:
			return nil, &Error{Op: op, Kind: KindEnded, Err: err}
		}
		grown := int64(cap(buf))
		if len(buf) == cap(buf) {
			grown = min(grown*bodyGrowth, b.MaxBytes+1)
			if r.ContentLength >= 0 {
				grown = min(grown, r.ContentLength+1)
			}
		}
		if !b.Bodies.Grow(time.Now(), b.Held, grown-int64(cap(buf)), int64(len(buf))) {
			if b.Bodies.IsEvicted(b.Held) {
				return nil, &Error{Op: op, Kind: KindEvicted}
			}
			return nil, &Error{Op: op, Kind: KindNoMemory}
		}
		if grown > int64(cap(buf)) {
			buf = append(make([]byte, 0, grown), buf...)
		}
		_ = rc.SetReadDeadline(b.bodyDeadline(start, int64(len(buf))))
		if b.Bodies.IsEvicted(b.Held) {
			// The deadline of Abort may have been replaced.
			return nil, &Error{Op: op, Kind: KindEvicted}
		}
	}
}
