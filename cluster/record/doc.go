// Package record encodes and decodes the entities of the configuration as
// msgpack for rows of the table service and for messages between daemons.
// Unmarshal decodes the rows of the other packages.
package record
