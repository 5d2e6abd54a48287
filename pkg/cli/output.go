package cli

import (
	"encoding/json"
	"io"
)

// printJSON writes v as indented JSON with a final newline.
func printJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
