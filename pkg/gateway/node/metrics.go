package node

import (
	"fmt"
	"net/http"
)

// registerGauges registers the metrics that are read at each export.
func (n *Node) registerGauges() {
	m := n.opt.Metrics
	m.GaugeFunc("backends", func() float64 { return float64(len(n.registry.IDs())) })
	m.GaugeFunc("config_version", func() float64 {
		if c := n.config.current.Load(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
	m.GaugeFunc("lease_held", func() float64 { return flag(n.controller.Holding()) })
	m.GaugeFunc("covered_by_holder", func() float64 { return flag(n.board.covered()) })
	m.GaugeFunc("cache_store_up", func() float64 { return flag(n.prefixes.StoreUp()) })
	m.GaugeFunc("log_lines_dropped", func() float64 { return float64(n.opt.LinesDropped()) })
	for _, x := range n.mirrors {
		m.GaugeFunc("mirror_revision", func() float64 { return float64(x.Revision()) }, "kind", x.Kind())
	}
}

func flag(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

// serveMetrics serves the metrics until the process ends.
func (n *Node) serveMetrics() error {
	mux := http.NewServeMux()
	mux.Handle("GET "+n.opt.MetricsPath, n.opt.Metrics)
	server := &http.Server{
		Addr: fmt.Sprintf("%s:%d", n.opt.Settings.Address, n.opt.MetricsPort), Handler: mux, ReadHeaderTimeout: headerLimit,
	}
	return server.ListenAndServe()
}
