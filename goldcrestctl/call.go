package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

const (
	// maxAnswer limits the answers that are read.
	maxAnswer = 64 << 20
	// maxDetail limits the part of a foreign refusal that is shown.
	maxDetail = 400
	// connectTimeout is how long a daemon may take to accept a connection before the next one is tried.
	connectTimeout = 5 * time.Second
)

// callError is a call that got no usable answer.
type callError struct {
	server string
	// sent says that the request may have reached the daemon.
	sent bool
	err  error
}

// Error formats the server, what is known and the cause.
func (e *callError) Error() string {
	if e.sent {
		return fmt.Sprintf("%s gave no usable answer, it is unknown whether the call took effect: %v", e.server, e.err)
	}
	return fmt.Sprintf("%s can't be reached, nothing was sent: %v", e.server, e.err)
}

// Unwrap returns the cause.
func (e *callError) Unwrap() error { return e.err }

// request is one call of the daemon's API.
type request struct {
	method string
	// path is escaped and starts with a slash.
	path   string
	header http.Header
	body   []byte
}

// answer is what a daemon returned with a status below 400.
type answer struct {
	status int
	header http.Header
	body   []byte
}

// path builds a path of escaped segments.
func path(segments ...string) string {
	escaped := make([]string, len(segments))
	for i, s := range segments {
		escaped[i] = url.PathEscape(s)
	}
	return "/v1/" + strings.Join(escaped, "/")
}

// call sends a request to the first server that accepts a connection. Its error
// is an *api.Problem for a refusal and a *callError if there was no usable answer.
func (c *config) call(ctx context.Context, r request) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.timeout)
	defer cancel()
	client := newHTTPClient()
	defer client.CloseIdleConnections()
	var failures []error
	for _, server := range c.settings.servers {
		a, err := c.send(ctx, client, server, r)
		var failed *callError
		if !errors.As(err, &failed) || failed.sent {
			return a, err
		}
		failures = append(failures, err)
	}
	return answer{}, errors.Join(failures...)
}

// newHTTPClient returns a client that follows no redirects, since that would send the key elsewhere.
func newHTTPClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func (c *config) send(ctx context.Context, client *http.Client, server string, r request) (answer, error) {
	connected := false
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	connecting := time.AfterFunc(connectTimeout, cancel)
	defer connecting.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		connected = true
		connecting.Stop()
	}})
	req, err := http.NewRequestWithContext(ctx, r.method, server+r.path, bytes.NewReader(r.body))
	if err != nil {
		return answer{}, err
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	if c.settings.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.settings.key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return answer{}, &callError{server: server, sent: connected, err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	if err == nil && len(body) > maxAnswer {
		err = fmt.Errorf("the answer has more than %d bytes", maxAnswer)
	}
	if err != nil {
		return answer{}, &callError{server: server, sent: true, err: err}
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return answer{}, problem(resp, body)
	}
	return answer{resp.StatusCode, resp.Header, body}, nil
}

// problem returns the refusal in an answer, or one made from its status.
func problem(resp *http.Response, body []byte) *api.Problem {
	p := &api.Problem{}
	kind, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	if kind != api.ContentTypeProblem || json.Unmarshal(body, p) != nil {
		p = &api.Problem{Detail: strings.TrimSpace(string(body[:min(len(body), maxDetail)]))}
	}
	if p.Status == 0 {
		p.Status = resp.StatusCode
	}
	if p.Title == "" {
		p.Title = http.StatusText(resp.StatusCode)
	}
	return p
}

// fetch sends a request and decodes the JSON answer over v.
func (c *config) fetch(ctx context.Context, r request, v any) error {
	a, err := c.call(ctx, r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(a.body, v); err != nil {
		return &callError{server: strings.Join(c.settings.servers, ", "), sent: true, err: fmt.Errorf("malformed answer: %w", err)}
	}
	return nil
}

// get sends a GET request and decodes the JSON answer over v.
func (c *config) get(ctx context.Context, path string, v any) error {
	return c.fetch(ctx, request{method: http.MethodGet, path: path}, v)
}
