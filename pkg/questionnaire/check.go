package questionnaire

import (
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/strictyaml"
)

// Parse parses and checks an answers file. Each question must be answered. The error is of kind
// fault.BadRequest and wraps strictyaml.Problems, in which each message quotes the question.
func Parse(text []byte) (*Answers, error) {
	var a Answers
	d := strictyaml.Decode(text, &a)
	for _, q := range questions {
		requireAnswer(d, q)
	}
	a.checkContradictions(d)
	if d.Err() == nil {
		a.checkConfiguration(d)
	}
	if err := d.Err(); err != nil {
		return nil, fault.Wrap(addQuestionTexts(err), fault.BadRequest, "answers are refused")
	}
	return &a, nil
}

// requireAnswer reports a missing answer that the decoder does not report, because the whole section of
// the file is missing or because the decoder accepts an empty list.
func requireAnswer(d *strictyaml.Document, q Question) {
	if !d.Has(q.ID) && !d.HasProblem(q.ID) {
		d.Add(q.ID, missingFieldMessage, missingRemedy(q))
	}
}

// missingFieldMessage is the decoder's message for a required field that is not in the file.
const missingFieldMessage = "the field is missing"

// addQuestionTexts puts the text of the question in front of each message. For a missing answer, it sets a
// remedy that names the default answer or the expected form.
func addQuestionTexts(err error) error {
	var problems strictyaml.Problems
	if !errors.As(err, &problems) {
		return err
	}
	for i, p := range problems {
		q, ok := questionForPath(p.Field)
		if !ok {
			continue
		}
		problems[i].Message = fmt.Sprintf("%q: %s", q.Text, p.Message)
		if p.Field == q.ID && p.Message == missingFieldMessage {
			problems[i].Message = fmt.Sprintf("%q: the answer is missing", q.Text)
			problems[i].Remedy = missingRemedy(q)
		}
	}
	return problems
}

func missingRemedy(q Question) string {
	switch {
	case q.Form == "":
		return "answer it; if you are not sure, write " + q.Default
	case q.Default == "":
		return "list them, or write [] if there are none"
	}
	return "list at least one, with: " + q.Form
}

// callerRTT is the assumed round-trip time to the callers by their location. Callers experience it as
// part of the waiting time.
var callerRTT = map[string]time.Duration{
	"same_city":    5 * time.Millisecond,
	"same_country": 50 * time.Millisecond,
	"abroad":       200 * time.Millisecond,
}

// Answers in rising order: how narrowly a layer is shared, and how often it changes. A layer must not
// come before one that is shared more widely or changes less often.
var (
	sharingOrder   = []string{"everyone", "group", "one_person"}
	frequencyOrder = []string{"never", "monthly", "weekly", "daily", "hourly", "every_request"}
)

// checkContradictions reports answers that contradict each other.
func (a *Answers) checkContradictions(d *strictyaml.Document) {
	a.checkTimes(d)
	a.checkNames(d)
	for i, k := range a.Prompts.Kinds {
		a.checkKind(d, fmt.Sprintf("prompts.kinds[%d]", i), k)
	}
	for i, m := range a.Models.List {
		if m.Machines > 0 && a.Models.LoadAtOnce > m.Machines {
			d.Add("models.load_at_once", fmt.Sprintf("%d machines load at once, but model %q runs on %d", a.Models.LoadAtOnce, m.Name, m.Machines),
				fmt.Sprintf("lower this answer or correct models.list[%d].machines", i))
		}
	}
	a.checkHarms(d)
}

func (a *Answers) checkTimes(d *strictyaml.Document) {
	c := a.Callers
	if c.GiveUpAfter > 0 && c.GiveUpAfter < c.FeelsSlowAfter {
		d.Add("callers.give_up_after", fmt.Sprintf("people give up after %v, before waiting feels slow after %v", c.GiveUpAfter.AsDuration(), c.FeelsSlowAfter.AsDuration()),
			"raise this answer or lower callers.feels_slow_after")
	}
	if rtt := callerRTT[c.From]; c.FeelsSlowAfter > 0 && c.FeelsSlowAfter.AsDuration() <= rtt {
		d.Add("callers.feels_slow_after", fmt.Sprintf("the way to callers (%s) alone takes about %v", c.From, rtt),
			"raise this answer or correct callers.from")
	}
}

