// Package api defines the JSON bodies of the HTTP API, for the daemon and for
// its clients.
package api
