package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/goldcrestshift/goldcrestshift/cluster/api"
)

// table is the table output of a command.
type table struct {
	header []string
	rows   [][]string
}

// add appends a row; an empty cell is shown as "-".
func (t *table) add(cells ...any) {
	row := make([]string, len(cells))
	for i, cell := range cells {
		row[i] = fmt.Sprint(cell)
		if row[i] == "" {
			row[i] = "-"
		}
	}
	t.rows = append(t.rows, row)
}

// print writes v as JSON or t as a table, depending on --output.
func (c *config) print(v any, t table) error {
	if c.settings.output == outputJSON {
		e := json.NewEncoder(c.stdout)
		e.SetIndent("", "  ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.header, "\t"))
	for _, row := range t.rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}

// printJob prints the state of one job.
func (c *config) printJob(j api.JobStatus) error {
	return c.print(j, jobTable([]api.JobStatus{j}))
}

// jobTable returns the table of jobs.
func jobTable(jobs []api.JobStatus) table {
	t := table{header: []string{"JOB", "TEAM", "QUEUE", "STATE", "TASKS", "SUBMITTED", "REASON"}}
	for _, j := range jobs {
		t.add(j.ID, j.Team, j.Queue, j.State, formatTasks(j.Tasks), formatTime(j.Submitted), j.Reason)
	}
	return t
}

// formatTasks lists the number of tasks in each state that has tasks.
func formatTasks(n api.TaskCounts) string {
	var parts []string
	for _, s := range []struct {
		name  string
		count int
	}{
		{"pending", n.Pending},
		{"starting", n.Starting},
		{"running", n.Running},
		{"finished", n.Finished},
		{"failed", n.Failed},
		{"unknown", n.Unknown},
		{"stopped", n.Stopped},
	} {
		if s.count > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", s.count, s.name))
		}
	}
	return strings.Join(parts, ", ")
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

func formatResources(r api.Resources) string {
	s := fmt.Sprintf("%g cpus, %s", r.CPUs, r.Memory)
	if r.Accelerators > 0 {
		s += fmt.Sprintf(", %d accelerators", r.Accelerators)
	}
	return s
}

// printPlan prints the changes and the warnings of a plan.
func (c *config) printPlan(p api.Plan) error {
	t := table{header: []string{"ACTION", "ENTITY", "DETAIL"}}
	for _, change := range p.Changes {
		t.add(change.Action, change.Entity, change.Detail)
	}
	for _, warning := range p.Warnings {
		t.add("warning", "", warning)
	}
	return c.print(p, t)
}
