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

// Ask writes the questions to out and reads the answers from in: one line for a single answer, one line
// per entry and an empty line at the end for a list. An empty line alone accepts the default. A
// question whose answer is refused is asked again. Ask returns the answers and the answers file that
// contains them. The error is of kind fault.BadRequest if in ends before the last answer.
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

// dialogue is the state of an interactive run of the questionnaire. answers holds the latest
// answer to each question by its id, in the form of the answers file.
type dialogue struct {
	lines   *bufio.Scanner
	out     io.Writer
	answers map[string]*yaml.Node
}

// nextQuestion returns the question to ask. If an answer is refused, it prints the reason and returns
// the question of that answer, else the first question without an answer. refusal is the error of
// Parse for the answers so far.
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
	// Not reached, because a dialogue adds no fields other than answers to questions.
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

// readAnswer reads the lines of the answer to q. It returns the default if the first line is empty and
// q has a default.
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

// answersFile returns the answers so far as an answers file.
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

// setPath adds a value under a path of keys and creates the mappings that are missing on the path.
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
