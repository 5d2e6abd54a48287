package cli

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"cassiawall.example/cassiawall/pkg/config"
	"cassiawall.example/cassiawall/pkg/configsync"
	"cassiawall.example/cassiawall/pkg/controller/configwatch"
	"cassiawall.example/cassiawall/pkg/defaults"
	"cassiawall.example/cassiawall/pkg/fault"
	"cassiawall.example/cassiawall/pkg/objects"
	"cassiawall.example/cassiawall/pkg/status"
	"cassiawall.example/cassiawall/pkg/strictyaml"
)

func applySpec(s streams) commandSpec {
	return commandSpec{
		name:  "apply",
		short: "Apply a configuration",
		long: "Check a configuration, store it in the object API and wait until all live nodes enforce it. Nodes that do not are named, and the exit code is 1. " +
			"If somebody else applied a configuration in the meantime, nothing is changed. Pass the version that the file was made from as --if-version to rule out that an earlier change is lost.\n\n" +
			"Example: cassiawall apply configuration.yaml --objects http://127.0.0.1:9000 --node http://127.0.0.1:8083",
		data: &applyCommand{streams: s},
	}
}

type applyCommand struct {
	nodeOptions
	Objects   string        `long:"objects" value-name:"URL" description:"URL of the object API" required:"yes"`
	IfVersion *uint64       `long:"if-version" value-name:"N" description:"Apply only if this version is stored; 0 means none. Default: the version stored at the start of the command"`
	Wait      time.Duration `long:"wait" description:"Time in which all live nodes must enforce the new version" default:"30s"`
	JSON      bool          `long:"json" description:"Print JSON"`
	Args      struct {
		File string `positional-arg-name:"FILE" description:"Configuration in YAML"`
	} `positional-args:"yes" required:"yes"`
	streams streams
}

// applyResult is the output of apply.
type applyResult struct {
	Version uint64 `json:"version"`
	// Enforced reports whether all live nodes enforce the version.
	Enforced bool `json:"enforced"`
	// Lagging names the live nodes that do not, with the version in force there.
	Lagging []string `json:"behind"`
}

const (
	// storeTimeout bounds reading the stored version and storing the new one.
	storeTimeout = 10 * time.Second
	// enforcementPollInterval is the time between two status calls while apply waits.
	enforcementPollInterval = 500 * time.Millisecond
)

// Execute checks the file, stores it and waits until all live nodes enforce it.
func (c *applyCommand) Execute([]string) error {
	document, err := os.ReadFile(c.Args.File)
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, "cannot read the file")
	}
	if _, err := config.Parse(document); err != nil {
		return c.printProblems(err)
	}
	ctx, stop := signalContext()
	defer stop()
	version, err := c.storeDocument(ctx, document)
	if err != nil {
		return err
	}
	fmt.Fprintf(c.streams.err, "accepted as version %d\n", version)
	return c.printResult(c.waitEnforced(ctx, version))
}

// printProblems prints the problems of the file as check does.
func (c *applyCommand) printProblems(err error) error {
	var problems strictyaml.Problems
	if !errors.As(err, &problems) {
		return err
	}
	for _, p := range problems {
		fmt.Fprintf(c.streams.err, "%s:%d: %s: %s\n    remedy: %s\n", c.Args.File, p.Line, p.Field, p.Message, p.Remedy)
	}
	return fault.New(fault.InvalidConfiguration, "%s has %d problems; nothing was applied", c.Args.File, len(problems))
}

func (c *applyCommand) storeDocument(ctx context.Context, document []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: defaults.MaxResponseHeadBytes}}
	defer client.CloseIdleConnections()
	store := objects.NewClient(c.Objects, client)
	ifVersion, err := c.storedVersion(ctx, store)
	if err != nil {
		return 0, err
	}
	return configwatch.Apply(ctx, store, document, ifVersion)
}

func (c *applyCommand) storedVersion(ctx context.Context, store objects.Store) (uint64, error) {
	if c.IfVersion != nil {
		return *c.IfVersion, nil
	}
	o, err := store.Get(ctx, configsync.CurrentObjectName)
	if fault.Is(err, fault.NotFound) {
		return 0, nil
	}
	return o.Version, err
}

// waitEnforced polls the node's status until all live nodes enforce version or the time of --wait is
// over. A failed status call is retried at the next poll.
func (c *applyCommand) waitEnforced(ctx context.Context, version uint64) applyResult {
	waiting, cancel := context.WithTimeout(ctx, c.Wait)
	defer cancel()
	r := applyResult{Version: version, Lagging: []string{}}
	for {
		var d status.Document
		err := c.getJSON(ctx, status.Path, statusTimeout, &d)
		if err == nil {
			r.Lagging = append([]string{}, d.LaggingNodes(version)...)
			r.Enforced = len(r.Lagging) == 0
		}
		if r.Enforced {
			return r
		}
		select {
		case <-waiting.Done():
			if err != nil && len(r.Lagging) == 0 {
				r.Lagging = []string{fmt.Sprintf("unknown, because %s does not answer", c.Node)}
			}
			return r
		case <-time.After(enforcementPollInterval):
		}
	}
}

func (c *applyCommand) printResult(r applyResult) error {
	if c.JSON {
		if err := printJSON(c.streams.out, r); err != nil {
			return err
		}
	}
	if !r.Enforced {
		return fmt.Errorf("version %d is stored but not in force on: %s; remedy: inspect these nodes with 'cassiawall status'", r.Version, strings.Join(r.Lagging, ", "))
	}
	if c.JSON {
		return nil
	}
	_, err := fmt.Fprintf(c.streams.out, "version %d is in force on all live nodes\n", r.Version)
	return err
}
