// Package explain reconstructs the timeline of one request from the logs of several nodes.
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
	// Time is the time of the line by the clock of its node. Timeline works on copies with corrected
	// times.
	Time   time.Time
	Event  int
	Name   string
	Fields map[string]any
}

// Read reads the log of one node, or one of several nodes in which the last word before each JSON
// object is the name of the node. name is the node of lines without such a word. Lines that are no log
// lines of cassiawall are skipped. The error is that of r, or bufio.ErrTooLong for a line of 1 MiB or
// more.
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

// extractCommonFields moves the time, the event number and the message from Fields to their own fields
// and drops the level. It reports false if the line has no valid time or no event number, so is no log
// line of cassiawall.
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

// stateEvents are the events that change the recorded state of a node. Before a line of the request, the
// timeline shows the last event of each kind.
var stateEvents = map[int]bool{
	event.ConfigAccepted.Number: true, event.WeightsNamed.Number: true, event.StoreLost.Number: true, event.StoreRegained.Number: true,
	event.LeaseTaken.Number: true, event.LeaseLost.Number: true, event.CacheStoreChanged.Number: true, event.NodeStarted.Number: true,
	event.NodeDraining.Number: true, event.CoverageChanged.Number: true,
}

// backendEvents are the events that change the recorded state of one backend server or engine. Before a
// line of the request that names a backend, the timeline shows the last event of each kind for it.
var backendEvents = map[int]bool{event.BackendListed.Number: true, event.BackendGone.Number: true, event.OrderEnded.Number: true}

// Timeline returns the lines of a request in the order of time, with clock differences between nodes
// corrected. Before each line it lists the state that the node had recorded by then, with its age, if it
// is not listed before. It returns "" if no line is about the request.
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

// stateBefore returns, in the order of time, the last line of each state event of l's node, and of each
// backend event for the backend that l names, among the lines before l.
func stateBefore(earlierLines []Line, l Line) []Line {
	last := map[string]Line{}
	backend := l.Fields["backend"]
	for _, earlier := range earlierLines {
		if earlier.Node != l.Node {
			continue
		}
		switch {
		case earlier.Event == event.NodeStarted.Number:
			// A node loses its recorded state when it restarts.
			clear(last)
			last[fmt.Sprint(earlier.Event)] = earlier
		case stateEvents[earlier.Event]:
			last[fmt.Sprint(earlier.Event, earlier.Fields["kind"])] = earlier
		case backendEvents[earlier.Event] && backend != nil && (earlier.Fields["backend"] == backend || earlier.Fields["engine"] == backend):
			last[fmt.Sprint("backend", earlier.Event)] = earlier
		}
	}
	lines := slices.Collect(maps.Values(last))
	slices.SortFunc(lines, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), strings.Compare(a.Name, b.Name)) })
	return lines
}

// clockOffsets returns how far each node's clock is ahead of the clock of the first node by name. Nodes
// log the same revisions of the store within some hundred milliseconds of each other, so the median
// difference between the times of these lines approximates the clock difference. A node that shares no
// such line with the first node gets no correction.
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

// formatFields returns the fields as name=value in the order of their names, without the request id and
// empty strings.
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
