// Package api defines the headers and the JSON bodies of the HTTP API, for the
// daemon and its clients.
package api
