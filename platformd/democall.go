package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

// demoClient is the HTTP client of the demo.
var demoClient = &http.Client{
	Timeout:   30 * time.Second,
	Transport: &http.Transport{MaxIdleConnsPerHost: 64},
}

// call sends an HTTP request, with a bearer token unless secret is empty, and
// returns the status and the body of the response.
func call(ctx context.Context, method, url, secret string, header http.Header, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	if secret != "" {
		req.Header.Set("Authorization", "Bearer "+secret)
	}
	resp, err := demoClient.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, data, err
}

// submitJob submits a job and returns the status of the response; a status of 500
// or above is an error.
func submitJob(ctx context.Context, base string, s submission) (int, error) {
	body, err := json.Marshal(s.job)
	if err != nil {
		return 0, err
	}
	status, data, err := call(ctx, http.MethodPost, fmt.Sprintf("%s/v1/queues/%s/jobs", base, s.queue), demoSecret(s.team), nil, body)
	if err == nil && status >= http.StatusInternalServerError {
		err = fmt.Errorf("submission of %s/%s: status %d: %s", s.team, s.job.ID, status, data)
	}
	return status, err
}

// getJSON sends a GET request and decodes the JSON response into v.
func getJSON(ctx context.Context, url string, v any) error {
	status, data, err := call(ctx, http.MethodGet, url, "", nil, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("GET %s: status %d: %s", url, status, data)
	}
	return json.Unmarshal(data, v)
}

// listJobs returns the jobs that a daemon lists, by team/id.
func listJobs(ctx context.Context, base string) (map[string]api.JobStatus, error) {
	var list api.JobList
	if err := getJSON(ctx, base+"/v1/jobs", &list); err != nil {
		return nil, err
	}
	jobs := map[string]api.JobStatus{}
	for _, j := range list.Jobs {
		jobs[j.Team+"/"+j.ID] = j
	}
	return jobs, nil
}
