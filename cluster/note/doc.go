// Package note implements release notes, the YAML documents with which
// operators change the configuration. It parses a note, checks it against the
// current configuration, previews its effects, and applies it in one
// transaction of the table service.
package note
