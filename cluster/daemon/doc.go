// Package daemon assembles the components of goldcrestshift into the process
// that runs on every entry VM: the control loop, the HTTP API, the connections
// to other daemons, metrics and graceful shutdown.
package daemon
