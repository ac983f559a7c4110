// Package record encodes and decodes the entities of the configuration as
// msgpack for rows of the table service and for messages between daemons.
package record
