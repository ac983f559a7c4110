// Package placement contains the scheduling decisions for one or more racks: which
// worker runs a task, which waiting job is scheduled next, how large and how long
// the tasks of a job are expected to be, which workers and jobs are failing, and
// which running tasks are preempted.
//
// Decisions depend only on the state held by these types and on the arguments,
// including the current time: the package has no clock, no I/O and no source of
// randomness. Its types are not safe for concurrent use.
package placement
