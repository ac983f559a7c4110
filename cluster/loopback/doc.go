// Package loopback reserves addresses on the loopback interface for programs
// that are started as processes of their own, by tests and by the soak.
package loopback
