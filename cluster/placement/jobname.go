package placement

import (
	"strings"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// RecurringJobName returns a job name without digits and the separators around them,
// so that the runs of a recurring job, such as nightly-2026-12-04 and
// nightly-2026-12-05, have the same name.
func RecurringJobName(name cluster.JobName) cluster.JobName {
	if !strings.ContainsAny(string(name), "0123456789") {
		return name
	}
	out := make([]byte, 0, len(name))
	for i := 0; i < len(name); i++ {
		c := name[i]
		if c >= '0' && c <= '9' {
			continue
		}
		if isSeparator(c) && (len(out) == 0 || isSeparator(out[len(out)-1])) {
			continue
		}
		out = append(out, c)
	}
	for len(out) > 0 && isSeparator(out[len(out)-1]) {
		out = out[:len(out)-1]
	}
	return cluster.JobName(out)
}

func isSeparator(c byte) bool {
	return c == '-' || c == '_' || c == '.' || c == ':' || c == '/' || c == ' '
}
