package report

import (
	"bytes"
	"net/http"

	"cassiawall.example/cassiawall/pkg/fault"
)

// Paths on the operators' listener.
const (
	PathHTML = "/report/burn"
	PathJSON = "/report/burn.json"
	PathText = "/report/burn.txt"
)

// ServeHTTP serves the burn report: HTML at PathHTML, JSON at PathJSON and text at PathText.
func (c *Collector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	render, contentType := HTML, "text/html; charset=utf-8"
	switch r.URL.Path {
	case PathJSON:
		render, contentType = JSON, "application/json"
	case PathText:
		render, contentType = Text, "text/plain; charset=utf-8"
	}
	collected, err := c.Collect(r.Context())
	var page bytes.Buffer
	if err == nil {
		err = render(&page, collected)
	}
	if err != nil {
		fault.WriteHTTP(w, err, "")
		return
	}
	w.Header().Set("Content-Type", contentType)
	// A failed write means that the client has disconnected.
	_, _ = w.Write(page.Bytes())
}
