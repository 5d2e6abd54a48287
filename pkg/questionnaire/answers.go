// Package questionnaire generates a configuration from a team's answers about its callers, prompts and
// models and the harm that failures do. The questions use no terms of this project.
package questionnaire

import (
	"fmt"

	"go.yaml.in/yaml/v3"

	"cassiawall.example/cassiawall/pkg/config"
)

// Answers are a team's answers. The YAML path of a field is the id of its question.
type Answers struct {
	Team      string     `yaml:"team" required:"true"`
	Callers   Callers    `yaml:"callers"`
	Customers []Customer `yaml:"customers" required:"true"`
	Prompts   Prompts    `yaml:"prompts"`
	Models    Models     `yaml:"models"`
	Programs  []Program  `yaml:"programs"`
	Harms     Harms      `yaml:"harms"`
	Keys      string     `yaml:"keys" required:"true" oneof:"random,example"`
}

// Callers are the people and programs that send requests.
type Callers struct {
	RequestsPerSecond float64         `yaml:"requests_per_second" required:"true" min:"0.01" max:"1000000" unit:"requests per second"`
	FeelsSlowAfter    config.Duration `yaml:"feels_slow_after" required:"true" min:"20ms" max:"10m"`
	GiveUpAfter       config.Duration `yaml:"give_up_after" required:"true" min:"20ms" max:"1h"`
	AnswerTakes       config.Duration `yaml:"answer_takes" required:"true" min:"100ms" max:"1h"`
	ReadAlong         YesNo           `yaml:"read_along" required:"true"`
	Retype            YesNo           `yaml:"retype" required:"true"`
	From              string          `yaml:"from" required:"true" oneof:"same_city,same_country,abroad"`
	RepeatWithin      config.Duration `yaml:"repeat_within" required:"true" min:"1m" max:"168h"`
	SendOrderNumber   YesNo           `yaml:"send_order_number" required:"true"`
}

// Customer is a group of callers that must not see or slow down the others. It becomes a workspace.
type Customer struct {
	Name string `yaml:"name" required:"true"`
	Size string `yaml:"size" required:"true" oneof:"large,small"`
}

// Prompts describe the text sent to the model.
type Prompts struct {
	Writing           string `yaml:"writing" required:"true" oneof:"latin,cyrillic,other"`
	LongestCharacters int    `yaml:"longest_characters" required:"true" min:"1" max:"8000000" unit:"characters"`
	Kinds             []Kind `yaml:"kinds" required:"true"`
}

// Kind is one kind of prompt with its layers, the most widely shared layer first.
type Kind struct {
	Name   string  `yaml:"name" required:"true"`
	Layers []Layer `yaml:"layers" required:"true"`
}

// Layer is a part of a prompt that is the same in several requests, such as the instructions.
type Layer struct {
	Name       string `yaml:"name" required:"true"`
	SharedBy   string `yaml:"shared_by" required:"true" oneof:"everyone,group,one_person"`
	Changes    string `yaml:"changes" required:"true" oneof:"never,monthly,weekly,daily,hourly,every_request"`
	Characters int    `yaml:"characters" required:"true" min:"1" max:"8000000" unit:"characters"`
}

// Models describe the models and the machines that run them.
type Models struct {
	List        []Model `yaml:"list" required:"true"`
	LoadAtOnce  int     `yaml:"load_at_once" required:"true" min:"1" max:"1000" unit:"machines"`
	SharedStore string  `yaml:"shared_store" required:"true"`
}

// Model is one model.
type Model struct {
	Name     string `yaml:"name" required:"true"`
	Version  string `yaml:"version" required:"true"`
	Machines int    `yaml:"machines" required:"true" min:"1" max:"10000" unit:"machines"`
}

// Program is a program of the team, other than a model, that requests are forwarded to. It becomes a
// plain service.
type Program struct {
	Name      string          `yaml:"name" required:"true"`
	Addresses []string        `yaml:"addresses" required:"true"`
	Slowest   config.Duration `yaml:"slowest" required:"true" min:"1ms" max:"1h"`
	Actions   []Action        `yaml:"actions" required:"true"`
}

// Action is an operation of a program. It becomes a route of the plain service.
type Action struct {
	Path      string `yaml:"path" required:"true"`
	Method    string `yaml:"method" required:"true" oneof:"GET,POST,PUT,PATCH,DELETE"`
	MayRepeat YesNo  `yaml:"may_repeat" required:"true"`
}

// Harms state how bad failures of the system are for people, and how scarce machine time is.
type Harms struct {
	Late        string `yaml:"late" required:"true" oneof:"none,small,serious,severe"`
	Lost        string `yaml:"lost" required:"true" oneof:"none,small,serious,severe"`
	Doubled     string `yaml:"doubled" required:"true" oneof:"none,small,serious,severe"`
	MachineTime string `yaml:"machine_time" required:"true" oneof:"plentiful,normal,scarce"`
	// NeverTwice lists models whose requests must not run twice.
	NeverTwice []string `yaml:"never_twice"`
}

// none is the answer to a question that does not apply: there is no such item, or no harm.
const none = "none"

// YesNo is a boolean answer, written as yes or no.
type YesNo bool

// UnmarshalYAML parses yes, no, true and false.
func (y *YesNo) UnmarshalYAML(node *yaml.Node) error {
	switch node.Value {
	case "yes", "true":
		*y = true
	case "no", "false":
		*y = false
	default:
		return fmt.Errorf("%q is neither yes nor no", node.Value)
	}
	return nil
}

// Hint returns how to write the answer, for the remedy of a refused one.
func (y YesNo) Hint() string { return "write yes or no" }

// String returns yes or no.
func (y YesNo) String() string {
	if y {
		return "yes"
	}
	return "no"
}
