// Package crowd opens many connections whose clients don't behave, and measures what a process uses beside them, for tests
// of programs that run as processes of their own.
package crowd
