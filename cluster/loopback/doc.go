// Package loopback reserves addresses on the loopback interface for programs
// that tests and the soak test start as separate processes.
package loopback
