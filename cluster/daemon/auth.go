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

// staleRetryAfter is suggested to callers while the configuration is stale.
const staleRetryAfter = time.Second

// bearer returns the secret of the Authorization header, empty if there is none.
func bearer(r *http.Request) string {
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return ""
	}
	return strings.TrimSpace(secret)
}

// refusalOf maps an error of rollout.Authorize to a status and a delay after which a retry can help.
func refusalOf(err error) gateway.Refusal {
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

// authorize returns the team of a request to a queue, or writes the refusal.
func (d *Daemon) authorize(w http.ResponseWriter, r *http.Request, queue cluster.QueueName) (cluster.TeamName, bool) {
	team, err := d.rollout.Authorize(bearer(r), queue)
	if err == nil {
		return team, true
	}
	refusal := refusalOf(err)
	if refusal.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	writeProblem(w, api.Problem{Status: refusal.Status, Detail: err.Error(), Run: api.RunNo}, refusal.RetryAfter)
	return "", false
}

// operator reports whether the caller may use the operators' calls, or writes the refusal.
func (d *Daemon) operator(w http.ResponseWriter, r *http.Request) bool {
	if d.cfg.OperatorToken == "" {
		return true
	}
	given, want := sha256.Sum256([]byte(bearer(r))), sha256.Sum256([]byte(d.cfg.OperatorToken))
	if subtle.ConstantTimeCompare(given[:], want[:]) == 1 {
		return true
	}
	w.Header().Set("WWW-Authenticate", "Bearer")
	refuse(w, http.StatusUnauthorized, "this call needs the operators' token")
	return false
}
