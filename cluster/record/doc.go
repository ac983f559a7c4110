// Package record encodes domain types as msgpack for rows of the table service
// and for messages between daemons.
package record
