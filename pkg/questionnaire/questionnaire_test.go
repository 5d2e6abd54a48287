package questionnaire

import (
	"bytes"
	"errors"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"cassiawall.example/cassiawall/pkg/auth"
	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/strictyaml"
)

func readExample(t *testing.T, name, file string) string {
	text, err := os.ReadFile("../../examples/" + name + "/" + file)
	require.NoError(t, err)
	return string(text)
}

func generate(t *testing.T, answers string) (*config.Config, string, []IssuedKey) {
	a, err := Parse([]byte(answers))
	require.NoError(t, err)
	document, keys, err := Generate(a)
	require.NoError(t, err)
	c, err := config.Parse(document)
	require.NoError(t, err)
	return c, string(document), keys
}

// Guards against committed example configurations that differ from what the program generates.
func TestExamplesAreCurrent(t *testing.T) {
	for _, name := range []string{"kilele", "tuul"} {
		_, document, _ := generate(t, readExample(t, name, "answers.yaml"))
		assert.Equal(t, readExample(t, name, "configuration.yaml"), document, "run 'cassiawall init --answers examples/%s/answers.yaml'", name)
	}
}

// Guards against answers without effect: severe harm by late answers must lead to a policy that favours
// latency, and scarce machine time to one that favours cache reuse.
func TestPoliciesFollowHarms(t *testing.T) {
	kilele, _, _ := generate(t, readExample(t, "kilele", "answers.yaml"))
	tuul, _, _ := generate(t, readExample(t, "tuul", "answers.yaml"))
	assert.Greater(t, kilele.Policy.LatencyWeight, kilele.Policy.RecomputeWeight)
	assert.Greater(t, tuul.Policy.RecomputeWeight, tuul.Policy.LatencyWeight)
	assert.Greater(t, kilele.Workspaces[0].Objectives.Target, tuul.Workspaces[0].Objectives.Target)
	assert.Equal(t, 3, kilele.Rollout.MaxConcurrentLoads)
	assert.Equal(t, 2, tuul.Rollout.MaxConcurrentLoads)
	assert.True(t, tuul.Services[0].Routes[0].DeriveKey)
}

// Guards against values without a comment that names their answer, and against comments that name an
// answer that does not exist.
func TestEveryValueNamesItsAnswer(t *testing.T) {
	_, document, _ := generate(t, readExample(t, "tuul", "answers.yaml"))
	for line := range strings.Lines(document) {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "#") || strings.HasSuffix(line, ":") {
			continue
		}
		m := answerComment.FindStringSubmatch(line)
		require.NotNil(t, m, line)
		_, ok := questionForPath(m[1])
		assert.True(t, ok, line)
	}
}

// Guards against accepting contradictory or invalid answers, and against refusals that lack the text of
// the question, the field or a remedy.
func TestContradictionsAreRefused(t *testing.T) {
	for name, c := range map[string]struct{ old, new, field, message string }{
		"missing answer":          {"  give_up_after: 8s\n", "", "callers.give_up_after", "the answer is missing"},
		"missing list":            {"  never_twice: []\n", "", "harms.never_twice", "missing"},
		"impatient":               {"give_up_after: 8s", "give_up_after: 300ms", "callers.give_up_after", "before waiting feels slow"},
		"too far":                 {"feels_slow_after: 800ms", "feels_slow_after: 100ms\n  # abroad", "callers.feels_slow_after", ""},
		"private first":           {"school, shared_by: everyone", "school, shared_by: one_person", "prompts.kinds[0].layers[1].shared_by", "more widely"},
		"volatile first":          {"changes: monthly", "changes: hourly", "prompts.kinds[0].layers[1].changes", "less often"},
		"shared but never equal":  {"group, changes: weekly", "group, changes: every_request", "prompts.kinds[0].layers[1].changes", "every request"},
		"layers too long":         {"longest_characters: 400000", "longest_characters: 1000", "prompts.longest_characters", "240000"},
		"doubled without cause":   {"/bookings, method: POST, may_repeat: no", "/bookings, method: POST, may_repeat: yes", "harms.doubled", "no order is marked"},
		"harmless but never":      {"doubled: severe", "doubled: none", "harms.doubled", "no harm"},
		"more loads than engines": {"load_at_once: 3", "load_at_once: 30", "models.load_at_once", "lugha"},
		"unknown model":           {"never_twice: []", "never_twice: [x]", "harms.never_twice[0]", "not listed"},
		"same customer":           {"name: upanga", "name: mlimani", "customers[1].name", "twice"},
		"unusable name":           {"name: upanga", "name: upanga school", "customers[1].name", "not a valid name"},
		"neither yes nor no":      {"retype: yes", "retype: often", "callers.retype", "often"},
		"unknown place":           {"from: same_city", "from: moon", "callers.from", "moon"},
	} {
		t.Run(name, func(t *testing.T) {
			text := readExample(t, "kilele", "answers.yaml")
			require.Contains(t, text, c.old)
			text = strings.Replace(text, c.old, c.new, 1)
			if name == "too far" {
				text = strings.Replace(text, "same_city", "abroad", 1)
			}
			a, err := Parse([]byte(text))
			assert.Nil(t, a)
			assert.True(t, fault.Is(err, fault.BadRequest))
			var problems strictyaml.Problems
			require.True(t, errors.As(err, &problems), "%v", err)
			require.NotEmpty(t, problems)
			assert.Equal(t, c.field, problems[0].Field)
			assert.Contains(t, problems[0].Message, c.message)
			q, ok := questionForPath(c.field)
			require.True(t, ok)
			assert.Contains(t, problems[0].Message, q.Text)
			assert.NotEmpty(t, problems[0].Remedy)
		})
	}
}

