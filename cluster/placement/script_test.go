package placement

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// scriptState is the state of one script in testdata/scripts.
type scriptState struct {
	table     *Table
	queue     *Queue
	estimator *Estimator
	health    *HealthTracker
	running   []RunningTask
}

// args are the arguments of a script command: words, key=value pairs and, after "->", the expected result.
type args struct {
	words  []string
	values map[string]string
}

type scriptKey struct{}

// TestScripts runs the scripts in testdata/scripts. Each section of a script names the
// failure that it guards against.
func TestScripts(t *testing.T) {
	commands := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range scriptCommands {
		commands[name] = func(ts *testscript.TestScript, _ bool, words []string) {
			a, want, check := parseArgs(words)
			if got := run(ts.Value(scriptKey{}).(*scriptState), a); check && got != want {
				ts.Fatalf("%s %s: got %q, want %q", name, strings.Join(words, " "), got, want)
			}
		}
	}
	testscript.Run(t, testscript.Params{
		Dir: "testdata/scripts", Cmds: commands, RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			env.Values[scriptKey{}] = &scriptState{
				table: NewTable(), queue: NewQueue(QueueConfig{MaxSkips: 3}),
				estimator: NewEstimator(EstimatorConfig{MaxNames: 3}), health: NewHealthTracker(HealthConfig{JobRetries: 2, TeamRetries: 3}),
			}
			return nil
		},
	})
}

// parseArgs splits the arguments of a command; check reports whether a result is expected.
func parseArgs(words []string) (a args, want string, check bool) {
	a.values = map[string]string{}
	for i, w := range words {
		if w == "->" {
			return a, strings.Join(words[i+1:], " "), true
		}
		if key, value, ok := strings.Cut(w, "="); ok {
			a.values[key] = value
		} else {
			a.words = append(a.words, w)
		}
	}
	return a, "", false
}

func (a args) has(key string) bool { _, ok := a.values[key]; return ok }

func (a args) int(key string) int {
	if !a.has(key) {
		return 0
	}
	n, err := strconv.Atoi(a.values[key])
	if err != nil {
		panic(err)
	}
	return n
}

func (a args) duration(key string) time.Duration {
	if !a.has(key) {
		return 0
	}
	d, err := time.ParseDuration(a.values[key])
	if err != nil {
		panic(err)
	}
	return d
}

func (a args) time(key string) time.Time { return testStart.Add(a.duration(key)) }

func (a args) flag(name string) bool {
	for _, w := range a.words {
		if w == name {
			return true
		}
	}
	return false
}

// size returns the resources given in cores, GiB and accelerators.
func (a args) size(prefix string) cluster.Resources {
	cpu, _ := strconv.ParseFloat(a.values[prefix+"cpu"], 64)
	return cluster.Resources{
		CPU:    cluster.CPU(cpu * float64(cluster.Core)),
		Memory: cluster.Bytes(a.int(prefix+"memory")) * cluster.GiB, Accelerators: int64(a.int(prefix + "accelerators")),
	}
}

func (a args) priority() cluster.Priority {
	return map[string]cluster.Priority{"": cluster.PriorityNormal, "deferrable": cluster.PriorityDeferrable, "urgent": cluster.PriorityUrgent}[a.values["priority"]]
}

func (a args) worker(index int) cluster.WorkerID { return cluster.WorkerID(a.words[index]) }

func jobID(s string) cluster.JobID {
	team, name, _ := strings.Cut(s, "/")
	return cluster.JobID{Team: cluster.TeamName(team), Name: cluster.JobName(name)}
}

func (a args) request() Request {
	req := Request{Size: a.size(""), Spread: a.flag("spread"), Job: jobID(a.values["job"])}
	if a.has("end") {
		req.EndAt = a.time("end")
	}
	for _, p := range strings.FieldsFunc(a.values["peers"], func(r rune) bool { return r == ',' }) {
		req.PeerWorkers = append(req.PeerWorkers, cluster.WorkerID(p))
	}
	return req
}

func joinIDs(ids []cluster.WorkerID) string { return strings.Trim(fmt.Sprint(ids), "[]") }

