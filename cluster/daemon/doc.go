// Package daemon wires the parts of goldcrestshift into the process that runs
// on every entry VM: the control loop, the HTTP API, peers, metrics and
// graceful shutdown.
package daemon
