package daemon

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

// writeJSON writes a value as the whole answer.
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

// writeProblem writes a refusal; a positive retry sets Retry-After.
func writeProblem(w http.ResponseWriter, p api.Problem, retry time.Duration) {
	if p.Title == "" {
		p.Title = http.StatusText(p.Status)
	}
	body, err := json.Marshal(p)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if retry > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int((retry+time.Second-1)/time.Second)))
	}
	w.Header().Set("Content-Type", api.ContentTypeProblem)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(p.Status)
	_, _ = w.Write(body)
}

// refuse writes a refusal of work that did not run.
func refuse(w http.ResponseWriter, status int, detail string, errs ...string) {
	writeProblem(w, api.Problem{Status: status, Detail: detail, Run: api.RunNo, Errors: errs}, 0)
}
