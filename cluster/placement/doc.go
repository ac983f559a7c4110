// Package placement decides which worker a task runs on and which waiting job
// goes first. Decisions depend only on the tables: there is no clock, no I/O
// and no randomness in the package.
package placement
