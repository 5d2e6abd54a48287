// Package logging builds the process's logger, which removes secrets from every log record.
package logging

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"regexp"
	"strings"
)

// redacted replaces a secret in log records.
const redacted = "[redacted]"

// secretNames are the lower-case substrings of attribute names whose values are never logged.
var secretNames = []string{"authorization", "api_key", "apikey", "password", "secret", "credential", "cookie"}

// secretPatterns matches secrets inside other text: API keys, values of Authorization headers and
// private keys in PEM.
var secretPatterns = regexp.MustCompile(`cw_[A-Za-z0-9_-]{6,}|(?i:bearer)\s+\S+|(?s:-----BEGIN [A-Z ]*PRIVATE KEY-----.*?(?:-----END [A-Z ]*PRIVATE KEY-----|$))`)

// Redactor removes secrets from text. It is immutable and safe for concurrent use.
type Redactor struct {
	secrets *strings.Replacer
}

// minSecretBytes is the minimum length of a secret that NewRedactor removes. Removing shorter strings
// would also remove parts of ordinary text.
const minSecretBytes = 8

// NewRedactor returns a redactor that removes the given secrets and all text that matches
// secretPatterns. It ignores secrets shorter than minSecretBytes.
func NewRedactor(secrets ...[]byte) *Redactor {
	var pairs []string
	for _, s := range secrets {
		if len(s) >= minSecretBytes {
			pairs = append(pairs, string(s), redacted)
		}
	}
	return &Redactor{secrets: strings.NewReplacer(pairs...)}
}

// Redact returns text with each secret replaced by "[redacted]".
func (r *Redactor) Redact(text string) string {
	return secretPatterns.ReplaceAllString(r.secrets.Replace(text), redacted)
}

// ReplaceAttr returns an attribute with its secrets redacted, for slog.HandlerOptions.ReplaceAttr.
func (r *Redactor) ReplaceAttr(_ []string, a slog.Attr) slog.Attr {
	if isSecretName(a.Key) {
		return slog.String(a.Key, redacted)
	}
	switch a.Value.Kind() {
	case slog.KindString:
		a.Value = slog.StringValue(r.Redact(a.Value.String()))
	case slog.KindAny:
		a.Value = r.redactAny(a.Value)
	}
	return a
}

// redactAny redacts a value that is not a string. Errors and values with secrets become strings; other
// values keep their type.
func (r *Redactor) redactAny(v slog.Value) slog.Value {
	if _, isLevel := v.Any().(slog.Level); isLevel {
		return v
	}
	text := attributeText(v.Any())
	clean := r.Redact(text)
	_, isError := v.Any().(error)
	if clean != text || isError {
		return slog.StringValue(clean)
	}
	return v
}

// attributeText returns the text that a handler writes for v.
func attributeText(v any) string {
	switch typed := v.(type) {
	case error:
		return typed.Error()
	case []byte:
		return string(typed)
	}
	encoded, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprintf("%+v", v)
	}
	return string(encoded)
}

func isSecretName(name string) bool {
	name = strings.ToLower(name)
	for _, part := range secretNames {
		if strings.Contains(name, part) {
			return true
		}
	}
	return false
}

// New returns a logger that writes records of at least the given level to w as JSON lines, with the
// given secrets redacted.
func New(w io.Writer, level slog.Level, secrets ...[]byte) *slog.Logger {
	options := &slog.HandlerOptions{Level: level, ReplaceAttr: NewRedactor(secrets...).ReplaceAttr}
	return slog.New(slog.NewJSONHandler(w, options))
}
