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

func archive(t testing.TB, name string) []txtar.File {
	t.Helper()
	a, err := txtar.ParseFile("testdata/" + name)
	if err != nil {
		t.Fatal(err)
	}
	return a.Files
}

// Guards against a fault of a note that is accepted, or reported without its
// file, line and field. Each file of the archive holds a note after the line
// with its expected problems.
func TestParseProblems(t *testing.T) {
	for _, f := range archive(t, "malformed.txtar") {
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

func parse(t testing.TB, text string) *Note {
	t.Helper()
	n, err := Parse("n.yaml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func sample(t testing.TB) *Note {
	t.Helper()
	text, err := os.ReadFile("testdata/sample.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return parse(t, string(text))
}

// Guards against values that are read in another unit or into another field.
func TestParseValues(t *testing.T) {
	is := is.New(t)
	s := sample(t).After(cluster.Assemble(0, nil), 1)
	is.Equal(s.Teams["growers"].Limit, cluster.Resources{CPU: 2500, Memory: 64 * cluster.GiB, Accelerators: 2})
	is.Equal(s.Queues["statements"].MaxWait.String(), "72h0m0s")
	is.Equal(s.Services["settlement"].MaxAnswer, cluster.MiB)
	job := s.Jobs[cluster.JobID{Team: "growers", Name: "close"}]
	is.Equal(job.Workload, &cluster.Gang{Tasks: 3, Size: cluster.Resources{CPU: 500, Memory: 512 * cluster.MiB}, RunTime: 15e9})
	is.Equal(job.Priority, cluster.PriorityUrgent)
	is.Equal(len(s.Keys), 1)
}

// Guards against a text that makes the YAML library or the conversion panic,
// and against a note that changes when its own text is parsed again.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"malformed.txtar", "check.txtar"} {
		for _, file := range archive(f, name) {
			_, text, _ := strings.Cut(string(file.Data), "====\n")
			f.Add([]byte(text))
		}
	}
	f.Add(sample(f).Text)
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

// Guards against references to entities that are missing or about to go. Each
// file of the archive is a note on top of sample.yaml.
func TestCheckProblems(t *testing.T) {
	current := sample(t).After(cluster.Assemble(0, nil), 1)
	fleet := &Fleet{Largest: cluster.Resources{CPU: 2000, Memory: cluster.GiB, Accelerators: 1}}
	for _, f := range archive(t, "check.txtar") {
		t.Run(f.Name, func(t *testing.T) {
			is := is.New(t)
			want, text, ok := strings.Cut(string(f.Data), "====\n")
			is.True(ok)
			var got strings.Builder
			for _, p := range Check(parse(t, text), current, fleet) {
				got.WriteString(p.String() + "\n")
			}
			is.Equal(got.String(), want)
		})
	}
}

// Guards against a plan that hides which running work a note stops.
func TestPlanStops(t *testing.T) {
	is := is.New(t)
	current := sample(t).After(cluster.Assemble(0, nil), 1)
	running := Running{
		Use: map[cluster.TeamName]cluster.Resources{"growers": {CPU: 2000}},
		Jobs: map[cluster.JobID]cluster.QueueName{
			{Team: "growers", Name: "a"}: "tills", {Team: "growers", Name: "b"}: "statements", {Team: "audit", Name: "c"}: "tills",
		},
	}
	stops := func(text string) int { return len(MakePlan(parse(t, text), current, running).Stops()) }
	is.Equal(stops("summary: s\nwithdraw: {teams: [growers]}"), 2)
	is.Equal(stops("summary: s\nwithdraw: {queues: [tills]}"), 2)
	is.Equal(stops("summary: s\nwithdraw: {jobs: [growers/a]}"), 1)
	limit := "summary: s\nchange: {teams: [{name: growers, share: 1, limit: {cpus: %, memory: 64GiB, accelerators: 2}}]}"
	is.Equal(stops(strings.ReplaceAll(limit, "%", "1.5")), 2) // below what runs
	is.Equal(stops(strings.ReplaceAll(limit, "%", "2.2")), 0) // above what runs
}
