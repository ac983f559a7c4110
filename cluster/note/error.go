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
	// KindMalformed is a note that does not parse, with its Problems, or a stored
	// row that does not decode.
	KindMalformed Kind = iota
	// KindInvalid is a note that does not fit the current configuration, with its Problems.
	KindInvalid
	// KindConflict is an entity that a newer note wrote or withdrew; Entity and
	// Version identify the entity and the note.
	KindConflict
	// KindRefused is a request that is not accepted for a reason other than the
	// content of its note, such as an invalid identifier.
	KindRefused
	// KindUnavailable is a temporary failure; the note was not accepted.
	KindUnavailable
	// KindUnknown is a commit with an unknown outcome; a repeated request with the
	// same ID determines it.
	KindUnknown
	// KindNotFound is a version that no note has.
	KindNotFound
	// KindDigestMismatch is a text whose digest differs from the one in the note's row.
	KindDigestMismatch
)

var kindNames = [...]string{
	"malformed", "invalid", "conflict", "refused", "unavailable", "unknown outcome", "not found", "wrong digest",
}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Problem is one reason why a note is not accepted.
type Problem struct {
	File string
	// Line is the line number, counted from 1; zero means that the problem has no line.
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
	// Op is the operation that failed.
	Op       string
	Kind     Kind
	Problems []Problem
	// Entity and Version are set for KindConflict: the entity in conflict and the
	// note that wrote or withdrew it last.
	Entity  cluster.EntityID
	Version cluster.Version
	Err     error
}

// Error formats the operation, the kind, the problems (one per line) and the cause.
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

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Err }

// IsKind reports whether err is an Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}
