package questionnaire

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// writer writes YAML with a comment after each value. A depth is a level of indentation, two spaces.
type writer struct {
	text bytes.Buffer
}

func (w *writer) line(depth int, text string) {
	fmt.Fprintf(&w.text, "%s%s\n", strings.Repeat("  ", depth), text)
}

func (w *writer) heading(depth int, text string) { w.line(depth, "# "+oneLine(text)) }

func (w *writer) key(depth int, key string) { w.line(depth, key+":") }

// field writes a field with a comment: the answer that the field comes from and, if how is not empty,
// how it is derived.
func (w *writer) field(depth int, key string, value any, answer, how string) {
	w.line(depth, key+": "+scalarText(value)+comment(answer, how))
}

// entry writes the first field of a list entry. The other fields of the entry follow at depth+1.
func (w *writer) entry(depth int, key string, value any, answer, how string) {
	w.line(depth, "- "+key+": "+scalarText(value)+comment(answer, how))
}

// item writes a list entry that is a single value.
func (w *writer) item(depth int, value any, answer string) {
	w.line(depth, "- "+scalarText(value)+comment(answer, ""))
}

func comment(answer, how string) string {
	if how != "" {
		how = " (" + how + ")"
	}
	return " # from " + oneLine(answer) + how
}

// oneLine replaces line breaks by spaces, so that text from an answer cannot end the comment.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

// scalarText returns a value in YAML, quoted where needed.
func scalarText(value any) string {
	switch v := value.(type) {
	case time.Duration:
		return durationText(v)
	case string:
		return quoted(v)
	}
	return fmt.Sprint(value)
}

// quoted returns text as a YAML string on one line. Text that YAML would parse as another type or that
// spans several lines is quoted.
func quoted(text string) string {
	encoded, err := yaml.Marshal(text)
	result := strings.TrimSuffix(string(encoded), "\n")
	if err != nil || strings.Contains(result, "\n") {
		return strconv.Quote(text)
	}
	return result
}
