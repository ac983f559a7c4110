package main

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against runs that start twice, jobs that are lost and daemons that end
// by themselves while processes, connections, the store and runners fail. Each
// seed is a short run; those with a cause have failed before.
func TestSoak(t *testing.T) {
	binary, err := buildDaemon(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		seed  uint64
		cause string
	}{
		{seed: 1, cause: "SIGHUP ended a daemon that was starting or stopping; a start reached a runner that had started anew"},
		{seed: 102, cause: "a hold with the cursor of an earlier start of the runner acknowledged ends of the present one"},
		{seed: 109, cause: "a start and a hold reached an idle runner that had started anew, and the hold acknowledged the end of the run"},
		{seed: 7},
	} {
		t.Run(fmt.Sprint(c.seed), func(t *testing.T) {
			is := is.New(t)
			t.Log(c.cause)
			is.NoErr(soak(t.Context(), config{
				seed: c.seed, length: 10 * time.Second, daemons: 4, runners: 8, binary: binary, dir: t.TempDir(), out: io.Discard,
			}))
		})
	}
}

// Guards against a schedule that a seed does not repeat.
func TestScheduleRepeats(t *testing.T) {
	is := is.New(t)
	names := func() (list []string) {
		for _, f := range slices.Concat(newSchedule(seeded(5, 0), time.Minute, 4, 8), newFurtherFaults(seeded(5, 1), time.Minute, 4)) {
			list = append(list, fmt.Sprint(f.at, f.name))
		}
		return list
	}
	is.True(len(names()) > 20)
	is.Equal(names(), names())
}
