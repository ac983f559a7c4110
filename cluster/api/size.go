package api

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// byteUnit is a unit of a size in a body.
type byteUnit struct {
	suffix string
	factor cluster.Bytes
}

// byteUnits holds the units, largest first; "B" must be last because every other suffix ends in it.
var byteUnits = []byteUnit{{"GiB", cluster.GiB}, {"MiB", cluster.MiB}, {"KiB", cluster.KiB}, {"B", 1}}

// ParseBytes parses a number with one of the suffixes B, KiB, MiB and GiB.
func ParseBytes(s string) (cluster.Bytes, error) {
	for _, u := range byteUnits {
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

// FormatBytes formats a size in the largest unit of which it is a multiple.
func FormatBytes(b cluster.Bytes) string {
	for _, u := range byteUnits {
		if b != 0 && b%u.factor == 0 {
			return fmt.Sprintf("%d%s", b/u.factor, u.suffix)
		}
	}
	return "0B"
}

// Resources is an amount of each resource, as written in bodies.
type Resources struct {
	// CPUs is a number of cores.
	CPUs         float64 `json:"cpus"`
	Memory       string  `json:"memory"`
	Accelerators int64   `json:"accelerators,omitempty"`
}

// FromResources converts r to its form in bodies.
func FromResources(r cluster.Resources) Resources {
	return Resources{CPUs: float64(r.CPU) / float64(cluster.Core), Memory: FormatBytes(r.Memory), Accelerators: r.Accelerators}
}

// ToResources returns the amounts as domain type; a memory size that can't be parsed counts as zero.
func (r Resources) ToResources() cluster.Resources {
	memory, err := ParseBytes(r.Memory)
	if err != nil {
		memory = 0
	}
	return cluster.Resources{CPU: cluster.CPU(math.Round(r.CPUs * float64(cluster.Core))), Memory: memory, Accelerators: r.Accelerators}
}
