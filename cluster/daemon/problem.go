package daemon

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

// writeJSON writes a response with the value as its JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// writeProblem writes a response with the problem as its body. A positive
// retryAfter, rounded up to seconds, is sent as Retry-After.
func writeProblem(w http.ResponseWriter, p api.Problem, retryAfter time.Duration) {
	if p.Title == "" {
		p.Title = http.StatusText(p.Status)
	}
	body, err := json.Marshal(p)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((retryAfter+time.Second-1)/time.Second)))
	}
	w.Header().Set("Content-Type", api.ContentTypeProblem)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// writeRefusal writes the problem for a request that was refused and did not run.
func writeRefusal(w http.ResponseWriter, status int, detail string, errs ...string) {
	writeProblem(w, api.Problem{Status: status, Detail: detail, Run: api.RunNo, Errors: errs}, 0)
}
