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
	// maxResponseSize limits the size of a response body.
	maxResponseSize = 64 << 20
	// maxDetailSize limits how much is shown of an error response that is no problem
	// document, such as one of a proxy.
	maxDetailSize = 400
	// connectTimeout is how long a connection to a daemon may take before the next
	// daemon is tried.
	connectTimeout = 5 * time.Second
)

// callError is the error of a call without a usable response.
type callError struct {
	server string
	// maybeSent means that the request may have reached the daemon.
	maybeSent bool
	err       error
}

// Error names the server, whether the request may have been sent and the cause.
func (e *callError) Error() string {
	if e.maybeSent {
		return fmt.Sprintf("%s gave no usable response; it is unknown whether the call took effect: %v", e.server, e.err)
	}
	return fmt.Sprintf("%s is unreachable; nothing was sent: %v", e.server, e.err)
}

// Unwrap returns the cause.
func (e *callError) Unwrap() error { return e.err }

// request is a request to the daemon's API.
type request struct {
	method string
	// path is escaped and starts with a slash; it may contain a query.
	path   string
	header http.Header
	body   []byte
}

// response is a response of a daemon with a status below 300.
type response struct {
	status int
	header http.Header
	body   []byte
}

// apiPath returns the path below /v1 with the given segments, which it escapes.
func apiPath(segments ...string) string {
	escaped := make([]string, len(segments))
	for i, s := range segments {
		escaped[i] = url.PathEscape(s)
	}
	return "/v1/" + strings.Join(escaped, "/")
}

// call sends a request to the first server that accepts a connection. Its error
// is an *api.Problem for an error response and a *callError, or several joined,
// if there was no usable response.
func (c *config) call(ctx context.Context, r request) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.settings.timeout)
	defer cancel()
	client := newHTTPClient()
	defer client.CloseIdleConnections()
	var failures []error
	for _, server := range c.settings.servers {
		resp, err := c.send(ctx, client, server, r)
		var callErr *callError
		if !errors.As(err, &callErr) || callErr.maybeSent {
			return resp, err
		}
		failures = append(failures, err)
	}
	return response{}, errors.Join(failures...)
}

// newHTTPClient returns a client without redirects and proxies; a redirect could
// send the key to another host.
func newHTTPClient() *http.Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.Proxy = nil
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// send sends a request to one server.
func (c *config) send(ctx context.Context, client *http.Client, server string, r request) (response, error) {
	connected := false
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	connectTimer := time.AfterFunc(connectTimeout, cancel)
	defer connectTimer.Stop()
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) {
		connected = true
		connectTimer.Stop()
	}})
	req, err := http.NewRequestWithContext(ctx, r.method, server+r.path, bytes.NewReader(r.body))
	if err != nil {
		return response{}, err
	}
	for name, values := range r.header {
		req.Header[name] = values
	}
	if c.settings.key != "" {
		req.Header.Set("Authorization", "Bearer "+c.settings.key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return response{}, &callError{server: server, maybeSent: connected, err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize+1))
	if err == nil && len(body) > maxResponseSize {
		err = fmt.Errorf("the response is larger than %d bytes", maxResponseSize)
	}
	if err != nil {
		return response{}, &callError{server: server, maybeSent: true, err: err}
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return response{}, newProblem(resp, body)
	}
	return response{resp.StatusCode, resp.Header, body}, nil
}

// newProblem returns the problem in an error response, or one made from the status
// and the start of the body.
func newProblem(resp *http.Response, body []byte) *api.Problem {
	p := &api.Problem{}
	contentType, _, _ := strings.Cut(resp.Header.Get("Content-Type"), ";")
	if contentType != api.ContentTypeProblem || json.Unmarshal(body, p) != nil {
		p = &api.Problem{Detail: strings.TrimSpace(string(body[:min(len(body), maxDetailSize)]))}
	}
	if p.Status == 0 {
		p.Status = resp.StatusCode
	}
	if p.Title == "" {
		p.Title = http.StatusText(resp.StatusCode)
	}
	return p
}

// callJSON sends a request and decodes the JSON response into v.
func (c *config) callJSON(ctx context.Context, r request, v any) error {
	resp, err := c.call(ctx, r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(resp.body, v); err != nil {
		return &callError{server: strings.Join(c.settings.servers, ", "), maybeSent: true, err: fmt.Errorf("malformed response: %w", err)}
	}
	return nil
}

// getJSON sends a GET request and decodes the JSON response into v.
func (c *config) getJSON(ctx context.Context, path string, v any) error {
	return c.callJSON(ctx, request{method: http.MethodGet, path: path}, v)
}
