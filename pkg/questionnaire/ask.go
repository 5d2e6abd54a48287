package questionnaire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"go.yaml.in/yaml/v3"

	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/strictyaml"
)

// Ask asks the questions on out and reads the answers from in, one a line. An empty line accepts
// the default. A question whose answer is refused is asked again. It returns the answers and the
// answers file that states them. The error is of kind fault.BadRequest if in ends too early.
func Ask(in io.Reader, out io.Writer) (*Answers, []byte, error) {
	d := &dialogue{lines: bufio.NewScanner(in), out: out, answers: map[string]*yaml.Node{}}
	for {
		file, err := d.answersFile()
		if err != nil {
			return nil, nil, err
		}
		answers, err := Parse(file)
		if err == nil {
			return answers, file, nil
		}
		if err := d.ask(d.nextQuestion(err)); err != nil {
			return nil, nil, err
		}
	}
}

// dialogue is the state of a conversation.
type dialogue struct {
	lines   *bufio.Scanner
	out     io.Writer
	answers map[string]*yaml.Node
}

// nextQuestion returns the question to ask: the first answered one that is refused, or else the first one
// that is not answered yet.
func (d *dialogue) nextQuestion(refusal error) Question {
	var problems strictyaml.Problems
	errors.As(refusal, &problems)
	for _, p := range problems {
		q, ok := questionForPath(p.Field)
		if ok && d.answers[q.ID] != nil {
			fmt.Fprintf(d.out, "\nThis answer cannot be used. %s\nRemedy: %s\n", p.Message, p.Remedy)
			return q
		}
	}
	for _, q := range questions {
		if d.answers[q.ID] == nil {
			return q
		}
	}
	// A problem outside all questions cannot arise from a dialogue; ask from the start.
	return questions[0]
}

func (d *dialogue) ask(q Question) error {
	fmt.Fprintf(d.out, "\n%s\n  %s\n", q.Text, q.Why)
	if q.Form != "" {
		fmt.Fprintf(d.out, "  One a line, as: %s\n  An empty line ends the list.\n", q.Form)
	}
	fmt.Fprintf(d.out, "  [%s] ", defaultText(q))
	lines, err := d.readAnswer(q)
	if err != nil {
		return err
	}
	node, err := toNode(q, lines)
	if err != nil {
		fmt.Fprintf(d.out, "\nThis answer cannot be used: %s\n", err)
		return nil
	}
	d.answers[q.ID] = node
	return nil
}

func defaultText(q Question) string {
	if q.Default == "" {
		return none
	}
	return q.Default
}

// readAnswer returns the lines of an answer, or the default.
func (d *dialogue) readAnswer(q Question) ([]string, error) {
	var lines []string
	for {
		if !d.lines.Scan() {
			return nil, fault.New(fault.BadRequest, "the input ends before the question %q is answered", q.Text)
		}
		line := strings.TrimSpace(d.lines.Text())
		if line != "" {
			lines = append(lines, line)
		}
		if line == "" && len(lines) == 0 && q.Default != "" {
			return []string{q.Default}, nil
		}
		if line == "" || q.Form == "" {
			return lines, nil
		}
	}
}

// answersFile returns the answers given so far as an answers answersFile.
func (d *dialogue) answersFile() ([]byte, error) {
	root := mapping()
	for _, q := range questions {
		if node := d.answers[q.ID]; node != nil {
			setPath(root, strings.Split(q.ID, "."), node)
		}
	}
	text, err := yaml.Marshal(root)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "cannot write the answers")
	}
	return text, nil
}

func mapping(pairs ...*yaml.Node) *yaml.Node {
	return &yaml.Node{Kind: yaml.MappingNode, Content: pairs}
}

func list(entries ...*yaml.Node) *yaml.Node {
	return &yaml.Node{Kind: yaml.SequenceNode, Content: entries}
}

func scalar(text string) *yaml.Node {
	return &yaml.Node{Kind: yaml.ScalarNode, Value: text}
}

// child returns the value of a key in a mapping, or nil.
func child(node *yaml.Node, key string) *yaml.Node {
	for i := 0; i < len(node.Content); i += 2 {
		if node.Content[i].Value == key {
			return node.Content[i+1]
		}
	}
	return nil
}

// setPath stores a value under a path of keys and creates the mappings on the way.
func setPath(node *yaml.Node, path []string, value *yaml.Node) {
	if len(path) == 1 {
		node.Content = append(node.Content, scalar(path[0]), value)
		return
	}
	next := child(node, path[0])
	if next == nil {
		next = mapping()
		node.Content = append(node.Content, scalar(path[0]), next)
	}
	setPath(next, path[1:], value)
}
