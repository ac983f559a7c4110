package rack

import (
	"slices"

	"github.com/goldcrestshift/goldcrestshift/cluster"
	"github.com/goldcrestshift/goldcrestshift/cluster/journal"
	"github.com/goldcrestshift/goldcrestshift/cluster/peer"
	"github.com/goldcrestshift/goldcrestshift/cluster/platform"
)

// taskAddition is a transaction that adds tasks to the assignment rows of a job.
// Other daemons may own its racks, so the rows are read first.
type taskAddition struct {
	job   cluster.JobID
	tasks map[cluster.RackID][]taskRow
	// editJob changes the job as read; change holds further checks and puts of the caller.
	editJob func(*job)
	change  journal.Change
	// stillValid reports whether the addition still applies to the job as read.
	stillValid func(*job) bool
	// done is called with the result of the commit.
	done func(cluster.Version, error)
}

// errStateChanged means that the state from which an addition was computed has changed.
var errStateChanged = &journal.Error{Op: "add tasks", Kind: journal.KindConflict}

// addTasks reads the rows to which tasks are added and commits the addition.
func (c *Controller) addTasks(add taskAddition) {
	keys := []string{jobKey(add.job)}
	for _, id := range add.rackIDs() {
		keys = append(keys, assignKey(id, add.job))
	}
	c.readRows(platform.ReadRequest{Keys: keys}, func(reply platform.ReadReply, err error) {
		if err != nil {
			add.done(0, &journal.Error{Op: "add tasks", Kind: journal.KindUnavailable, Err: err})
			return
		}
		rows := map[string]platform.Row{}
		for _, row := range reply.Rows {
			if !row.Deleted {
				rows[row.Key] = row
			}
		}
		c.commitAddition(add, rows)
	})
}

// rackIDs returns the racks that get tasks, sorted.
func (add *taskAddition) rackIDs() []cluster.RackID {
	ids := make([]cluster.RackID, 0, len(add.tasks))
	for id := range add.tasks {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// commitAddition commits an addition on the condition that the rows are still as read.
func (c *Controller) commitAddition(add taskAddition, rows map[string]platform.Row) {
	storedJob, ok := rows[jobKey(add.job)]
	if !ok {
		add.done(0, errStateChanged)
		return
	}
	c.ingestRow(storedJob)
	j, err := decodeJob(storedJob.Key, storedJob.Value)
	if err != nil || !j.active() || j.cancelRequested || !add.stillValid(j) {
		add.done(0, errStateChanged)
		return
	}
	add.editJob(j)
	change := add.change
	var written []platform.Row
	for _, id := range add.rackIDs() {
		key := assignKey(id, add.job)
		value, err := appendTasks(rows[key], j, add.tasks[id])
		if err != nil {
			add.done(0, errStateChanged)
			return
		}
		change.Checks = append(change.Checks, platform.Check{Key: key, Version: rows[key].Version})
		written = append(written, platform.Row{Key: key, Value: value})
		if !slices.Contains(j.racks, id) {
			j.racks = append(j.racks, id)
		}
	}
	value, err := j.encode()
	if err != nil {
		add.done(0, errStateChanged)
		return
	}
	if !slices.Equal(value, storedJob.Value) {
		change.Checks = append(change.Checks, platform.Check{Key: storedJob.Key, Version: storedJob.Version})
		written = append(written, platform.Row{Key: storedJob.Key, Value: value})
	}
	for _, row := range written {
		change.Puts = append(change.Puts, platform.Put{Key: row.Key, Value: row.Value})
	}
	c.commit(change, func(version cluster.Version, err error) {
		add.done(version, err)
		if err == nil {
			c.publishAddition(add, written, version)
		}
	})
}

// appendTasks returns the value of an assignment row with tasks added; the row may not exist yet.
func appendTasks(row platform.Row, j *job, tasks []taskRow) ([]byte, error) {
	v := assignRow{SubmittedAt: j.submittedAt.UnixNano()}
	if row.Version != 0 {
		if err := decodeRow(row.Key, row.Value, &v); err != nil {
			return nil, err
		}
	}
	v.Tasks = append(v.Tasks, tasks...)
	return encodeRow(&v)
}

// publishAddition applies the rows that were written and sends them to the owners of the racks.
func (c *Controller) publishAddition(add taskAddition, written []platform.Row, version cluster.Version) {
	for i := range written {
		written[i].Version = version
		c.ingestRow(written[i])
	}
	for _, id := range add.rackIDs() {
		if r := c.racks[id]; r != nil {
			c.send(r.owner, &peer.AssignNotice{Rack: id, Rows: written})
		}
	}
}
