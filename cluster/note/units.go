package note

import (
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

// Maximum values in a note; maxCPUs is in cores.
const (
	maxCPUs         = 1 << 20
	maxAccelerators = 1 << 20
	maxShare        = 1 << 20
	maxDuration     = 366 * 24 * time.Hour
	maxCommandBytes = 16 << 10
)

var errMissing = errors.New("is missing")

// parseBytes parses a size with a unit, such as 64GiB.
func parseBytes(s string) (cluster.Bytes, error) {
	if s == "" {
		return 0, errMissing
	}
	return api.ParseBytes(s)
}

// parseCPUs converts a number of cores.
func parseCPUs(n float64) (cluster.CPU, error) {
	if math.IsNaN(n) || n < 0 || n > maxCPUs {
		return 0, fmt.Errorf("%v is not between 0 and %d cores", n, maxCPUs)
	}
	return cluster.CPU(math.Round(n * float64(cluster.Core))), nil
}

// parseDuration accepts Go durations from 0 to maxDuration. The empty string is zero.
func parseDuration(s string) (time.Duration, error) {
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 || d > maxDuration {
		return 0, fmt.Errorf("%q is not a duration such as 90s, from 0s to %s", s, maxDuration)
	}
	return d, nil
}

// parseHash parses the hexadecimal SHA-256 of an API key's secret.
func parseHash(s string) ([32]byte, error) {
	if s == "" {
		return [32]byte{}, errMissing
	}
	data, err := hex.DecodeString(s)
	if err != nil || len(data) != 32 {
		// The error does not contain the value, which may be a secret that was
		// entered instead of its hash.
		return [32]byte{}, errors.New("is not a SHA-256 of 64 hexadecimal digits")
	}
	return [32]byte(data), nil
}

// parseJobID splits a job identifier of the form team/name. It does not check
// the parts.
func parseJobID(s string) cluster.JobID {
	team, name, _ := strings.Cut(s, "/")
	return cluster.JobID{Team: cluster.TeamName(team), Name: cluster.JobName(name)}
}

func checkRange(n, low, high int) error {
	if n < low || n > high {
		return fmt.Errorf("%d is not between %d and %d", n, low, high)
	}
	return nil
}
