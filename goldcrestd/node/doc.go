// Package node runs the daemon on a VM of the users' platform: it reads the
// settings file, starts the HTTP servers, and shuts down gracefully.
package node
