package gateway

import (
	"errors"
	"fmt"
	"maps"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// Headers of the protocol between callers, the gateway and runners.
const (
	// headerDeadline is a time in RFC 3339 format, headerTimeout a duration such as 1.5s. The
	// earliest of both and of the route's timeout applies.
	headerDeadline = "Goldcrest-Deadline"
	headerTimeout  = "Goldcrest-Timeout"
	// headerIdempotent is "true" in a request that may be run more than once whatever its method.
	headerIdempotent     = "Goldcrest-Idempotent"
	headerIdempotencyKey = "Idempotency-Key"
	// headerRun is "no" in a response with status 503 to a request that the runner did not run.
	headerRun = "Goldcrest-Run"
	// headerLeaving is "true" in a response of a runner that accepts no new requests.
	headerLeaving = "Goldcrest-Leaving"
	// headerTeam and headerRequest hold the team and the identifier of a request to a runner. The
	// runner may repeat headerRequest in its response; a response with another identifier is discarded.
	headerTeam    = "Goldcrest-Team"
	headerRequest = "Goldcrest-Request"
	// headerReplayed is "true" in a response recorded for an earlier request with the same Idempotency-Key.
	headerReplayed = "Goldcrest-Replayed"
)

// hopByHopHeaders apply to a single connection and are not forwarded (RFC 9110, 7.6.1).
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// gatewayHeaders are set or read by the gateway itself; they are removed so that a caller or a
// runner can't forge them.
var gatewayHeaders = []string{
	headerDeadline, headerTimeout, headerIdempotent, headerRun, headerLeaving, headerTeam, headerRequest, headerReplayed,
}

// forwardableHeader copies a header without hop-by-hop headers and headers of the gateway.
func forwardableHeader(h http.Header) http.Header {
	forwarded := maps.Clone(h)
	for _, names := range h["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			forwarded.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	for _, name := range gatewayHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// forwardedHeader returns the header of the request to the runner, without the caller's secret.
func (c *call) forwardedHeader() http.Header {
	h := forwardableHeader(c.header)
	h.Del("Authorization")
	h.Del("Expect")
	h.Del("Content-Length")
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its default User-Agent.
		h["User-Agent"] = []string{""}
	}
	h.Set(headerTeam, string(c.team))
	h.Set(headerRequest, c.id)
	h.Set(headerDeadline, c.deadline.UTC().Format(time.RFC3339Nano))
	return h
}

// responseHeader returns the header of the response to the caller. Content-Length is
// computed from the body later, except for a response without a body.
func responseHeader(h http.Header, bodyless bool) http.Header {
	forwarded := forwardableHeader(h)
	if !bodyless {
		forwarded.Del("Content-Length")
	}
	return forwarded
}

// write sends the response to the caller. With closeConn the caller is asked to open a new connection.
func (r *response) write(w http.ResponseWriter, closeConn bool) {
	h := w.Header()
	maps.Copy(h, r.header)
	if r.status != http.StatusNoContent && r.status != http.StatusNotModified && h.Get("Content-Length") == "" {
		h.Set("Content-Length", strconv.Itoa(len(r.body)))
	}
	if r.replayed {
		h.Set(headerReplayed, "true")
	}
	if closeConn {
		h.Set("Connection", "close")
	}
	w.WriteHeader(r.status)
	_, _ = w.Write(r.body)
}

// bearerToken returns the secret of a bearer Authorization header, empty if there is none.
func bearerToken(h http.Header) string {
	scheme, secret, ok := strings.Cut(h.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(secret)
}

// requestDeadline returns the earliest of the route's timeout and the deadline and timeout in the caller's headers.
func requestDeadline(h http.Header, timeout time.Duration, now time.Time) (time.Time, error) {
	deadline := now.Add(timeout)
	if v := h.Get(headerDeadline); v != "" {
		at, err := time.Parse(time.RFC3339, v)
		if err != nil {
			return time.Time{}, fmt.Errorf("%s is not an RFC 3339 time: %q", headerDeadline, v)
		}
		if at.Before(deadline) {
			deadline = at
		}
	}
	if v := h.Get(headerTimeout); v != "" {
		d, err := time.ParseDuration(v)
		if err != nil || d <= 0 {
			return time.Time{}, fmt.Errorf("%s is not a positive duration: %q", headerTimeout, v)
		}
		if at := now.Add(d); at.Before(deadline) {
			deadline = at
		}
	}
	return deadline, nil
}

// idempotentMethods holds the routed methods that HTTP defines as idempotent (RFC 9110, 9.2.2).
var idempotentMethods = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodPut: true, http.MethodDelete: true,
}

// safeMethod reports whether HTTP defines the method as safe (RFC 9110, 9.2.1).
func safeMethod(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

const maxIdemKeyLength = 128

// idempotencyKey returns the Idempotency-Key of a request; it becomes part of a row's key.
func idempotencyKey(h http.Header) (string, error) {
	values := h.Values(headerIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	if len(values) > 1 || key == "" || len(key) > maxIdemKeyLength {
		return "", fmt.Errorf("%s must be one value of 1 to %d bytes", headerIdempotencyKey, maxIdemKeyLength)
	}
	for _, b := range []byte(key) {
		if b <= ' ' || b > '~' || b == '/' {
			return "", errors.New(headerIdempotencyKey + " must be visible ASCII without a slash")
		}
	}
	return key, nil
}

// escapedPath returns the escaped form of the path below a service, so that an
// escaped slash reaches the runner unchanged.
func escapedPath(u *url.URL, path string) string {
	prefix, ok := strings.CutSuffix(u.Path, path)
	if !ok {
		return ""
	}
	escaped := (&url.URL{Path: prefix}).EscapedPath()
	raw, ok := strings.CutPrefix(u.EscapedPath(), escaped)
	if !ok {
		return ""
	}
	return raw
}
