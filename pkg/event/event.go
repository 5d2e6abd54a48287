// Package event defines the numbered log events. docs/EVENTS.md lists them with the operator's action, and a
// test checks that both agree.
package event

import (
	"context"
	"log/slog"
)

// Event is one numbered kind of log record.
type Event struct {
	Number int
	Name   string
	Level  slog.Level
	// Action is the operator's next step, or "none".
	Action string
}

var catalogue []Event

func define(number int, name string, level slog.Level, action string) Event {
	e := Event{Number: number, Name: name, Level: level, Action: action}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns all events in the order of their definition.
func Catalogue() []Event { return append([]Event(nil), catalogue...) }

// Log writes the event with attributes. Secrets never go into attributes.
func (e Event) Log(ctx context.Context, l *slog.Logger, attrs ...slog.Attr) {
	attrs = append([]slog.Attr{slog.Int("event", e.Number)}, attrs...)
	l.LogAttrs(ctx, e.Level, e.Name, attrs...)
}

// Emit writes the event with alternating attribute names and values, as in slog.Logger.Info.
func (e Event) Emit(l *slog.Logger, args ...any) {
	l.Log(context.Background(), e.Level, e.Name, append([]any{"event", e.Number}, args...)...)
}
