package config

import (
	"fmt"
	"net"
	"regexp"
	"slices"
	"strings"

	"cassiawall.example/cassiawall/pkg/strictyaml"
)

// maxNameBytes is the maximum length of a name. Names appear in object names, headers and metric
// labels.
const maxNameBytes = 64

// maxAPIKeys is the number of API keys that a workspace has during a rotation, the new and the old one.
const maxAPIKeys = 2

var (
	namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

// ReservedPaths are the paths of the OpenAI-compatible API, which no route of a plain service may use.
var ReservedPaths = []string{"/v1/chat/completions", "/v1/completions", "/v1/models"}

// validator checks what struct tags cannot express.
type validator struct {
	*strictyaml.Document
	config *Config
	// keyPaths maps an API key hash to the path of the field that declares it.
	keyPaths map[string]string
}

func (c *Config) validate(d *strictyaml.Document) {
	v := &validator{Document: d, config: c, keyPaths: map[string]string{}}
	v.validateModels()
	v.validateServices()
	v.validateWorkspaces()
	if c.KVStore != "" {
		v.checkName("kv_store", c.KVStore)
	}
}

// checkName checks the form of a name. An empty required name is reported by the decoder.
func (v *validator) checkName(path, name string) {
	if name == "" {
		return
	}
	if len(name) > maxNameBytes || !namePattern.MatchString(name) {
		v.Add(path, fmt.Sprintf("%q is not a valid name", name),
			fmt.Sprintf("use at most %d letters, digits, dots, dashes and underscores, starting with a letter or digit", maxNameBytes))
	}
}

// checkUnique reports a value that is already in seen, which maps values to the lines that declare
// them, and adds it otherwise.
func (v *validator) checkUnique(seen map[string]int, path, kind, value string) {
	if value == "" {
		return
	}
	if first, ok := seen[value]; ok {
		v.Add(path, fmt.Sprintf("%s %q is already declared on line %d", kind, value, first), "rename or remove one of the two")
		return
	}
	seen[value] = v.Line(path)
}

// checkDeclared reports a reference to a name that is not declared.
func (v *validator) checkDeclared(path, kind, name string, declared bool, remedy string) {
	if name != "" && !declared {
		v.Add(path, fmt.Sprintf("%s %q is not declared", kind, name), remedy)
	}
}

func (v *validator) validateModels() {
	seen := map[string]int{}
	for i, m := range v.config.Models {
		path := fmt.Sprintf("models[%d].name", i)
		v.checkName(path, m.Name)
		v.checkUnique(seen, path, "model", m.Name)
		v.checkName(fmt.Sprintf("models[%d].weights_version", i), m.WeightsVersion)
	}
}

func (v *validator) validateServices() {
	seen := map[string]int{}
	paths := map[string]int{}
	for i, s := range v.config.Services {
		path := fmt.Sprintf("services[%d]", i)
		v.checkName(path+".name", s.Name)
		v.checkUnique(seen, path+".name", "service", s.Name)
		addresses := map[string]int{}
		for j, address := range s.BackendServers {
			server := fmt.Sprintf("%s.backend_servers[%d]", path, j)
			if _, _, err := net.SplitHostPort(address); err != nil {
				v.Add(server, fmt.Sprintf("%q is not an address", address), `write host:port, such as "10.0.0.7:8080"`)
			}
			v.checkUnique(addresses, server, "backend server", address)
		}
		for j, r := range s.Routes {
			v.validateRoute(fmt.Sprintf("%s.routes[%d]", path, j), r, paths)
		}
	}
}

func (v *validator) validateRoute(path string, r Route, seen map[string]int) {
	if r.Path != "" && !strings.HasPrefix(r.Path, "/") {
		v.Add(path+".path", fmt.Sprintf("%q does not start with /", r.Path), "write the path from the root, such as /bookings")
	}
	if slices.Contains(ReservedPaths, r.Path) {
		v.Add(path+".path", r.Path+" belongs to the model interface", "use another path")
	}
	if r.DeriveKey && !r.NonIdempotent {
		v.Add(path+".derive_key", "derive_key has no effect on an idempotent route", "set non_idempotent: true or remove derive_key")
	}
	methods := r.Methods
	if len(methods) == 0 {
		methods = []string{"any"}
	}
	for _, method := range methods {
		v.checkUnique(seen, path+".path", "route", method+" "+r.Path)
	}
}

func (v *validator) validateWorkspaces() {
	seen := map[string]int{}
	for i := range v.config.Workspaces {
		w := &v.config.Workspaces[i]
		path := fmt.Sprintf("workspaces[%d]", i)
		v.checkName(path+".name", w.Name)
		v.checkUnique(seen, path+".name", "workspace", w.Name)
		v.validateAPIKeys(path+".api_key_hashes", w.APIKeyHashes)
		v.validateReferences(path, w)
		v.validatePrompts(path, w.Prompts)
	}
}

func (v *validator) validateAPIKeys(path string, hashes []string) {
	if len(hashes) > maxAPIKeys {
		v.Add(path, fmt.Sprintf("%d keys are listed", len(hashes)), "list one key, or the new and the old one during a rotation")
	}
	for i, hash := range hashes {
		key := fmt.Sprintf("%s[%d]", path, i)
		if !hashPattern.MatchString(hash) {
			// The value is not repeated: it may be a key that was pasted instead of its hash.
			v.Add(key, "the value is not a SHA-256 hash", "write the 64 lower-case hexadecimal digits that 'cassiawall init' prints, never the key itself")
			continue
		}
		if other, ok := v.keyPaths[hash]; ok {
			v.Add(key, fmt.Sprintf("the key is already used by %s on line %d", other, v.Line(other)), "give each workspace its own keys")
			continue
		}
		v.keyPaths[hash] = key
	}
}

func (v *validator) validateReferences(path string, w *Workspace) {
	if len(w.Models)+len(w.Services) == 0 {
		v.Add(path, "the workspace uses no model and no service", "list at least one under models or services")
	}
	seen := map[string]int{}
	for i, name := range w.Models {
		field := fmt.Sprintf("%s.models[%d]", path, i)
		_, declared := v.config.Model(name)
		v.checkDeclared(field, "model", name, declared, "declare it under models or correct the name")
		v.checkUnique(seen, field, "model", name)
	}
	seen = map[string]int{}
	for i, name := range w.Services {
		field := fmt.Sprintf("%s.services[%d]", path, i)
		_, declared := v.config.Service(name)
		v.checkDeclared(field, "service", name, declared, "declare it under services or correct the name")
		v.checkUnique(seen, field, "service", name)
	}
	for i, name := range w.NonIdempotentModels {
		field := fmt.Sprintf("%s.non_idempotent_models[%d]", path, i)
		v.checkDeclared(field, "model", name, slices.Contains(w.Models, name), "list it under models of this workspace too")
	}
}

func (v *validator) validatePrompts(path string, prompts []Prompt) {
	seen := map[string]int{}
	for i, p := range prompts {
		prompt := fmt.Sprintf("%s.prompts[%d]", path, i)
		v.checkName(prompt+".name", p.Name)
		v.checkUnique(seen, prompt+".name", "prompt", p.Name)
		levels := map[string]int{}
		shared := true
		for j, l := range p.Levels {
			level := fmt.Sprintf("%s.levels[%d]", prompt, j)
			v.checkName(level+".name", l.Name)
			v.checkUnique(levels, level+".name", "level", l.Name)
			if l.Shared && !shared {
				v.Add(level+".shared", "a shared level stands inside a level that is not shared", "move shared levels to the front, because a cached prefix ends at the first text that differs")
			}
			shared = l.Shared
		}
	}
}
