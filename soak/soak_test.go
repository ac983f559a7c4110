package main

import (
	"fmt"
	"io"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against tasks that run twice, jobs that are lost and daemons that exit
// by themselves while processes, connections, the store and workers fail. Each
// seed is a short run; a seed with a cause has failed before for that cause.
func TestSoak(t *testing.T) {
	binary, err := buildDaemon(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		seed  uint64
		cause string
	}{
		{seed: 1, cause: "SIGHUP ended a daemon that was starting or stopping; a start request reached a worker that had restarted"},
		{seed: 102, cause: "a hold call with the acknowledged number from before a restart of the worker acknowledged ends of runs after it"},
		{seed: 109, cause: "a start request and a hold call reached an idle worker that had restarted, and the hold call acknowledged the end of the run"},
		{seed: 7},
	} {
		t.Run(fmt.Sprint(c.seed), func(t *testing.T) {
			is := is.New(t)
			t.Log(c.cause)
			is.NoErr(runSeed(t.Context(), config{
				seed: c.seed, length: 10 * time.Second, daemons: 4, workers: 8, binary: binary, dir: t.TempDir(), out: io.Discard,
			}))
		})
	}
}

// Guards against a schedule that differs between two runs of the same seed.
func TestScheduleIsDeterministic(t *testing.T) {
	is := is.New(t)
	names := func() (list []string) {
		for _, f := range slices.Concat(newSchedule(newRand(5, 0), time.Minute, 4, 8), newPeerAndPartFaults(newRand(5, 1), time.Minute, 4)) {
			list = append(list, fmt.Sprint(f.start, f.name))
		}
		return list
	}
	is.True(len(names()) > 20)
	is.Equal(names(), names())
}
