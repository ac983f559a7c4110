package note

import (
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// readArchive returns the files of a txtar archive in testdata.
func readArchive(t testing.TB, name string) []txtar.File {
	t.Helper()
	a, err := txtar.ParseFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return a.Files
}

// Guards against malformed notes that are accepted, or whose problems are reported
// without file, line and field. Each file of the archive contains the expected
// problems, a line "====" and the note.
func TestParseProblems(t *testing.T) {
	for _, f := range readArchive(t, "malformed.txtar") {
		t.Run(f.Name, func(t *testing.T) {
			is := is.New(t)
			want, text, ok := strings.Cut(string(f.Data), "====\n")
			is.True(ok)
			_, err := Parse("n.yaml", []byte(text))
			is.True(IsKind(err, KindMalformed))
			var e *Error
			is.True(errors.As(err, &e))
			var got strings.Builder
			for _, p := range e.Problems {
				got.WriteString(p.String() + "\n")
			}
			is.Equal(got.String(), want)
		})
	}
}

func mustParse(t testing.TB, text string) *Note {
	t.Helper()
	n, err := Parse("n.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// sampleNote returns the note in testdata/sample.yaml.
func sampleNote(t testing.TB) *Note {
	t.Helper()
	text, err := os.ReadFile("testdata/sample.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return mustParse(t, string(text))
}

// Guards against values that are parsed with a wrong unit or into a wrong field.
func TestParseValues(t *testing.T) {
	is := is.New(t)
	s := sampleNote(t).ApplyTo(cluster.Assemble(0, nil), 1)
	is.Equal(s.Teams["growers"].Limit, cluster.Resources{CPU: 2500, Memory: 64 * cluster.GiB, Accelerators: 2})
	is.Equal(s.Queues["statements"].MaxWait.String(), "72h0m0s")
	is.Equal(s.Services["settlement"].MaxAnswer, cluster.MiB)
	job := s.Jobs[cluster.JobID{Team: "growers", Name: "close"}]
	is.Equal(job.Workload, &cluster.Gang{Tasks: 3, Size: cluster.Resources{CPU: 500, Memory: 512 * cluster.MiB}, RunTime: 15e9})
	is.Equal(job.Priority, cluster.PriorityUrgent)
	is.Equal(len(s.Keys), 1)
}

// Guards against a text that makes the YAML library or the conversion panic, and
// against accepting a note without entities, names or a summary.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"malformed.txtar", "check.txtar"} {
		for _, file := range readArchive(f, name) {
			_, text, _ := strings.Cut(string(file.Data), "====\n")
			f.Add([]byte(text))
		}
	}
	f.Add(sampleNote(f).Text)
	f.Fuzz(func(t *testing.T, text []byte) {
		n, err := Parse("n.yaml", text)
		if err != nil {
			if !IsKind(err, KindMalformed) {
				t.Fatalf("%v", err)
			}
			return
		}
		if len(n.Entities()) == 0 || n.Summary == "" {
			t.Fatalf("accepted an empty note: %q", text)
		}
		for _, id := range n.Entities() {
			if id.Name == "" {
				t.Fatalf("accepted an entity without a name: %q", text)
			}
		}
		Check(n, cluster.Assemble(0, nil), nil)
	})
}

// Guards against references to entities that do not exist or are withdrawn. Each
// file of the archive contains the expected problems, a line "====" and a note,
// which is checked against the configuration of sample.yaml.
func TestCheckProblems(t *testing.T) {
	current := sampleNote(t).ApplyTo(cluster.Assemble(0, nil), 1)
	capacity := &WorkerCapacity{Largest: cluster.Resources{CPU: 2000, Memory: cluster.GiB, Accelerators: 1}}
	for _, f := range readArchive(t, "check.txtar") {
		t.Run(f.Name, func(t *testing.T) {
			is := is.New(t)
			want, text, ok := strings.Cut(string(f.Data), "====\n")
			is.True(ok)
			var got strings.Builder
			for _, p := range Check(mustParse(t, text), current, capacity) {
				got.WriteString(p.String() + "\n")
			}
			is.Equal(got.String(), want)
		})
	}
}

// Guards against a plan that omits jobs that the note stops.
func TestPlanStoppedJobs(t *testing.T) {
	is := is.New(t)
	current := sampleNote(t).ApplyTo(cluster.Assemble(0, nil), 1)
	running := RunningWork{
		Usage: map[cluster.TeamName]cluster.Resources{"growers": {CPU: 2000}},
		Jobs: map[cluster.JobID]cluster.QueueName{
			{Team: "growers", Name: "a"}: "tills", {Team: "growers", Name: "b"}: "statements", {Team: "audit", Name: "c"}: "tills",
		},
	}
	stoppedJobs := func(text string) int { return len(NewPlan(mustParse(t, text), current, running).StoppedJobs()) }
	is.Equal(stoppedJobs("summary: s\nwithdraw: {teams: [growers]}"), 2)
	is.Equal(stoppedJobs("summary: s\nwithdraw: {queues: [tills]}"), 2)
	is.Equal(stoppedJobs("summary: s\nwithdraw: {jobs: [growers/a]}"), 1)
	limit := "summary: s\nchange: {teams: [{name: growers, share: 1, limit: {cpus: %, memory: 64GiB, accelerators: 2}}]}"
	is.Equal(stoppedJobs(strings.ReplaceAll(limit, "%", "1.5")), 2) // below the usage
	is.Equal(stoppedJobs(strings.ReplaceAll(limit, "%", "2.2")), 0) // above the usage
}
