// Package strictyaml decodes YAML into structs and reports every problem with its line, field and
// remedy, instead of stopping at the first one. It is used for settings and configuration.
package strictyaml

import (
	"fmt"
	"slices"
	"strings"
)

// Problem is one error in a document.
type Problem struct {
	// Line is the line in the document, counted from 1, or 0 if the line is unknown.
	Line int `json:"line"`
	// Field is the path of the field, as in "workspaces[2].limits.deadline".
	Field string `json:"field"`
	// Message describes the error.
	Message string `json:"message"`
	// Remedy describes how to correct the document.
	Remedy string `json:"remedy"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	return fmt.Sprintf("line %d: %s: %s; remedy: %s", p.Line, p.Field, p.Message, p.Remedy)
}

// Problems are all errors in a document. It implements error.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, 0, len(p))
	for _, problem := range p {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}

// Add adds a problem with the field at path. The line is that of the field, or of the nearest
// enclosing field that the document contains.
func (d *Document) Add(path, message, remedy string) {
	d.add(Problem{Line: d.Line(path), Field: path, Message: message, Remedy: remedy})
}

func (d *Document) add(p Problem) {
	d.problems = append(d.problems, p)
	d.hasProblem[p.Field] = true
}

// Err returns all problems in the order of their lines as Problems, or nil.
func (d *Document) Err() error {
	if len(d.problems) == 0 {
		return nil
	}
	sorted := slices.Clone(d.problems)
	slices.SortStableFunc(sorted, func(a, b Problem) int { return a.Line - b.Line })
	return sorted
}

// Has reports whether the document contains the field at path.
func (d *Document) Has(path string) bool {
	_, ok := d.lines[path]
	return ok
}

// HasProblem reports whether a problem with the field at path has been added.
func (d *Document) HasProblem(path string) bool { return d.hasProblem[path] }

// Line returns the line of the field at path, or of the nearest enclosing field, or 1.
func (d *Document) Line(path string) int {
	for path != "" {
		if line, ok := d.lines[path]; ok {
			return line
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 1
}
