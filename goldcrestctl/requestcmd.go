package main

import (
	"fmt"
	"net/http"
	"net/textproto"
	"net/url"
	"strings"

	"github.com/spf13/cobra"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

const (
	flagMethod         = "method"
	flagData           = "data"
	flagHeader         = "header"
	flagIdempotencyKey = "idempotency-key"
	// maxBodySize limits the size of a request body that is read from a file.
	maxBodySize = 16 << 20
)

func (c *config) newRequestCmd() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "request SERVICE PATH",
		Short: "Send a request to a service",
		Long: `Send a request to a service and print the body of the response.

A request with an idempotency key is executed at most once, even if it is sent again.`,
		Example: `  goldcrestctl request booking /interviews/17
  goldcrestctl request booking /confirmations --data @confirmation.json --idempotency-key c-17`,
		Args: cobra.ExactArgs(2),
		RunE: c.runRequestCmd,
	}
	f := cmd.Flags()
	f.StringP(flagMethod, "X", "", "HTTP method; GET, or POST with a body")
	f.StringP(flagData, "d", "", "body of the request; @FILE reads a file, @- the standard input")
	f.StringArrayP(flagHeader, "H", nil, "header as name: value; repeatable")
	f.String(flagIdempotencyKey, "", "idempotency key; the request is executed at most once per key")
	return cmd
}

func (c *config) runRequestCmd(cmd *cobra.Command, args []string) error {
	req, err := c.serviceRequest(cmd, args[0], args[1])
	if err != nil {
		return err
	}
	resp, err := c.call(cmd.Context(), req)
	if err != nil {
		return err
	}
	if c.settings.output == outputJSON {
		return c.print(responseOutput{resp.status, resp.header.Get("Content-Type"), string(resp.body)}, table{})
	}
	_, err = c.stdout.Write(resp.body)
	return err
}

// responseOutput is the JSON output of the request command.
type responseOutput struct {
	Status      int    `json:"status"`
	ContentType string `json:"contentType,omitempty"`
	Body        string `json:"body"`
}

// serviceRequest builds the request from the flags of the command.
func (c *config) serviceRequest(cmd *cobra.Command, service, target string) (request, error) {
	f := cmd.Flags()
	method, _ := f.GetString(flagMethod)
	data, _ := f.GetString(flagData)
	headers, _ := f.GetStringArray(flagHeader)
	key, _ := f.GetString(flagIdempotencyKey)
	if _, err := url.ParseRequestURI(target); err != nil || !strings.HasPrefix(target, "/") {
		return request{}, fmt.Errorf("%q is not a path such as /interviews/17", target)
	}
	req := request{method: strings.ToUpper(method), path: apiPath("services", service) + target, header: http.Header{}}
	if file, ok := strings.CutPrefix(data, "@"); ok {
		body, err := c.readFile(file, maxBodySize)
		if err != nil {
			return request{}, err
		}
		req.body = body
	} else {
		req.body = []byte(data)
	}
	if req.method == "" {
		req.method = http.MethodGet
		if len(req.body) > 0 {
			req.method = http.MethodPost
		}
	}
	for _, h := range headers {
		name, value, ok := strings.Cut(h, ":")
		if !ok || strings.TrimSpace(name) == "" {
			return request{}, fmt.Errorf("--%s: %q does not have the form name: value", flagHeader, h)
		}
		req.header.Add(textproto.TrimString(name), textproto.TrimString(value))
	}
	if key != "" {
		req.header.Set(api.HeaderIdempotencyKey, key)
	}
	return req, nil
}
