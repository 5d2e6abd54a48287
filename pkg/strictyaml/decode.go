package strictyaml

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Document maps the fields of a decoded document to their lines and collects the problems found in it.
type Document struct {
	lines    map[string]int
	problems Problems
	// hasProblem contains the paths of fields with a problem.
	hasProblem map[string]bool
}

// Hinter is implemented by types with their own UnmarshalYAML. Hint returns the remedy for a value that
// UnmarshalYAML refuses.
type Hinter interface{ Hint() string }

// Decode decodes text into the struct that target points to. Struct tags define the checks of a field:
// required:"true", min and max (inclusive, in the notation of the field's values), oneof
// (comma-separated) and unit (shown in the remedy of a number). The caller adds the problems of its own
// checks with Add and then calls Err.
func Decode(text []byte, target any) *Document {
	d := &Document{lines: map[string]int{}, hasProblem: map[string]bool{}}
	decoder := yaml.NewDecoder(bytes.NewReader(text))
	var root, second yaml.Node
	if err := decoder.Decode(&root); err != nil {
		d.addSyntaxError(err)
		return d
	}
	if err := decoder.Decode(&second); !errors.Is(err, io.EOF) {
		d.add(Problem{Line: second.Line, Field: "document", Message: "the file contains a second document", Remedy: "keep one YAML document in a file"})
	}
	d.decodeValue(root.Content[0], reflect.ValueOf(target).Elem(), "", "")
	return d
}

var lineNumber = regexp.MustCompile(`line (\d+)`)

func (d *Document) addSyntaxError(err error) {
	if errors.Is(err, io.EOF) {
		d.add(Problem{Line: 1, Field: "document", Message: "the file is empty", Remedy: "write the required fields"})
		return
	}
	line := 1
	if m := lineNumber.FindStringSubmatch(err.Error()); m != nil {
		line, _ = strconv.Atoi(m[1])
	}
	d.add(Problem{Line: line, Field: "document", Message: err.Error(), Remedy: "correct the YAML syntax near this line"})
}

// decodeValue decodes node into v and applies the checks in tag.
func (d *Document) decodeValue(node *yaml.Node, v reflect.Value, path string, tag reflect.StructTag) {
	if _, ok := d.lines[path]; !ok && path != "" {
		d.lines[path] = node.Line
	}
	switch {
	case node.Kind == yaml.AliasNode || node.Anchor != "":
		d.addAt(node, path, "anchors and aliases are not supported", "write the value out at each place")
	case node.Kind == yaml.ScalarNode && node.ShortTag() == "!!null":
		d.addAt(node, path, "the field has no value", "write a value or remove the field")
	case isUnmarshaler(v):
		d.decodeCustom(node, v, path, tag)
	case v.Kind() == reflect.Struct:
		d.decodeMapping(node, v, path)
	case v.Kind() == reflect.Slice:
		d.decodeSequence(node, v, path, tag)
	default:
		d.decodeScalar(node, v, path, tag)
	}
}

func (d *Document) addAt(node *yaml.Node, path, message, remedy string) {
	if path == "" {
		path = "document"
	}
	d.add(Problem{Line: node.Line, Field: path, Message: message, Remedy: remedy})
}

func isUnmarshaler(v reflect.Value) bool {
	return reflect.PointerTo(v.Type()).Implements(reflect.TypeFor[yaml.Unmarshaler]())
}

func (d *Document) decodeCustom(node *yaml.Node, v reflect.Value, path string, tag reflect.StructTag) {
	err := v.Addr().Interface().(yaml.Unmarshaler).UnmarshalYAML(node)
	if err != nil {
		hint := "correct the value"
		if h, ok := v.Interface().(Hinter); ok {
			hint = h.Hint()
		}
		d.addAt(node, path, err.Error(), hint)
		return
	}
	d.checkBounds(node, v, path, tag)
}

func (d *Document) decodeSequence(node *yaml.Node, v reflect.Value, path string, tag reflect.StructTag) {
	if node.Kind != yaml.SequenceNode {
		d.addAt(node, path, "the field must be a list", "write the entries as a list, each after a dash")
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(node.Content), len(node.Content)))
	for i, element := range node.Content {
		d.decodeValue(element, v.Index(i), fmt.Sprintf("%s[%d]", path, i), tag)
	}
}

func (d *Document) decodeMapping(node *yaml.Node, v reflect.Value, path string) {
	if node.Kind != yaml.MappingNode {
		d.addAt(node, path, "the field must be a mapping", "write its fields as key: value; known fields: "+strings.Join(fieldNames(v.Type()), ", "))
		return
	}
	seen := map[string]int{}
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, element := node.Content[i], node.Content[i+1]
		child := joinPath(path, key.Value)
		if first, ok := seen[key.Value]; ok {
			d.addAt(key, child, fmt.Sprintf("the field is already set on line %d", first), "keep one of the two")
			continue
		}
		seen[key.Value] = key.Line
		index, ok := fieldIndex(v.Type(), key.Value)
		if !ok {
			d.addAt(key, child, "unknown field", "use one of: "+strings.Join(fieldNames(v.Type()), ", "))
			continue
		}
		d.lines[child] = key.Line
		d.decodeValue(element, v.Field(index), child, v.Type().Field(index).Tag)
	}
	d.checkRequired(v, path, node)
}

func (d *Document) checkRequired(v reflect.Value, path string, node *yaml.Node) {
	for i := range v.NumField() {
		field := v.Type().Field(i)
		child := joinPath(path, yamlName(field))
		if field.Tag.Get("required") != "true" {
			continue
		}
		if !d.Has(child) {
			d.addAt(node, child, "the field is missing", "add "+yamlName(field)+" here")
			continue
		}
		if isEmpty(v.Field(i)) && !d.hasProblem[child] {
			d.Add(child, "the field is empty", "write a value")
		}
	}
}

func isEmpty(v reflect.Value) bool {
	return (v.Kind() == reflect.Slice || v.Kind() == reflect.String) && v.Len() == 0
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func yamlName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
	return name
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, 0, t.NumField())
	for i := range t.NumField() {
		names = append(names, yamlName(t.Field(i)))
	}
	return names
}

func fieldIndex(t reflect.Type, name string) (int, bool) {
	for i := range t.NumField() {
		if yamlName(t.Field(i)) == name {
			return i, true
		}
	}
	return 0, false
}

// CountKnownFields returns how many top-level keys of text are fields of the struct that target points
// to. It returns 0 for text that is not a YAML mapping.
func CountKnownFields(text []byte, target any) int {
	var root yaml.Node
	if yaml.Unmarshal(text, &root) != nil || len(root.Content) == 0 || root.Content[0].Kind != yaml.MappingNode {
		return 0
	}
	count := 0
	for i := 0; i < len(root.Content[0].Content); i += 2 {
		if _, ok := fieldIndex(reflect.TypeOf(target).Elem(), root.Content[0].Content[i].Value); ok {
			count++
		}
	}
	return count
}
