// Package peer connects the daemons of a cell with framed msgpack messages over TCP.
package peer
