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
	// Title heads the page and Intro follows it.
	Title, Intro string
	// Directory contains the Go package of the types.
	Directory string
	// Root is the type of the whole document.
	Root string
}

// Generate returns the page in Markdown. It fails if a field's comment does not state effect,
// default and unit.
func Generate(p Page) (string, error) {
	types, err := parseTypes(p.Directory)
	if err != nil {
		return "", err
	}
	g := &generator{types: types, written: map[string]bool{}}
	fmt.Fprintf(&g.out, "# %s\n\n%s\n\nThis page is generated from the comments in `pkg/%s` by `go test ./pkg/reference -update`.\n",
		p.Title, p.Intro, filepath.Base(p.Directory))
	if err := g.write(p.Root); err != nil {
		return "", err
	}
	return g.out.String(), nil
}

// structType is a struct with its doc comment.
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
		maps.Copy(types, structsOf(file))
	}
	return types, nil
}

func structsOf(file *ast.File) map[string]structType {
	types := map[string]structType{}
	for _, declaration := range file.Decls {
		general, ok := declaration.(*ast.GenDecl)
		if !ok {
			continue
		}
		for _, spec := range general.Specs {
			typeSpec, ok := spec.(*ast.TypeSpec)
			if !ok {
				continue
			}
			if s, ok := typeSpec.Type.(*ast.StructType); ok {
				types[typeSpec.Name.Name] = structType{doc: general.Doc.Text(), fields: s.Fields.List}
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

// write writes the table of a type and then those of the types it refers to.
func (g *generator) write(name string) error {
	t, ok := g.types[name]
	if !ok || g.written[name] {
		return nil
	}
	g.written[name] = true
	fmt.Fprintf(&g.out, "\n## %s\n\n%s\n\n| field | type | description | effect | default | unit | allowed |\n|---|---|---|---|---|---|---|\n",
		name, oneLine(t.doc))
	var inner []string
	for _, f := range t.fields {
		row, refers, err := g.row(name, f)
		if err != nil {
			return err
		}
		g.out.WriteString(row)
		inner = append(inner, refers)
	}
	for _, refers := range slices.Compact(inner) {
		if err := g.write(refers); err != nil {
			return err
		}
	}
	return nil
}

var commentForm = regexp.MustCompile(`^(.*?\.) Effect: (.*?)\. Default: (.*?)\. Unit: (.*?)\.(.*)$`)

// row returns the table row of a field and the name of the type that it refers to.
func (g *generator) row(typeName string, f *ast.Field) (row, refers string, err error) {
	goName := f.Names[0].Name
	tag := reflect.StructTag(strings.Trim(f.Tag.Value, "`"))
	name, _, _ := strings.Cut(tag.Get("yaml"), ",")
	m := commentForm.FindStringSubmatch(oneLine(f.Doc.Text()))
	if m == nil {
		return "", "", fmt.Errorf("the comment of %s.%s must state Effect, Default and Unit", typeName, goName)
	}
	shown, refers := g.typeText(f.Type)
	description := strings.Replace(strings.TrimSpace(m[1]+m[5]), goName, "`"+name+"`", 1)
	row = fmt.Sprintf("| `%s` | %s | %s | %s | %s | %s | %s |\n", name, shown, cell(description), cell(m[2]), cell(m[3]), cell(m[4]), allowed(tag))
	return row, refers, nil
}

// typeText returns how a type is shown and the struct type that it contains, if any.
func (g *generator) typeText(expression ast.Expr) (shown, refers string) {
	switch e := expression.(type) {
	case *ast.ArrayType:
		shown, refers = g.typeText(e.Elt)
		return "list of " + shown, refers
	case *ast.SelectorExpr:
		return strings.ToLower(e.Sel.Name), ""
	case *ast.Ident:
		if _, isStruct := g.types[e.Name]; isStruct {
			return fmt.Sprintf("[%s](#%s)", e.Name, strings.ToLower(e.Name)), e.Name
		}
		return plainTypes[e.Name], ""
	}
	return "", ""
}

var plainTypes = map[string]string{
	"string": "text", "int": "whole number", "int64": "whole number", "float64": "number", "bool": "true or false", "Duration": "duration",
}

func allowed(tag reflect.StructTag) string {
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

func cell(text string) string { return strings.ReplaceAll(text, "|", `\|`) }
