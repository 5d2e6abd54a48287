package node

import (
	"fmt"
	"net/http"
)

// registerGauges registers the gauges whose values are computed at each export.
func (n *Node) registerGauges() {
	registry := n.opt.Metrics
	registry.GaugeFunc("backends", func() float64 { return float64(len(n.registry.IDs())) })
	registry.GaugeFunc("config_version", func() float64 {
		if c := n.config.current.Load(); c != nil {
			return float64(c.Version)
		}
		return 0
	})
	registry.GaugeFunc("lease_held", func() float64 { return boolGauge(n.controller.HoldsLease()) })
	registry.GaugeFunc("covered_by_holder", func() float64 { return boolGauge(n.board.isFollower()) })
	registry.GaugeFunc("cache_store_up", func() float64 { return float64(n.countStoresUp()) })
	registry.GaugeFunc("log_lines_dropped", func() float64 { return float64(n.opt.LinesDropped()) })
	registry.GaugeFunc("quarantined_parts", func() float64 { return float64(len(n.quarantine.Suspects())) })
	registry.GaugeFunc("slow_engines", func() float64 { return float64(n.registry.CountSlow()) })
	registry.GaugeFunc("request_body_bytes", func() float64 { return float64(n.bodyMemory.Used()) })
	if n.quotas != nil {
		registry.GaugeFunc("quota_parts", func() float64 { leader, _ := n.quotas.lent(); return float64(leader) }, "role", "leader")
		registry.GaugeFunc("quota_parts", func() float64 { _, interim := n.quotas.lent(); return float64(interim) }, "role", "interim")
	}
	for _, m := range n.mirrors {
		registry.GaugeFunc("mirror_revision", func() float64 { return float64(m.Revision()) }, "kind", m.Kind())
	}
}

func boolGauge(set bool) float64 {
	if set {
		return 1
	}
	return 0
}

// serveMetrics serves the metrics at the VM's address until the process ends. It returns the error that ends
// it earlier.
func (n *Node) serveMetrics() error {
	mux := http.NewServeMux()
	mux.Handle("GET "+n.opt.MetricsPath, n.opt.Metrics)
	listener, err := n.listen("tcp", fmt.Sprintf("%s:%d", n.opt.Settings.Address, n.opt.MetricsPort), otherSockets)
	if err != nil {
		return fmt.Errorf("listen for metrics: %w; check the port and that no other process uses it", err)
	}
	return n.serveOthers(&http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}, listener, "metrics", otherDescriptorShare)
}