var scriptCommands = map[string]func(*scriptState, args) string{
	"worker": func(s *scriptState, a args) string {
		s.table.Set(Worker{
			ID: a.worker(0), Rack: cluster.RackID(a.values["rack"]), Place: cluster.Place{Zone: cluster.Zone(a.values["zone"])},
			Capacity: a.size(""), Used: a.size("used-"), Closed: a.flag("closed"),
		})
		return ""
	},
	"remove-worker": func(s *scriptState, a args) string { s.table.Remove(a.worker(0)); return "" },
	"place": func(s *scriptState, a args) string {
		id, reason := s.table.Place(a.request())
		if reason != Placed {
			return reason.String()
		}
		return string(id)
	},
	"occupy":  func(s *scriptState, a args) string { return fmt.Sprint(s.table.Allocate(a.worker(0), a.size(""))) },
	"release": func(s *scriptState, a args) string { s.table.Release(a.worker(0), a.size("")); return "" },
	"gang": func(s *scriptState, a args) string {
		ids, reason := s.table.PlaceAll(a.request(), a.int("tasks"))
		if reason != Placed {
			return reason.String()
		}
		return joinIDs(ids)
	},
	"explain": func(s *scriptState, a args) string { return s.table.Explain(a.request()).String() },
	"reserve": func(s *scriptState, a args) string {
		var taskEnds []TaskEnd
		for _, r := range s.running {
			taskEnds = append(taskEnds, TaskEnd{Worker: r.Worker, Size: r.Size, EndAt: testStart.Add(r.Age)})
		}
		ids, start, ok := s.table.PlanReservation(a.request(), a.int("tasks"), taskEnds, a.time("at"))
		r := Reservation{Job: jobID(a.values["job"]), Size: a.size(""), Workers: ids, Start: start, ExpiresAt: a.time("until")}
		if !ok || !s.table.Reserve(r) {
			return "none"
		}
		return fmt.Sprint(joinIDs(ids), " at ", start.Sub(testStart))
	},
	"unreserve": func(s *scriptState, a args) string { return fmt.Sprint(s.table.Unreserve(jobID(a.words[0]))) },
	"expire": func(s *scriptState, a args) string {
		return strings.Trim(fmt.Sprint(s.table.ExpireReservations(a.time("at"))), "[]")
	},

	"total": func(s *scriptState, a args) string { s.queue.SetTotal(a.size("")); return "" },
	"team": func(s *scriptState, a args) string {
		name := cluster.TeamName(a.words[0])
		s.queue.SetTeam(name, TeamConfig{Weight: a.int("weight"), Limit: a.size("limit-"), Limited: a.has("limit-cpu")})
		s.queue.SetTeamHeld(name, a.flag("held"))
		return ""
	},
	"use": func(s *scriptState, a args) string {
		s.queue.AddUsage(cluster.TeamName(a.words[0]), a.size(""))
		return ""
	},
	"add": func(s *scriptState, a args) string {
		item := Item{
			Job: jobID(a.words[0]), Priority: a.priority(), Size: a.size(""), Tasks: max(1, a.int("tasks")), Gang: a.flag("gang"),
			SubmittedAt: a.time("at"), RunTime: a.duration("run"), MaxWait: a.duration("wait"),
		}
		if a.has("deadline") {
			item.Deadline = a.time("deadline")
		}
		s.queue.Add(item)
		return ""
	},
	"next": func(s *scriptState, a args) string {
		pick, ok := s.queue.Next(a.time("at"))
		switch {
		case !ok:
			return "none"
		case pick.Starved:
			return pick.Item.Job.String() + " reserve"
		}
		return pick.Item.Job.String()
	},
	"started": func(s *scriptState, a args) string {
		s.queue.RecordStarts(jobID(a.words[0]), max(1, a.int("tasks")))
		return ""
	},
	"blocked":    func(s *scriptState, a args) string { s.queue.MarkBlocked(jobID(a.words[0]), a.time("at")); return "" },
	"reserved":   func(s *scriptState, a args) string { s.queue.MarkReserved(jobID(a.words[0])); return "" },
	"unreserved": func(s *scriptState, a args) string { s.queue.MarkUnreserved(jobID(a.words[0])); return "" },
	"freed":      func(s *scriptState, a args) string { s.queue.RecordFreed(a.size("")); return "" },
	"remove":     func(s *scriptState, a args) string { s.queue.Remove(jobID(a.words[0])); return "" },
	"state":      func(s *scriptState, a args) string { return s.queue.State(jobID(a.words[0])).String() },
	"shares": func(s *scriptState, _ args) string {
		var out []string
		for _, t := range s.queue.Shares() {
			out = append(out, fmt.Sprintf("%s:%.2f/%.2f/%+.2f", t.Team, t.Dominant, t.Entitled, t.Excess()))
		}
		return strings.Join(out, " ")
	},

	"observe": func(s *scriptState, a args) string {
		for range max(1, a.int("times")) {
			s.estimator.Observe(UsageReport{Job: jobID(a.words[0]), Granted: a.size("granted-"), Peak: a.size(""), RunTime: a.duration("run")})
		}
		return ""
	},
	"estimate": func(s *scriptState, a args) string {
		e := s.estimator.Estimate(jobID(a.words[0]), a.size(""), a.duration("run"))
		return fmt.Sprintf("%v run=%v learned=%t", e.Size, e.RunTime, e.Learned)
	},
	"restart": func(s *scriptState, _ args) string {
		saved := s.estimator.Export()
		s.estimator = NewEstimator(s.estimator.cfg)
		s.estimator.Import(saved)
		return ""
	},

	"fail": func(s *scriptState, a args) string {
		v := s.health.RecordFailure(a.worker(0), jobID(a.words[1]), a.time("at"))
		return fmt.Sprintf("quarantined=%t stop=%t", v.Quarantined, v.StopJob)
	},
	"succeed": func(s *scriptState, a args) string { s.health.RecordSuccess(a.worker(0), jobID(a.words[1])); return "" },
	"probe":   func(s *scriptState, a args) string { s.health.RecordStart(a.worker(0)); return "" },
	"health":  func(s *scriptState, a args) string { return s.health.State(a.worker(0), a.time("at")).String() },
	"retry": func(s *scriptState, a args) string {
		return fmt.Sprint(s.health.AllowRetry(jobID(a.words[0]), a.time("at")))
	},

	"running": func(s *scriptState, a args) string {
		s.running = append(s.running, RunningTask{
			Attempt: cluster.AttemptID{Task: cluster.TaskID{Job: jobID(a.words[0])}, Attempt: 1}, Worker: a.worker(1), Size: a.size(""),
			Priority: a.priority(), Service: a.flag("service"), Idempotent: a.flag("idempotent"),
			Checkpoints: a.flag("checkpoints"), Throttled: a.flag("throttled"), Age: a.duration("age"),
		})
		return ""
	},
	"preempt": func(s *scriptState, a args) string {
		victims, ok := ChooseVictims(PreemptRequest{
			Team: cluster.TeamName(a.values["team"]), Priority: a.priority(), Size: a.size(""),
			Workers: s.table.Workers(), Running: s.running, Shares: s.queue.Shares(),
		})
		if !ok {
			return "none"
		}
		var out []string
		for _, v := range victims {
			out = append(out, v.Action.String()+" "+v.Attempt.Task.Job.String())
		}
		return strings.Join(out, ", ")
	},
}
