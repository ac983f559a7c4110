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

// Limits of a note's text. They limit the recursion depth and memory of the YAML parser.
const (
	// MaxTextBytes is the maximum size of the text in bytes.
	MaxTextBytes = 256 << 10
	// maxFlowDepth is the maximum nesting depth of flow collections ({} and []).
	maxFlowDepth = 16
	// maxLineEntries is the maximum number of "- " markers on one line, each of
	// which opens a nested list.
	maxLineEntries = 8
)

// Parse parses the text of a note; file is the name used in problems. Its error
// is an *Error of KindMalformed that lists all problems found.
func Parse(file string, text []byte) (*Note, error) {
	p := &noteParser{file: file, note: &Note{Text: slices.Clone(text), file: file, positions: map[cluster.EntityID]position{}}}
	p.parse(text)
	if len(p.problems) > 0 {
		return nil, &Error{Op: "parse note", Kind: KindMalformed, Problems: p.problems}
	}
	return p.note, nil
}

// noteParser holds the state of one call of Parse.
type noteParser struct {
	file string
	note *Note
	// fieldLines maps the path of each field to its line.
	fieldLines map[string]int
	problems   []Problem
}

func (p *noteParser) parse(text []byte) {
	if err := checkText(text); err != nil {
		p.addProblem(0, "", err)
		return
	}
	if line, err := checkTokens(string(text)); err != nil {
		p.addProblem(line, "", err)
		return
	}
	var decoded noteYAML
	if err := p.decode(text, &decoded); err != nil {
		p.addYAMLProblem(err)
		return
	}
	p.convert(&decoded)
}

// addProblem records a problem; line 0 means that it has no line.
func (p *noteParser) addProblem(line int, field string, err error) {
	p.problems = append(p.problems, Problem{File: p.file, Line: line, Field: field, Message: err.Error()})
}

// checkText checks the size and the character encoding of the text.
func checkText(text []byte) error {
	switch {
	case len(text) > MaxTextBytes:
		return fmt.Errorf("the note has %d bytes; at most %d are allowed", len(text), MaxTextBytes)
	case !utf8.Valid(text):
		return errors.New("the note is not valid UTF-8")
	case len(bytes.TrimSpace(text)) == 0:
		return errors.New("the note is empty")
	}
	return nil
}

// checkTokens rejects YAML features that notes do not need and with which a small
// text expands to a large or deeply nested one: anchors, aliases, merge keys,
// tags, directives, complex keys and deep nesting. It returns the line of the
// first one found.
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

// decode decodes the text, which must hold exactly one YAML document. It recovers
// from panics of the YAML library, whose parser can access tokens out of range
// in malformed texts.
func (p *noteParser) decode(text []byte, decoded *noteYAML) (err error) {
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
	p.fieldLines = map[string]int{}
	p.indexLines(file.Docs[0].Body, "")
	err = yaml.NewDecoder(bytes.NewReader(text), yaml.Strict()).Decode(decoded)
	if errors.Is(err, io.EOF) {
		return errors.New("the note is empty")
	}
	return err
}

// indexLines records the line of each field below node, whose path is path.
func (p *noteParser) indexLines(node ast.Node, path string) {
	switch n := node.(type) {
	case *ast.MappingNode:
		for _, v := range n.Values {
			p.indexPairLines(v, path)
		}
	case *ast.MappingValueNode:
		p.indexPairLines(n, path)
	case *ast.SequenceNode:
		for i, v := range n.Values {
			child := fmt.Sprintf("%s[%d]", path, i)
			if t := v.GetToken(); t != nil {
				p.fieldLines[child] = t.Position.Line
			}
			p.indexLines(v, child)
		}
	}
}

// indexPairLines records the lines of a mapping entry and of the fields below it.
func (p *noteParser) indexPairLines(n *ast.MappingValueNode, path string) {
	t := n.Key.GetToken()
	if t == nil {
		return
	}
	child := t.Value
	if path != "" {
		child = path + "." + child
	}
	p.fieldLines[child] = t.Position.Line
	p.indexLines(n.Value, child)
}

// addYAMLProblem records an error of the YAML library with its line and field.
func (p *noteParser) addYAMLProblem(err error) {
	var yamlErr yaml.Error
	if !errors.As(err, &yamlErr) || yamlErr.GetToken() == nil {
		p.addProblem(1, "", err)
		return
	}
	line := yamlErr.GetToken().Position.Line
	message := yamlErr.GetMessage()
	var unknownField *yaml.UnknownFieldError
	var typeErr *yaml.TypeError
	switch {
	case errors.As(err, &unknownField):
		message = "unknown field"
	case errors.As(err, &typeErr):
		message = fmt.Sprintf("is a %s instead of a %s", typeErr.SrcType.Kind(), typeErr.DstType.Kind())
	}
	p.addProblem(line, p.fieldOnLine(line, yamlErr.GetToken().Value), errors.New(message))
}

// fieldOnLine returns the path of the field on a line. Of several fields it
// prefers those whose name is the token's value, and of these the longest path.
func (p *noteParser) fieldOnLine(line int, tokenValue string) string {
	best, bestMatches := "", false
	for field, fieldLine := range p.fieldLines {
		if fieldLine != line {
			continue
		}
		matches := strings.HasSuffix(field, "."+tokenValue) || field == tokenValue
		preferred := len(field) > len(best) || len(field) == len(best) && field < best
		if matches && !bestMatches || matches == bestMatches && preferred {
			best, bestMatches = field, matches
		}
	}
	return best
}

// lineOf returns the line of a field, or of the nearest enclosing field that is
// present in the text, or 1.
func (p *noteParser) lineOf(field string) int {
	for field != "" {
		if line, ok := p.fieldLines[field]; ok {
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
