// Package peer connects the daemons of a cell over TCP. It keeps one connection
// to each peer and exchanges messages as length-prefixed frames of msgpack values.
package peer
