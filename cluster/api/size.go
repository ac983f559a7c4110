package api

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

type unit struct {
	suffix string
	factor cluster.Bytes
}

// units holds the binary suffixes, longest multiples first; "B" is last because every other suffix ends in it.
var units = []unit{{"GiB", cluster.GiB}, {"MiB", cluster.MiB}, {"KiB", cluster.KiB}, {"B", 1}}

// ParseBytes parses a number with one of the suffixes B, KiB, MiB and GiB.
func ParseBytes(s string) (cluster.Bytes, error) {
	for _, u := range units {
		digits, ok := strings.CutSuffix(s, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(strings.TrimSpace(digits), 64)
		if err != nil || math.IsNaN(n) || n < 0 || n*float64(u.factor) > math.MaxInt64/2 {
			return 0, fmt.Errorf("%q is not a size such as 512MiB", s)
		}
		return cluster.Bytes(n * float64(u.factor)), nil
	}
	return 0, fmt.Errorf("%q has no unit; use B, KiB, MiB or GiB", s)
}

// FormatBytes formats a size with the largest unit that divides it.
func FormatBytes(b cluster.Bytes) string {
	for _, u := range units {
		if b != 0 && b%u.factor == 0 {
			return fmt.Sprintf("%d%s", b/u.factor, u.suffix)
		}
	}
	return "0B"
}

// Resources is an amount of each resource in a body.
type Resources struct {
	// CPUs is a number of cores.
	CPUs         float64 `json:"cpus"`
	Memory       string  `json:"memory"`
	Accelerators int64   `json:"accelerators,omitempty"`
}

// FromResources returns the body for r.
func FromResources(r cluster.Resources) Resources {
	return Resources{CPUs: float64(r.CPU) / float64(cluster.Core), Memory: FormatBytes(r.Memory), Accelerators: r.Accelerators}
}

// ToResources returns the amounts of a body; a memory that does not parse counts as zero.
func (r Resources) ToResources() cluster.Resources {
	memory, err := ParseBytes(r.Memory)
	if err != nil {
		memory = 0
	}
	return cluster.Resources{CPU: cluster.CPU(math.Round(r.CPUs * float64(cluster.Core))), Memory: memory, Accelerators: r.Accelerators}
}
