package note

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"

	"github.com/goldcrestshift/goldcrestshift/cluster"
)

// Limits of a note's text. They bound the recursion and memory of the YAML parser.
const (
	MaxText        = 256 << 10
	maxFlowDepth   = 16
	maxLineEntries = 8
)

// Parse reads a note. Its error is an *Error of KindMalformed with one Problem per fault.
func Parse(file string, text []byte) (*Note, error) {
	p := &noteParser{file: file, note: &Note{Text: slices.Clone(text), file: file, at: map[cluster.EntityID]position{}}}
	p.parse(text)
	if len(p.problems) > 0 {
		return nil, &Error{Op: "parse note", Kind: KindMalformed, Problems: p.problems}
	}
	return p.note, nil
}

type noteParser struct {
	file     string
	note     *Note
	lines    map[string]int
	problems []Problem
}

func (p *noteParser) parse(text []byte) {
	if err := checkText(text); err != nil {
		p.fail(0, "", err)
		return
	}
	if line, err := checkTokens(string(text)); err != nil {
		p.fail(line, "", err)
		return
	}
	var wire noteYAML
	if err := p.decode(text, &wire); err != nil {
		p.failYAML(err)
		return
	}
	p.convert(&wire)
}

func (p *noteParser) fail(line int, field string, err error) {
	p.problems = append(p.problems, Problem{File: p.file, Line: line, Field: field, Message: err.Error()})
}

func checkText(text []byte) error {
	switch {
	case len(text) > MaxText:
		return fmt.Errorf("the note has %d bytes; at most %d are allowed", len(text), MaxText)
	case !utf8.Valid(text):
		return errors.New("the note is not valid UTF-8")
	case len(bytes.TrimSpace(text)) == 0:
		return errors.New("the note is empty")
	}
	return nil
}

// checkTokens refuses what a note never needs and what lets a small text become
// a large or deeply nested one: anchors, aliases, tags and deep flow nesting.
func checkTokens(text string) (line int, err error) {
	depth, entries, entryLine := 0, 0, 0
	for _, t := range lexer.Tokenize(text) {
		line = t.Position.Line
		switch t.Type {
		case token.AnchorType, token.AliasType, token.MergeKeyType, token.TagType, token.DirectiveType, token.MappingKeyType:
			return line, fmt.Errorf("%q is not allowed in a note", t.Value)
		case token.InvalidType:
			return line, errors.New("the text is not valid YAML")
		case token.MappingStartType, token.SequenceStartType:
			if depth++; depth > maxFlowDepth {
				return line, errors.New("the note is nested too deeply")
			}
		case token.MappingEndType, token.SequenceEndType:
			depth--
		case token.SequenceEntryType:
			if line != entryLine {
				entries, entryLine = 0, line
			}
			if entries++; entries > maxLineEntries {
				return line, errors.New("the note is nested too deeply")
			}
		}
	}
	return 0, nil
}

// decode reads the single document of the text. The recover guards against a
// panic of the YAML library, whose parser indexes tokens of malformed texts.
func (p *noteParser) decode(text []byte, wire *noteYAML) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the text is not valid YAML: %v", r)
		}
	}()
	file, err := parser.ParseBytes(text, 0)
	if err != nil {
		return err
	}
	if len(file.Docs) != 1 {
		return fmt.Errorf("the text holds %d documents instead of one", len(file.Docs))
	}
	p.lines = map[string]int{}
	p.index(file.Docs[0].Body, "")
	err = yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(wire)
	if errors.Is(err, io.EOF) {
		return errors.New("the note is empty")
	}
	return err
}

// index notes the line of each field.
func (p *noteParser) index(node ast.Node, path string) {
	switch n := node.(type) {
	case *ast.MappingNode:
		for _, v := range n.Values {
			p.indexPair(v, path)
		}
	case *ast.MappingValueNode:
		p.indexPair(n, path)
	case *ast.SequenceNode:
		for i, v := range n.Values {
			child := fmt.Sprintf("%s[%d]", path, i)
			if t := v.GetToken(); t != nil {
				p.lines[child] = t.Position.Line
			}
			p.index(v, child)
		}
	}
}

func (p *noteParser) indexPair(n *ast.MappingValueNode, path string) {
	t := n.Key.GetToken()
	if t == nil {
		return
	}
	child := t.Value
	if path != "" {
		child = path + "." + child
	}
	p.lines[child] = t.Position.Line
	p.index(n.Value, child)
}

// failYAML records an error of the YAML library with its line and field.
func (p *noteParser) failYAML(err error) {
	var y yaml.Error
	if !errors.As(err, &y) || y.GetToken() == nil {
		p.fail(1, "", err)
		return
	}
	line := y.GetToken().Position.Line
	message := y.GetMessage()
	var unknown *yaml.UnknownFieldError
	var mistyped *yaml.TypeError
	switch {
	case errors.As(err, &unknown):
		message = "unknown field"
	case errors.As(err, &mistyped):
		message = fmt.Sprintf("is a %s instead of a %s", mistyped.SrcType.Kind(), mistyped.DstType.Kind())
	}
	p.fail(line, p.fieldAt(line, y.GetToken().Value), errors.New(message))
}

// fieldAt returns the field on a line; of several the one that ends with the token, then the longest.
func (p *noteParser) fieldAt(line int, value string) string {
	best, matched := "", false
	for field, at := range p.lines {
		if at != line {
			continue
		}
		match := strings.HasSuffix(field, "."+value) || field == value
		better := len(field) > len(best) || len(field) == len(best) && field < best
		if match && !matched || match == matched && better {
			best, matched = field, match
		}
	}
	return best
}

// lineOf returns the line of a field, or of the nearest enclosing field that the text holds.
func (p *noteParser) lineOf(field string) int {
	for field != "" {
		if line, ok := p.lines[field]; ok {
			return line
		}
		i := strings.LastIndexAny(field, ".[")
		if i < 0 {
			break
		}
		field = field[:i]
	}
	return 1
}
