// Package placement decides which worker a task runs on and which waiting job
// goes first, what size and run time to expect of a job, which workers and jobs
// are broken, and whom to take room from.
//
// Decisions depend only on the tables and on what is passed in, the time
// included: there is no clock, no I/O and no source of randomness in the package.
// Nothing in it is safe for concurrent use.
package placement
