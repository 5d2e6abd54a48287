// Package reference generates the reference pages of settings and configuration from the doc
// comments and tags of their types.
package reference

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
)

// Page describes one reference page.
type Page struct {
	// Title is the heading of the page and Intro the paragraph after it.
	Title, Intro string
	// Directory is the directory of the Go package that defines the types.
	Directory string
	// Root is the name of the struct type of the whole document.
	Root string
}

// Generate returns the page in Markdown. It fails if a field's doc comment does not state its effect,
// default and unit.
func Generate(p Page) (string, error) {
	types, err := parseTypes(p.Directory)
	if err != nil {
		return "", err
	}
	g := &generator{types: types, written: map[string]bool{}}
	fmt.Fprintf(&g.out, "# %s\n\n%s\n\nThis page is generated from the comments in `pkg/%s` by `go test ./pkg/reference -update`.\n",
		p.Title, p.Intro, filepath.Base(p.Directory))
	if err := g.writeType(p.Root); err != nil {
		return "", err
	}
	return g.out.String(), nil
}

// structType is a struct declaration with its doc comment.
type structType struct {
	doc    string
	fields []*ast.Field
}

func parseTypes(directory string) (map[string]structType, error) {
	entries, err := os.ReadDir(directory)
	if err != nil {
		return nil, err
	}
	types := map[string]structType{}
	for _, e := range entries {
		if !strings.HasSuffix(e.Name(), ".go") || strings.HasSuffix(e.Name(), "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(directory, e.Name()), nil, parser.ParseComments)
		if err != nil {
			return nil, err
		}
		maps.Copy(types, collectStructs(file))
	}
	return types, nil
}

func collectStructs(file *ast.File) map[string]structType {
	types := map[string]structType{}
	for _, declaration := range file.Decls {
		genDecl, ok := declaration.(*ast.GenDecl)
		if !ok {
			continue
		}
		for _, spec := range genDecl.Specs {
			typeSpec, ok := spec.(*ast.TypeSpec)
			if !ok {
				continue
			}
			if s, ok := typeSpec.Type.(*ast.StructType); ok {
				types[typeSpec.Name.Name] = structType{doc: genDecl.Doc.Text(), fields: s.Fields.List}
			}
		}
	}
	return types
}

type generator struct {
	types   map[string]structType
	written map[string]bool
	out     strings.Builder
}

// writeType writes the table of a struct type and then those of the struct types that it refers to. Each
// type is written once.
func (g *generator) writeType(name string) error {
	t, ok := g.types[name]
	if !ok || g.written[name] {
		return nil
	}
	g.written[name] = true
	fmt.Fprintf(&g.out, "\n## %s\n\n%s\n\n| field | type | description | effect | default | unit | allowed |\n|---|---|---|---|---|---|---|\n",
		name, oneLine(t.doc))
	var referencedTypes []string
	for _, f := range t.fields {
		row, referenced, err := g.fieldRow(name, f)
		if err != nil {
			return err
		}
		g.out.WriteString(row)
		referencedTypes = append(referencedTypes, referenced)
	}
	for _, referenced := range slices.Compact(referencedTypes) {
		if err := g.writeType(referenced); err != nil {
			return err
		}
	}
	return nil
}

// fieldCommentPattern matches the doc comment of a field, in the form "Name is ... . Effect: ... . Default:
// ... . Unit: ... ."
var fieldCommentPattern = regexp.MustCompile(`^(.*?\.) Effect: (.*?)\. Default: (.*?)\. Unit: (.*?)\.(.*)$`)

// fieldRow returns the table row of a field and the name of the struct type that it refers to, if any.
func (g *generator) fieldRow(typeName string, f *ast.Field) (row, referenced string, err error) {
	goName := f.Names[0].Name
	tag := reflect.StructTag(strings.Trim(f.Tag.Value, "`"))
	name, _, _ := strings.Cut(tag.Get("yaml"), ",")
	m := fieldCommentPattern.FindStringSubmatch(oneLine(f.Doc.Text()))
	if m == nil {
		return "", "", fmt.Errorf("the comment of %s.%s must have the form \"... Effect: ... . Default: ... . Unit: ... .\"", typeName, goName)
	}
	typeText, referenced := g.describeType(f.Type)
	description := strings.Replace(strings.TrimSpace(m[1]+m[5]), goName, "`"+name+"`", 1)
	row = fmt.Sprintf("| `%s` | %s | %s | %s | %s | %s | %s |\n", name, typeText, escapeCell(description), escapeCell(m[2]), escapeCell(m[3]), escapeCell(m[4]), allowedValues(tag))
	return row, referenced, nil
}

// describeType returns the text for a type in the table and the name of the struct type that it refers
// to, if any.
func (g *generator) describeType(expression ast.Expr) (text, referenced string) {
	switch e := expression.(type) {
	case *ast.ArrayType:
		text, referenced = g.describeType(e.Elt)
		return "list of " + text, referenced
	case *ast.SelectorExpr:
		return strings.ToLower(e.Sel.Name), ""
	case *ast.Ident:
		if _, isStruct := g.types[e.Name]; isStruct {
			return fmt.Sprintf("[%s](#%s)", e.Name, strings.ToLower(e.Name)), e.Name
		}
		return typeDescriptions[e.Name], ""
	}
	return "", ""
}

var typeDescriptions = map[string]string{
	"string": "text", "int": "whole number", "int64": "whole number", "float64": "number", "bool": "true or false", "Duration": "duration",
}

func allowedValues(tag reflect.StructTag) string {
	var rules []string
	if choices := tag.Get("oneof"); choices != "" {
		rules = append(rules, strings.ReplaceAll(choices, ",", ", "))
	}
	if low := tag.Get("min"); low != "" {
		rules = append(rules, "at least "+low)
	}
	if high := tag.Get("max"); high != "" {
		rules = append(rules, "at most "+high)
	}
	return strings.Join(rules, ", ")
}

func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

func escapeCell(text string) string { return strings.ReplaceAll(text, "|", `\|`) }
