package document

import (
	"errors"
	"fmt"
	"sort"
	"strings"

	sesamepitch "sesamepitch/src"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

const maxDocumentBytes = 8 << 20 // bytes

// Fault is one validation error of a document.
type Fault struct {
	Line    int    `json:"line"`
	Section string `json:"section"`
	Item    string `json:"item"`
	Message string `json:"message"`
}

// String formats the fault on one line.
func (f Fault) String() string {
	return fmt.Sprintf("line %d: %s %s: %s", f.Line, f.Section, f.Item, f.Message)
}

// Faults are all validation errors of a document.
type Faults []Fault

// Error returns the faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// itemLines maps a section and the index of an item in it to the item's line.
type itemLines map[string]map[int]int

func (l itemLines) at(section string, index int) int { return l[section][index] }

// Parse decodes and validates a YAML document; unknown fields are faults. The
// error lists all faults with their lines.
func Parse(content []byte) (Document, error) {
	if len(content) > maxDocumentBytes {
		return Document{}, validationError(Faults{{Section: "document", Message: fmt.Sprintf("larger than %d bytes", maxDocumentBytes)}})
	}
	file, err := parser.ParseBytes(content, 0)
	if err != nil {
		return Document{}, validationError(Faults{syntaxFault(err)})
	}
	reader := documentReader{lines: itemLines{}}
	for _, part := range file.Docs {
		reader.readBody(part.Body)
	}
	if len(file.Docs) > 1 {
		reader.fault(0, "document", "", "more than one YAML document in the file; keep one")
	}
	reader.faults = append(reader.faults, validate(reader.document, reader.lines)...)
	if len(reader.faults) > 0 {
		sort.SliceStable(reader.faults, func(i, j int) bool { return reader.faults[i].Line < reader.faults[j].Line })
		return Document{}, validationError(reader.faults)
	}
	return reader.document.Sorted(), nil
}

func validationError(faults Faults) error {
	return &Error{Op: "document.check", Kind: sesamepitch.KindInvalid, Err: faults}
}

func syntaxFault(err error) Fault {
	var syntax *yaml.SyntaxError
	if errors.As(err, &syntax) && syntax.Token != nil {
		return Fault{Line: syntax.Token.Position.Line, Section: "document", Message: syntax.Message}
	}
	return Fault{Section: "document", Message: err.Error()}
}

type documentReader struct {
	document Document
	lines    itemLines
	faults   Faults
}

func (r *documentReader) fault(line int, section, item, message string) {
	r.faults = append(r.faults, Fault{Line: line, Section: section, Item: item, Message: message})
}

func (r *documentReader) readBody(body ast.Node) {
	if body == nil {
		return
	}
	mapping, ok := body.(ast.MapNode)
	if !ok {
		r.fault(lineOf(body), "document", "", "must be a mapping of sections")
		return
	}
	entries := mapping.MapRange()
	for entries.Next() {
		r.readSection(entries.Key(), entries.Value())
	}
}

func (r *documentReader) readSection(key, value ast.Node) {
	d, name := &r.document, key.String()
	switch name {
	case "workspaces":
		readItems(r, name, value, &d.Workspaces)
	case "keys":
		readItems(r, name, value, &d.Keys)
	case "trainers":
		readItems(r, name, value, &d.Trainers)
	case "models":
		readItems(r, name, value, &d.Models)
	case "data_centres":
		readItems(r, name, value, &d.DataCentres)
	case "endpoints":
		readItems(r, name, value, &d.Endpoints)
	case "services":
		readItems(r, name, value, &d.Services)
	case "limits":
		readItems(r, name, value, &d.Limits)
	case "open_routes":
		readItems(r, name, value, &d.OpenRoutes)
	default:
		r.fault(lineOf(key), name, "", "unknown section; remove it or mend its name")
	}
}

func readItems[T any](r *documentReader, section string, value ast.Node, list *[]T) {
	if value == nil || value.Type() == ast.NullType {
		return
	}
	sequence, ok := value.(*ast.SequenceNode)
	if !ok {
		r.fault(lineOf(value), section, "", "must be a list of items")
		return
	}
	r.lines[section] = map[int]int{}
	for _, node := range sequence.Values {
		var item T
		if err := yaml.NodeToValue(node, &item, yaml.Strict()); err != nil {
			r.decodeFault(section, node, err)
		}
		r.lines[section][len(*list)] = lineOf(node)
		*list = append(*list, item)
	}
}

func (r *documentReader) decodeFault(section string, node ast.Node, err error) {
	line, message := lineOf(node), err.Error()
	var located yaml.Error
	if errors.As(err, &located) {
		message = located.GetMessage()
		if token := located.GetToken(); token != nil {
			line = token.Position.Line
		}
	}
	r.fault(line, section, "", message)
}

func lineOf(node ast.Node) int {
	if node == nil || node.GetToken() == nil {
		return 0
	}
	return node.GetToken().Position.Line
}
