package strictyaml

import (
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

func (d *Document) decodeScalar(node *yaml.Node, v reflect.Value, path string, tag reflect.StructTag) {
	if node.Kind != yaml.ScalarNode {
		d.addAt(node, path, "the field must be a single value", "write one value, not a list or mapping")
		return
	}
	if message, remedy := wrongType(node, v, tag); message != "" {
		d.addAt(node, path, message, remedy)
		return
	}
	if v.Kind() == reflect.String {
		v.SetString(node.Value)
	} else if err := node.Decode(v.Addr().Interface()); err != nil {
		d.addAt(node, path, "the value does not fit the field", "write a smaller number")
		return
	}
	d.checkBounds(node, v, path, tag)
	d.checkChoice(node, v, path, tag)
}

// wrongType compares the YAML type of node with the kind of v. It returns empty strings if they match.
func wrongType(node *yaml.Node, v reflect.Value, tag reflect.StructTag) (message, remedy string) {
	found := node.ShortTag()
	switch v.Kind() {
	case reflect.String:
		if found == "!!str" || found == "!!int" || found == "!!float" {
			return "", ""
		}
		return fmt.Sprintf("%q is not text", node.Value), "write the value in quotes"
	case reflect.Bool:
		if found == "!!bool" {
			return "", ""
		}
		return fmt.Sprintf("%q is not true or false", node.Value), "write true or false"
	case reflect.Float64:
		if isFinite(node) {
			return "", ""
		}
		return fmt.Sprintf("%q is not a number", node.Value), "write a number without a unit" + unitHint(tag)
	default:
		if found == "!!int" {
			return "", ""
		}
		return fmt.Sprintf("%q is not a whole number", node.Value), "write a whole number without a unit" + unitHint(tag)
	}
}

func isFinite(node *yaml.Node) bool {
	var f float64
	if node.ShortTag() != "!!int" && node.ShortTag() != "!!float" {
		return false
	}
	return node.Decode(&f) == nil && !math.IsNaN(f) && !math.IsInf(f, 0)
}

func unitHint(tag reflect.StructTag) string {
	if unit := tag.Get("unit"); unit != "" {
		return "; the unit is " + unit
	}
	return ""
}

func (d *Document) checkChoice(node *yaml.Node, v reflect.Value, path string, tag reflect.StructTag) {
	choices := tag.Get("oneof")
	if choices == "" || slices.Contains(strings.Split(choices, ","), node.Value) {
		return
	}
	d.addAt(node, path, fmt.Sprintf("%q is not a known value", node.Value), "use one of: "+strings.ReplaceAll(choices, ",", ", "))
}

// checkBounds compares a number or duration with the field's min and max tags.
func (d *Document) checkBounds(node *yaml.Node, v reflect.Value, path string, tag reflect.StructTag) {
	low, high := tag.Get("min"), tag.Get("max")
	if v.Kind() == reflect.Slice || v.Kind() == reflect.String || low+high == "" {
		return
	}
	value := toFloat(v)
	if low != "" && value < parseBound(low) || high != "" && value > parseBound(high) {
		d.addAt(node, path, node.Value+" is out of range", "use a value "+rangeText(low, high)+unitHint(tag))
	}
}

func toFloat(v reflect.Value) float64 {
	if v.CanFloat() {
		return v.Float()
	}
	if v.CanInt() {
		return float64(v.Int())
	}
	return 0
}

// parseBound parses a min or max tag, which is a number or a duration. It panics on any other text.
func parseBound(text string) float64 {
	if n, err := strconv.ParseFloat(text, 64); err == nil {
		return n
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		panic("struct tag with an invalid bound: " + text)
	}
	return float64(duration)
}

func rangeText(low, high string) string {
	switch {
	case high == "":
		return "of at least " + low
	case low == "":
		return "of at most " + high
	}
	return "from " + low + " to " + high
}
