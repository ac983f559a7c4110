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
	headerDeadline   = "Goldcrest-Deadline"
	headerTimeout    = "Goldcrest-Timeout"
	headerIdempotent = "Goldcrest-Idempotent"
	headerKey        = "Idempotency-Key"
	// headerRun is "no" in an answer of 503 to a request that the runner did not run.
	headerRun = "Goldcrest-Run"
	// headerLeaving is "true" in an answer of a runner that takes no new work.
	headerLeaving = "Goldcrest-Leaving"
	// headerTeam and headerRequest tell a runner whose request it is and which; a
	// runner may repeat headerRequest in its answer, and a wrong one is not passed on.
	headerTeam    = "Goldcrest-Team"
	headerRequest = "Goldcrest-Request"
	// headerReplayed is "true" in an answer recorded for an earlier request with the same Idempotency-Key.
	headerReplayed = "Goldcrest-Replayed"
)

// hopHeaders concern one connection and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownHeaders are set by the gateway or meant for it, so that a caller or a runner can't forge them.
var ownHeaders = []string{
	headerDeadline, headerTimeout, headerIdempotent, headerRun, headerLeaving, headerTeam, headerRequest, headerReplayed,
}

// passedOn copies a header without those of one connection and of the gateway's own protocol.
func passedOn(h http.Header) http.Header {
	out := maps.Clone(h)
	for _, names := range h["Connection"] {
		for name := range strings.SplitSeq(names, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	for _, name := range ownHeaders {
		out.Del(name)
	}
	return out
}

// forwarded returns the header for the runner, without the caller's secret.
func (c *call) forwarded() http.Header {
	h := passedOn(c.header)
	h.Del("Authorization")
	h.Del("Expect")
	h.Del("Content-Length")
	if _, ok := h["User-Agent"]; !ok {
		// An empty value keeps net/http from adding its own.
		h["User-Agent"] = []string{""}
	}
	h.Set(headerTeam, string(c.team))
	h.Set(headerRequest, c.id)
	h.Set(headerDeadline, c.deadline.UTC().Format(time.RFC3339Nano))
	return h
}

// answerHeader returns the header for the caller. The length is set from the
// body, except for an answer that has none.
func answerHeader(h http.Header, bodyless bool) http.Header {
	out := passedOn(h)
	if !bodyless {
		out.Del("Content-Length")
	}
	return out
}

func (a *answer) write(w http.ResponseWriter, closing bool) {
	h := w.Header()
	maps.Copy(h, a.header)
	if a.status != http.StatusNoContent && a.status != http.StatusNotModified && h.Get("Content-Length") == "" {
		h.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	if a.replayed {
		h.Set(headerReplayed, "true")
	}
	if closing {
		h.Set("Connection", "close")
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
}

// bearer returns the secret of an Authorization header, empty if there is none.
func bearer(h http.Header) string {
	scheme, secret, ok := strings.Cut(h.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(secret)
}

// deadlineOf returns the earliest of the route's timeout and the caller's deadline and timeout.
func deadlineOf(h http.Header, timeout time.Duration, now time.Time) (time.Time, error) {
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

// idempotentByMethod holds the methods that HTTP defines as idempotent and that are routed (RFC 9110, 9.2.2).
var idempotentByMethod = map[string]bool{
	http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodPut: true, http.MethodDelete: true,
}

func safe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodOptions
}

const maxKeyLength = 128

// idempotencyKey returns the caller's Idempotency-Key; it becomes part of a row's key.
func idempotencyKey(h http.Header) (string, error) {
	values := h.Values(headerKey)
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	if len(values) > 1 || key == "" || len(key) > maxKeyLength {
		return "", fmt.Errorf("%s must be one value of 1 to %d bytes", headerKey, maxKeyLength)
	}
	for _, b := range []byte(key) {
		if b <= ' ' || b > '~' || b == '/' {
			return "", errors.New(headerKey + " must be visible ASCII without a slash")
		}
	}
	return key, nil
}

// rawPath returns the escaped form of the path below a service, so that an
// escaped slash reaches the runner as it was sent.
func rawPath(u *url.URL, path string) string {
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
