// Package explain tells the story of one request from the log lines of several nodes.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"cassiawall.example/cassiawall/pkg/event"
)

// maxLineBytes bounds a log line in bytes.
const maxLineBytes = 1 << 20

// Line is one log line of a node.
type Line struct {
	Node string
	// Time is by the node's own clock until Story compares the clocks.
	Time   time.Time
	Event  int
	Name   string
	Fields map[string]any
}

// Read reads the log of one node, or that of several with the node's name before each JSON object.
// Other lines are skipped. name stands for the node where the lines do not tell it.
func Read(r io.Reader, name string) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		l := Line{Node: name, Fields: map[string]any{}}
		if json.Unmarshal([]byte(text[start:]), &l.Fields) != nil {
			continue
		}
		if before := strings.Fields(text[:start]); len(before) > 0 {
			l.Node = before[len(before)-1]
		}
		if !l.extractCommonFields() {
			continue
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// extractCommonFields moves the common fields out of Fields. It reports whether the line is one of cassiawall's.
func (l *Line) extractCommonFields() bool {
	text, _ := l.Fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	number, numbered := l.Fields["event"].(float64)
	if err != nil || !numbered {
		return false
	}
	l.Time, l.Event = at, int(number)
	l.Name, _ = l.Fields["msg"].(string)
	for _, common := range []string{"time", "event", "msg", "level"} {
		delete(l.Fields, common)
	}
	return true
}

// stateEvents are the events that change what a node believes; the last of each is shown.
var stateEvents = map[int]bool{
	event.ConfigAccepted.Number: true, event.WeightsNamed.Number: true, event.StoreLost.Number: true, event.StoreRegained.Number: true,
	event.LeaseTaken.Number: true, event.LeaseLost.Number: true, event.CacheStoreChanged.Number: true, event.NodeStarted.Number: true,
	event.NodeDraining.Number: true, event.CoverageChanged.Number: true,
}

// backendEvents are the events that concern one backend server; the last of each that the request met is
// shown.
var backendEvents = map[int]bool{event.BackendListed.Number: true, event.BackendGone.Number: true, event.OrderEnded.Number: true}

// Timeline returns the lines of a request and the beliefs of its nodes in the order of time, or "" if no
// line is about the request.
func Timeline(lines []Line, request string) string {
	offsets := clockOffsets(lines)
	lines = slices.Clone(lines)
	for i := range lines {
		lines[i].Time = lines[i].Time.Add(-offsets[lines[i].Node])
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	var b strings.Builder
	printed := map[string]Line{}
	for i, l := range lines {
		if l.Fields["request"] != request {
			continue
		}
		for _, state := range stateBefore(lines[:i], l) {
			key := state.Node + state.Name + fmt.Sprint(state.Fields["kind"], state.Fields["backend"])
			if printed[key].Time.Equal(state.Time) {
				continue
			}
			printed[key] = state
			fmt.Fprintf(&b, "  believed since %s: %s %s\n", formatAge(l.Time.Sub(state.Time)), state.Name, formatFields(state.Fields))
		}
		fmt.Fprintf(&b, "%s %s %d %s %s\n", l.Time.UTC().Format("15:04:05.000"), l.Node, l.Event, l.Name, formatFields(l.Fields))
	}
	return b.String()
}

// stateBefore returns the last line of each belief of a line's node, and of the backend server that the line
// names.
func stateBefore(earlierLines []Line, l Line) []Line {
	last := map[string]Line{}
	backend := l.Fields["backend"]
	for _, earlier := range earlierLines {
		if earlier.Node != l.Node {
			continue
		}
		switch {
		case earlier.Event == event.NodeStarted.Number:
			// A new process knows nothing of what the one before it believed.
			clear(last)
			last[fmt.Sprint(earlier.Event)] = earlier
		case stateEvents[earlier.Event]:
			last[fmt.Sprint(earlier.Event, earlier.Fields["kind"])] = earlier
		case backendEvents[earlier.Event] && backend != nil && (earlier.Fields["backend"] == backend || earlier.Fields["engine"] == backend):
			last[fmt.Sprint("backend", earlier.Event)] = earlier
		}
	}
	found := slices.Collect(maps.Values(last))
	slices.SortFunc(found, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), strings.Compare(a.Name, b.Name)) })
	return found
}

// clockOffsets returns how far each node's clock is ahead of the first node's. Nodes log the same changes
// of the store within some hundred milliseconds of each other, so the median difference of these
// lines is the difference of the clocks.
func clockOffsets(lines []Line) map[string]time.Duration {
	firstTimes := map[string]map[string]time.Time{}
	var nodes []string
	for _, l := range lines {
		revision, ok := l.Fields["revision"]
		if firstTimes[l.Node] == nil {
			firstTimes[l.Node] = map[string]time.Time{}
			nodes = append(nodes, l.Node)
		}
		if key := fmt.Sprint(l.Event, "/", revision, "/", l.Fields["backend"]); ok && firstTimes[l.Node][key].IsZero() {
			firstTimes[l.Node][key] = l.Time
		}
	}
	slices.Sort(nodes)
	offsets := map[string]time.Duration{}
	for i, node := range nodes {
		if i == 0 {
			continue
		}
		var differences []time.Duration
		for key, at := range firstTimes[node] {
			if reference, ok := firstTimes[nodes[0]][key]; ok {
				differences = append(differences, at.Sub(reference))
			}
		}
		if len(differences) > 0 {
			slices.Sort(differences)
			offsets[node] = differences[len(differences)/2]
		}
	}
	return offsets
}

func formatAge(d time.Duration) string { return d.Round(time.Millisecond).String() }

// formatFields prints formatFields in the order of their names.
func formatFields(f map[string]any) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(f)) {
		if name == "request" || f[name] == "" {
			continue
		}
		value, err := json.Marshal(f[name])
		if err != nil {
			continue
		}
		parts = append(parts, name+"="+string(value))
	}
	return strings.Join(parts, " ")
}
