// Package rack is the control state machine of a daemon: it decides which racks
// the daemon owns, which tasks start on which worker, how much of a team's limit
// each rack may use, and how all of that is recovered after a failure.
//
// A rack has one owner at a time. The rack's row in the table service names the
// owner and an epoch, which every change of ownership raises. A new owner first
// fences the rack's workers, which refuse lower epochs from then on, then loads
// the rack's assignment rows and adopts the running tasks. Tasks run under a
// lease that each exchange with the rack renews, so the tasks of a worker that
// can't be reached have ended once their leases must have expired.
//
// A job is divided into assignments, one row per rack. Its home rack is the
// rack whose owner starts its gang rounds and records its end. The tasks of a
// gang job start together: the owner of the home rack first gets a hold, which
// keeps capacity free, on every rack with tasks of the job, and then records the
// start as a numbered round.
//
// Each rack may use the part of a team's limit that the team's grants row assigns
// to it, so that its owner starts tasks without asking other daemons.
//
// Controller.Step takes the time and the events since the last call and returns
// effects for the daemon to carry out. The package has no clock, no I/O and no
// goroutines; the same calls give the same effects.
package rack
