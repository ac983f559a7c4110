// Package pool schedules the jobs of one pool of workers. A Scheduler is a deterministic state machine: Step
// takes the current time and a list of events, and returns the requests and records that the caller has to send
// or write. It does no I/O.
//
// The replies of the workers are authoritative for which tasks run. The table service stores the accepted jobs,
// the recorded results and the owner of the pool. A new owner has its fencing token accepted by a worker before
// it relies on the worker's replies.
package pool
