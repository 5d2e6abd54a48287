package node

import (
	"net/http"

	"cassiawall.example/cassiawall/pkg/report"
	"cassiawall.example/cassiawall/pkg/status"
)

// operatorsHandler serves health, readiness, metrics, status and the error-budget report.
func (n *Node) operatorsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", n.serveReady)
	mux.Handle("GET /metrics", n.metrics)
	mux.Handle("GET "+status.Path, n.status)
	for _, path := range []string{report.PathHTML, report.PathJSON, report.PathText} {
		mux.Handle("GET "+path, n.report)
	}
	return mux
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