func (a *Answers) checkNames(d *strictyaml.Document) {
	names := map[string]map[string]bool{}
	check := func(path, list, name string) {
		if names[list] == nil {
			names[list] = map[string]bool{}
		}
		if name != "" && names[list][name] {
			d.Add(path, fmt.Sprintf("%q is listed twice", name), "give each its own name or remove one")
		}
		names[list][name] = true
	}
	for i, c := range a.Customers {
		check(fmt.Sprintf("customers[%d].name", i), "customers", c.Name)
	}
	for i, m := range a.Models.List {
		check(fmt.Sprintf("models.list[%d].name", i), "models", m.Name)
	}
	for i, p := range a.Programs {
		check(fmt.Sprintf("programs[%d].name", i), "programs", p.Name)
		for j, action := range p.Actions {
			check(fmt.Sprintf("programs[%d].actions[%d].path", i, j), "actions", action.Method+" "+action.Path)
		}
	}
	for i, k := range a.Prompts.Kinds {
		check(fmt.Sprintf("prompts.kinds[%d].name", i), "kinds", k.Name)
		for j, l := range k.Layers {
			check(fmt.Sprintf("prompts.kinds[%d].layers[%d].name", i, j), "layers of "+k.Name, l.Name)
		}
	}
}

func (a *Answers) checkKind(d *strictyaml.Document, path string, k Kind) {
	total := 0
	for i, l := range k.Layers {
		layer := fmt.Sprintf("%s.layers[%d]", path, i)
		total += l.Characters
		if l.Changes == "every_request" && l.SharedBy != "one_person" {
			d.Add(layer+".changes", fmt.Sprintf("%q differs in every request but is shared", l.Name), "leave it out, or correct how often it changes")
		}
		if i == 0 {
			continue
		}
		outer := k.Layers[i-1]
		if slices.Index(sharingOrder, outer.SharedBy) > slices.Index(sharingOrder, l.SharedBy) {
			d.Add(layer+".shared_by", fmt.Sprintf("%q is shared more widely than %q before it", l.Name, outer.Name), "put the more widely shared text first")
		}
		if slices.Index(frequencyOrder, outer.Changes) > slices.Index(frequencyOrder, l.Changes) {
			d.Add(layer+".changes", fmt.Sprintf("%q changes less often than %q before it", l.Name, outer.Name),
				"put the text that changes less often first, because a change makes everything after it new")
		}
	}
	if longest := a.Prompts.LongestCharacters; longest > 0 && total > longest {
		d.Add("prompts.longest_characters", fmt.Sprintf("the layers of %q have %d characters, more than the longest text with %d", k.Name, total, longest),
			"raise this answer or correct the lengths of the layers")
	}
}

func (a *Answers) checkHarms(d *strictyaml.Document) {
	once := len(a.Harms.NeverTwice) > 0
	for _, p := range a.Programs {
		for _, action := range p.Actions {
			once = once || !bool(action.MayRepeat)
		}
	}
	if !once && (a.Harms.Doubled == "serious" || a.Harms.Doubled == "severe") {
		d.Add("harms.doubled", "a doubled order does "+a.Harms.Doubled+" harm, but no order is marked as one that may not be repeated",
			"set may_repeat: no for the orders in question, or list models under harms.never_twice")
	}
	if once && a.Harms.Doubled == none {
		d.Add("harms.doubled", "a doubled order does no harm, but some orders may not be repeated", "say how bad it is, or allow the orders to be repeated")
	}
	for i, name := range a.Harms.NeverTwice {
		if !slices.ContainsFunc(a.Models.List, func(m Model) bool { return m.Name == name }) {
			d.Add(fmt.Sprintf("harms.never_twice[%d]", i), fmt.Sprintf("model %q is not listed under models", name), "list it under models.list or correct the name")
		}
	}
}

// answerComment matches the comment "# from PATH" in a line of the generated configuration. PATH is the
// path of the answer that the line is derived from.
var answerComment = regexp.MustCompile(`# from ([a-z0-9_.\[\]]+)`)

// checkConfiguration reports answers that lead to an invalid configuration, such as a name with spaces.
// It generates the configuration and reports each problem at the answer that the refused line names.
func (a *Answers) checkConfiguration(d *strictyaml.Document) {
	document, _ := a.render()
	_, err := config.Parse(document)
	var problems strictyaml.Problems
	errors.As(err, &problems)
	lines := strings.Split(string(document), "\n")
	for _, p := range problems {
		path := p.Field
		if m := answerComment.FindStringSubmatch(lines[max(p.Line-1, 0)]); m != nil {
			path = m[1]
		}
		d.Add(path, p.Message, p.Remedy)
	}
}
