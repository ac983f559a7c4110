package daemon

import (
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/api"
	"github.com/goldcrestshift/goldcrestshift/cluster/gateway"
	"github.com/goldcrestshift/goldcrestshift/cluster/rollout"
)

// staleRetryAfter is the Retry-After delay sent to callers while the
// configuration is stale or the daemon has not joined the cell.
const staleRetryAfter = time.Second

// bearerToken returns the bearer token of the Authorization header, or "" if there is none.
func bearerToken(r *http.Request) string {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(secret)
}

// toRefusal maps an error of rollout.Authorize to an HTTP status and, if a retry can succeed, a Retry-After delay.
func toRefusal(err error) gateway.Refusal {
	var e *rollout.Error
	if !errors.As(err, &e) {
		return gateway.Refusal{Status: http.StatusUnauthorized}
	}
	switch e.Kind {
	case rollout.KindWrongTeam:
		return gateway.Refusal{Status: http.StatusForbidden}
	case rollout.KindUnknownQueue:
		return gateway.Refusal{Status: http.StatusNotFound}
	case rollout.KindStale, rollout.KindNotAcknowledged:
		return gateway.Refusal{Status: http.StatusServiceUnavailable, RetryAfter: staleRetryAfter}
	default:
		return gateway.Refusal{Status: http.StatusUnauthorized}
	}
}

// authorize returns the team that a request to a queue is made for. If the
// request is not authorized, it writes the refusal and returns false.
func (d *Daemon) authorize(w http.ResponseWriter, r *http.Request, queue cluster.QueueName) (cluster.TeamName, bool) {
	team, err := d.rollout.Authorize(bearerToken(r), queue)
	if err == nil {
		return team, true
	}
	refusal := toRefusal(err)
	if refusal.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeProblem(w, api.Problem{Status: refusal.Status, Detail: err.Error(), Run: api.RunNo}, refusal.RetryAfter)
	return "", false
}

// authorizeOperator reports whether the caller may use the operators' calls; if not, it writes the refusal.
func (d *Daemon) authorizeOperator(w http.ResponseWriter, r *http.Request) bool {
	if d.cfg.OperatorToken == "" {
		return true
	}
	// Hashes of equal length keep the comparison from revealing the length of the token.
	received, expected := sha256.Sum256([]byte(bearerToken(r))), sha256.Sum256([]byte(d.cfg.OperatorToken))
	if subtle.ConstantTimeCompare(received[:], expected[:]) == 1 {
		return true
	}
	w.Header().Set("WWW-Authenticate", "Bearer")
	writeRefusal(w, http.StatusUnauthorized, "this call needs the operators' token")
	return false
}
