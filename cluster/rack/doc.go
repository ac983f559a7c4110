// Package rack is the control state machine of a daemon: it decides which racks
// the daemon owns, which tasks start on which worker, how much of a team's limit
// each rack may use, and how all of that is recovered after a failure.
//
// Controller.Step takes the time and the events since the last call and returns
// effects for the daemon to carry out. The package has no clock, no I/O and no
// goroutines; the same calls give the same effects.
package rack
