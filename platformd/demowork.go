package main

import (
	"github.com/goldcrestshift/goldcrestshift/cluster/api"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform/standin"
)

// submission is a job that a team submits to a queue.
type submission struct {
	team  string
	queue string
	job   api.JobRequest
}

// demoSecret returns the secret of a team's sample key; the notes in examples/
// contain its hash.
func demoSecret(team string) string { return "demo-" + team }

// batch returns a batch job whose tasks run for runTime.
func batch(id string, tasks int, cpus float64, memory, runTime string) api.JobRequest {
	return api.JobRequest{
		ID: id, Workload: api.WorkloadBatch, Tasks: tasks, CPUs: cpus, Memory: memory,
		RunTime: runTime, Command: []string{"run", runTime}, Idempotent: true, Checkpoints: true,
	}
}

// gang returns a gang job whose tasks run for runTime.
func gang(id string, tasks int, cpus float64, memory, runTime string) api.JobRequest {
	r := batch(id, tasks, cpus, memory, runTime)
	r.Workload = api.WorkloadGang
	return r
}

// urgent returns the job with priority urgent.
func urgent(r api.JobRequest) api.JobRequest {
	r.Priority = "urgent"
	return r
}

// scenarios returns the two sample cells.
func scenarios() []scenario {
	return []scenario{
		{
			cell: standin.Erzaehlwerk(), queue: "bookings",
			submissions: []submission{
				{"berghof", "transcriptions", batch("interviews", 40, 4, "8GiB", "4s")},
				{"alpenchronik", "transcriptions", batch("interviews", 30, 2, "4GiB", "4s")},
				{"romandie-memoire", "transcriptions", batch("recordings", 20, 4, "8GiB", "4s")},
				{"staatsarchiv", "deposits", gang("deposit", 6, 8, "16GiB", "3s")},
				{"kantonsschule", "bookings", urgent(batch("reminders", 10, 1, "1GiB", "1s"))},
			},
			declaredJobs: map[string]int{"staatsarchiv/transcribe-backlog": 120, "stimmen-archiv/assemble-deposit": 12},
			serviceJobs:  map[string]int{"staatsarchiv/search-index": 6, "stimmen-archiv/upload-intake": 6},
			requestTeams: []string{"staatsarchiv", "stimmen-archiv", "berghof", "kantonsschule"},
		},
		{
			cell: standin.CaroniVale(), queue: "tills",
			submissions: []submission{
				{"stalls-central", "settlements", batch("till-checks", 40, 2, "2GiB", "3s")},
				{"stalls-coast", "settlements", batch("till-checks", 40, 2, "2GiB", "3s")},
				{"cocoa-board", "settlements", gang("price-model", 8, 8, "8GiB", "3s")},
				{"growers-north", "tills", urgent(batch("payouts", 10, 1, "1GiB", "1s"))},
			},
			declaredJobs: map[string]int{
				"growers-north/reconciliation": 160, "growers-south/ledger-close": 12, "audit/grower-statements": 40,
			},
			serviceJobs:  map[string]int{"growers-north/till-gateway": 6, "cocoa-board/price-feed": 6},
			requestTeams: []string{"growers-north", "growers-south", "stalls-central", "audit"},
		},
	}
}
