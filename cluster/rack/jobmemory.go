package rack

import (
	"unsafe"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

const (
	// jobIndexBytes is the memory of the entries of a job in the maps of a controller.
	jobIndexBytes = 512
	// taskIndexBytes is the memory of a task in the queue of its rack and in its encoded row, which is kept until it is
	// written.
	taskIndexBytes = 128
)

// jobMemory estimates the memory of a job; that of its tasks is released when it has ended.
func jobMemory(spec *cluster.JobSpec, active bool) cluster.Bytes {
	size := jobIndexBytes + int(unsafe.Sizeof(job{})+unsafe.Sizeof(cluster.JobSpec{})+unsafe.Sizeof(cluster.Batch{}))
	for _, arg := range spec.Command {
		size += int(unsafe.Sizeof(arg)) + len(arg)
	}
	if active {
		n, _ := spec.TaskCount()
		size += n * (int(unsafe.Sizeof(task{})) + taskIndexBytes)
	}
	return cluster.Bytes(size)
}

// quotaName is the name of a job in the quota, where teams share their names.
func quotaName(id cluster.JobID) cluster.JobName { return cluster.JobName(id.String()) }

// reserveMemory takes memory for a job that is about to be committed; it returns false if there is no room for it.
func (c *Controller) reserveMemory(spec *cluster.JobSpec) bool {
	ok, _ := c.quota.Reserve(c.now, quotaName(spec.ID), spec.ID.Team, jobMemory(spec, true))
	return ok
}

// countMemory counts the memory of a job whose row was read.
func (c *Controller) countMemory(j *job) {
	c.quota.Set(c.now, quotaName(j.id), j.id.Team, jobMemory(j.spec, j.active()))
}
