package pool

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
	"github.com/goldcrestshift/goldcrestshift/cluster/workload"
)

// Guards against a run that counts as over because of an observation that does not exclude that its worker has it.
func TestOnlyProofEndsRun(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile("testdata/evidence.json")
	is.NoErr(err)
	var cases []struct {
		Evidence, State                                          string
		UnansweredStarts                                         int
		Reported, StopAnswered, SentBefore, MoreEnds, Heartbeats bool
		Over                                                     bool
	}
	is.NoErr(json.Unmarshal(data, &cases))
	for _, c := range cases {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1_800_000_000, 0)
			s := New(Config{Service: testService, Epoch: 1, Now: now, Log: zerolog.Nop()})
			w := &worker{inPlatformList: c.Heartbeats, heartbeatSeenAt: now}
			st := &step{job: &job{progress: &workload.Progress{}}, spec: &workload.Step{}, tasks: make([]task, 1), unfinishedTasks: 1}
			r := &run{
				step: st, worker: w, unansweredStarts: c.UnansweredStarts, reportedByWorker: c.Reported, confirmedAt: now,
				state: runState(slices.Index(runStateNames[:], c.State)),
			}
			if c.StopAnswered {
				r.stopAnsweredAt = now
			}
			sentAt := now.Add(time.Second)
			if c.SentBefore {
				sentAt = now.Add(-time.Second)
			}
			observations := map[string]evidence{
				"refusal": refusalEvidence{}, "restart": restartEvidence{}, "lease": leaseEvidence{},
				"absence": absenceEvidence{sentAt: sentAt, reply: &platform.HoldReply{MoreEnds: c.MoreEnds}},
			}
			is.Equal(s.provesOver(r, observations[c.Evidence]), c.Over)
		})
	}
}
