package note

import (
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Limits of the values of a note.
const (
	maxCPUs         = 1 << 20
	maxAccelerators = 1 << 20
	maxShare        = 1 << 20
	maxTasks        = 10_000
	maxAttempts     = 100
	maxNameLength   = 128
	maxDuration     = 366 * 24 * time.Hour
	maxCommand      = 16 << 10
)

var (
	namePattern    = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	errMissing     = errors.New("is missing")
	priorityByName = map[string]cluster.Priority{
		"": cluster.PriorityNormal, "deferrable": cluster.PriorityDeferrable,
		"normal": cluster.PriorityNormal, "urgent": cluster.PriorityUrgent,
	}
	byteUnits = []struct {
		suffix string
		factor cluster.Bytes
	}{{"GiB", cluster.GiB}, {"MiB", cluster.MiB}, {"KiB", cluster.KiB}, {"B", 1}}
)

// checkName accepts names that can be part of a row key and of a URL path.
func checkName(s string) error {
	switch {
	case s == "":
		return errMissing
	case len(s) > maxNameLength:
		return fmt.Errorf("has %d bytes; at most %d are allowed", len(s), maxNameLength)
	case !namePattern.MatchString(s):
		return fmt.Errorf("%q must start with a letter or digit and hold only letters, digits, dots, dashes and underscores", s)
	}
	return nil
}

func parseBytes(s string) (cluster.Bytes, error) {
	if s == "" {
		return 0, errMissing
	}
	for _, u := range byteUnits {
		digits, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(digits, 64)
		if err != nil || math.IsNaN(n) || n < 0 || n*float64(u.factor) > math.MaxInt64/2 {
			return 0, fmt.Errorf("%q is not a size such as 512MiB", s)
		}
		return cluster.Bytes(n * float64(u.factor)), nil
	}
	return 0, fmt.Errorf("%q has no unit; use B, KiB, MiB or GiB", s)
}

func parseCPUs(n float64) (cluster.CPU, error) {
	if math.IsNaN(n) || n < 0 || n > maxCPUs {
		return 0, fmt.Errorf("%v is not between 0 and %d cores", n, maxCPUs)
	}
	return cluster.CPU(math.Round(n * float64(cluster.Core))), nil
}

// parseDuration accepts Go durations from 0 to a year; the empty string is zero.
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

func parsePriority(s string) (cluster.Priority, error) {
	p, ok := priorityByName[s]
	if !ok {
		return 0, fmt.Errorf("%q is not one of deferrable, normal, urgent", s)
	}
	return p, nil
}

func parseHash(s string) ([32]byte, error) {
	if s == "" {
		return [32]byte{}, errMissing
	}
	data, err := hex.DecodeString(s)
	if err != nil || len(data) != 32 {
		// The value is not repeated, as it may be a secret put here by mistake.
		return [32]byte{}, errors.New("is not a SHA-256 of 64 hexadecimal digits")
	}
	return [32]byte(data), nil
}

// parseJobID splits team/name.
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
