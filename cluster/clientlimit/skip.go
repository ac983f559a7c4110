package clientlimit

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// skipBytes is the largest body that is received and discarded, so that an ordinary client whose request is refused
	// keeps its connection, and skipTimeout is how long the rest of it may take.
	skipBytes   = 4 << 10
	skipTimeout = 200 * time.Millisecond
	// slotTimeout is how long a request waits for those before it.
	slotTimeout = time.Second
)

type connKey struct{}

// ConnContext is the hook of an http.Server that SkipBody needs.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// SkipBody must be called before the response to a request whose body is not read to its end. The server would wait for
// up to 256 KiB of the body without a limit of time; instead a small body is discarded, and otherwise the connection is
// closed after the response.
func SkipBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	// A writer without deadlines, as in tests, has no connection to wait for, so the errors don't matter.
	rc := http.NewResponseController(w)
	if r.ContentLength > 0 && r.ContentLength <= skipBytes && r.Header.Get("Expect") == "" {
		_ = rc.SetReadDeadline(time.Now().Add(skipTimeout))
		if n, err := io.Copy(io.Discard, r.Body); err == nil && n == r.ContentLength {
			// The server has cleared the deadline at the end of the body.
			return
		}
	}
	w.Header().Set("Connection", "close")
	if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
		c.lingers.Store(true)
	}
	_ = rc.SetReadDeadline(time.Now())
}

// SkipBodies returns a handler that serves requests without their bodies.
func SkipBodies(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		SkipBody(w, r)
		next.ServeHTTP(w, r)
	})
}

// SkipUnread returns a handler that calls SkipBody before the response to a request whose body was not read to its end.
func SkipUnread(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength == 0 {
			next.ServeHTTP(w, r)
			return
		}
		body := &readToEnd{ReadCloser: r.Body}
		r.Body = body
		next.ServeHTTP(&skippingWriter{ResponseWriter: w, request: r, body: body}, r)
	})
}

// readToEnd is a body that knows whether it was read to its end.
type readToEnd struct {
	io.ReadCloser
	ended bool
}

// Read reads from the body.
func (b *readToEnd) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err == io.EOF
	return n, err
}

// skippingWriter skips the rest of the body of a request before the response.
type skippingWriter struct {
	http.ResponseWriter
	request *http.Request
	body    *readToEnd
	begun   bool
}

// WriteHeader writes the header of the response.
func (w *skippingWriter) WriteHeader(status int) {
	if !w.begun && !w.body.ended {
		SkipBody(w.ResponseWriter, w.request)
	}
	w.begun = true
	w.ResponseWriter.WriteHeader(status)
}

// Write writes to the body of the response.
func (w *skippingWriter) Write(p []byte) (int, error) {
	if !w.begun {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the wrapped writer, which http.ResponseController needs.
func (w *skippingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Buffered returns a handler that serves at most n requests at once, and sends their responses when they are complete,
// so that a client that does not read its response holds up no other one.
func Buffered(n int, next http.Handler) http.Handler {
	slots := make(chan struct{}, n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case slots <- struct{}{}:
		case <-time.After(slotTimeout):
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		response := &bufferedResponse{header: w.Header(), status: http.StatusOK}
		func() {
			defer func() { <-slots }()
			next.ServeHTTP(response, r)
		}()
		w.WriteHeader(response.status)
		// An error means that the client is gone.
		_, _ = w.Write(response.body.Bytes())
	})
}

// bufferedResponse is a response that is kept in memory.
type bufferedResponse struct {
	header http.Header
	status int
	body   bytes.Buffer
}

// Header returns the fields of the header.
func (b *bufferedResponse) Header() http.Header { return b.header }

// WriteHeader sets the status.
func (b *bufferedResponse) WriteHeader(status int) { b.status = status }

// Write appends to the body.
func (b *bufferedResponse) Write(p []byte) (int, error) { return b.body.Write(p) }
