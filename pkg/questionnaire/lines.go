package questionnaire

import (
	"fmt"
	"strings"

	"go.yaml.in/yaml/v3"
)

// toNode converts the lines of an answer in a dialogue to a YAML node of the answers file.
func toNode(q Question, lines []string) (*yaml.Node, error) {
	if q.Form == "" {
		return scalar(lines[0]), nil
	}
	result := list()
	for _, line := range lines {
		fields := strings.Split(line, ";")
		if want := strings.Count(q.Form, ";") + 1; len(fields) != want {
			return nil, fmt.Errorf("%q has %d parts; write %d, separated by semicolons: %s", line, len(fields), want, q.Form)
		}
		for i := range fields {
			fields[i] = strings.TrimSpace(fields[i])
		}
		addEntry(result, q.ID, fields)
	}
	return result, nil
}

// addEntry adds the fields f of one line to the list of the question id. Prompt kinds and programs can
// take several lines: lines with the same first field belong to one entry.
func addEntry(result *yaml.Node, id string, f []string) {
	switch id {
	case "customers":
		result.Content = append(result.Content, stringMapping("name", f[0], "size", f[1]))
	case "models.list":
		result.Content = append(result.Content, stringMapping("name", f[0], "version", f[1], "machines", f[2]))
	case "harms.never_twice":
		result.Content = append(result.Content, scalar(f[0]))
	case "prompts.kinds":
		layers := findOrAddEntry(result, f[0], "layers", nil)
		layers.Content = append(layers.Content, stringMapping("name", f[1], "shared_by", f[2], "changes", f[3], "characters", f[4]))
	case "programs":
		actions := findOrAddEntry(result, f[0], "actions", func(entry *yaml.Node) {
			addresses := list()
			for address := range strings.SplitSeq(f[1], ",") {
				addresses.Content = append(addresses.Content, scalar(strings.TrimSpace(address)))
			}
			entry.Content = append(entry.Content, scalar("addresses"), addresses, scalar("slowest"), scalar(f[2]))
		})
		actions.Content = append(actions.Content, stringMapping("path", f[3], "method", f[4], "may_repeat", f[5]))
	}
}

func stringMapping(pairs ...string) *yaml.Node {
	node := mapping()
	for _, text := range pairs {
		node.Content = append(node.Content, scalar(text))
	}
	return node
}

// findOrAddEntry returns the list under key of the entry with the given name. It creates the entry,
// with the fields that fill adds, if there is none.
func findOrAddEntry(result *yaml.Node, name, key string, fill func(entry *yaml.Node)) *yaml.Node {
	for _, entry := range result.Content {
		if child(entry, "name").Value == name {
			return child(entry, key)
		}
	}
	entry := stringMapping("name", name)
	if fill != nil {
		fill(entry)
	}
	inner := list()
	entry.Content = append(entry.Content, scalar(key), inner)
	result.Content = append(result.Content, entry)
	return inner
}