// Guards against defaults that contradict each other, and against questions that use terms of this
// project or the field.
func TestDialogueWithDefaults(t *testing.T) {
	var out bytes.Buffer
	a, file, err := Ask(strings.NewReader(strings.Repeat("\n", len(questions))), &out)
	require.NoError(t, err, out.String())
	_, err = Parse(file)
	require.NoError(t, err)
	_, keys, err := Generate(a)
	require.NoError(t, err)
	assert.Len(t, keys, 1)
	for _, q := range questions {
		assert.Contains(t, out.String(), q.Text)
		assert.Contains(t, out.String(), q.Why)
		for _, term := range []string{"workspace", "TTFT", "engine", "prefix", "token", "idempotent", "lease", "SLO"} {
			assert.NotContains(t, q.Text+q.Why, term)
		}
	}
}

// Guards against a dialogue that accepts an invalid answer, or ends instead of asking again.
func TestDialogueAsksAgain(t *testing.T) {
	answers := map[string]string{
		"callers.give_up_after": "soon\n5s\n",
		"customers":             "north\n\nnorth; large\nsouth; small\n\n",
		"prompts.kinds":         "chat; rules; everyone; weekly; 4000\nchat; person; one_person; daily; 500\n\n",
		"programs":              "app; 192.0.2.1:80; 5s; /orders; POST; no\napp; 192.0.2.1:80; 5s; /list; GET; yes\n\n",
		"harms.doubled":         "none\nsevere\n",
	}
	var in strings.Builder
	for _, q := range questions {
		text, ok := answers[q.ID]
		if !ok {
			text = "\n"
		}
		in.WriteString(text)
	}
	var out bytes.Buffer
	a, _, err := Ask(strings.NewReader(in.String()), &out)
	require.NoError(t, err, out.String())
	assert.Equal(t, []Customer{{"north", "large"}, {"south", "small"}}, a.Customers)
	assert.Len(t, a.Prompts.Kinds[0].Layers, 2)
	assert.Len(t, a.Programs[0].Actions, 2)
	assert.Equal(t, "severe", a.Harms.Doubled)
	assert.Equal(t, 3, strings.Count(out.String(), "cannot be used"))
	_, _, err = Ask(strings.NewReader("\n"), &out)
	assert.ErrorContains(t, err, "input ends before")
}

// Guards against random keys that appear in the configuration in plain text, that do not authenticate
// their workspace, or that repeat.
func TestRandomKeys(t *testing.T) {
	answers := strings.Replace(readExample(t, "kilele", "answers.yaml"), "keys: example", "keys: random", 1)
	c, document, keys := generate(t, answers)
	_, _, again := generate(t, answers)
	index := auth.NewIndex(c)
	for i, k := range keys {
		found := index.Workspace(k.Key)
		require.NotNil(t, found)
		assert.Equal(t, k.Workspace, found.Name)
		assert.NotContains(t, document, k.Key)
		assert.NotEqual(t, again[i].Key, k.Key)
	}
}

// Guards against answers that make the checks panic, and against accepted answers that lead to an
// invalid configuration.
func FuzzParse(f *testing.F) {
	text, err := os.ReadFile("../../examples/tuul/answers.yaml")
	require.NoError(f, err)
	f.Add(text)
	f.Fuzz(func(t *testing.T, text []byte) {
		a, err := Parse(text)
		if err != nil {
			return
		}
		_, _, err = Generate(a)
		require.NoError(t, err)
	})
}
