package note

import (
	"errors"
	"fmt"
	"strings"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Kind classifies an Error.
type Kind int

// Kinds of error.
const (
	// KindMalformed is a note that does not parse; Problems holds the reasons.
	KindMalformed Kind = iota
	// KindInvalid is a note that contradicts the configuration; Problems holds the reasons.
	KindInvalid
	// KindConflict is an entity that a newer note wrote; Entity and Version name them.
	KindConflict
	// KindRefused is a request that can't be accepted whatever the note says.
	KindRefused
	// KindUnavailable is an outage; the note was not accepted.
	KindUnavailable
	// KindUnknown says that the outcome is not known; a repeat with the same ID finds out.
	KindUnknown
	// KindNotFound is a version without a note.
	KindNotFound
	// KindDigest is a text that differs from the digest in the note's row.
	KindDigest
)

var kindNames = [...]string{
	"malformed", "invalid", "conflict", "refused", "unavailable", "unknown outcome", "not found", "wrong digest",
}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

// Problem is one fault of a note.
type Problem struct {
	File string
	// Line is the number of the line, from 1; zero if the note was not parsed from text.
	Line int
	// Field is the path of the field, such as add.teams[0].limit.memory.
	Field   string
	Message string
}

// String formats the problem as file:line: field: message.
func (p Problem) String() string {
	s := p.Message
	if p.Field != "" {
		s = p.Field + ": " + s
	}
	if p.Line > 0 {
		s = fmt.Sprintf("%s:%d: %s", p.File, p.Line, s)
	}
	return s
}

// Error is the error of every operation of the package.
type Error struct {
	Op       string
	Kind     Kind
	Problems []Problem
	// Entity is the entity in conflict and Version the note that wrote it last, for KindConflict.
	Entity  cluster.EntityID
	Version cluster.Version
	Err     error
}

// Error formats the operation, the kind and the reasons, one problem a line.
func (e *Error) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", e.Op, e.Kind)
	if e.Kind == KindConflict {
		fmt.Fprintf(&b, ": %s was written by note %d", e.Entity, e.Version)
	}
	for _, p := range e.Problems {
		b.WriteString("\n" + p.String())
	}
	if e.Err != nil {
		b.WriteString(": " + e.Err.Error())
	}
	return b.String()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
