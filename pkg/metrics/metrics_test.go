package metrics

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against an export that a Prometheus server cannot parse: a missing TYPE line, a family whose
// series are not contiguous, or unescaped label values.
func TestExport(t *testing.T) {
	r := New()
	r.Counter("requests_total", "kind", `a"b`).Inc(2)
	r.Counter("requests_total", "kind", "c").Inc(1)
	r.Gauge("queue_length").Update(3.5)
	r.GaugeFunc("members", func() float64 { return 1 })
	r.GaugeFunc("members", func() float64 { return 4 })
	for i := range 99 {
		r.Histogram("wait_ms").Update(int64(i + 1))
	}
	w := httptest.NewRecorder()
	r.ServeHTTP(w, nil)
	assert.Equal(t, `# TYPE cassiawall_members gauge
cassiawall_members 4
# TYPE cassiawall_queue_length gauge
cassiawall_queue_length 3.5
# TYPE cassiawall_requests_total counter
cassiawall_requests_total{kind="a\"b"} 2
cassiawall_requests_total{kind="c"} 1
# TYPE cassiawall_wait_ms summary
cassiawall_wait_ms_count 99
cassiawall_wait_ms{quantile="0.5"} 50
cassiawall_wait_ms{quantile="0.95"} 95
cassiawall_wait_ms{quantile="0.99"} 99
`, w.Body.String())
}

// Guards against runtime metrics that this release of Go does not have.
func TestProcessGauges(t *testing.T) {
	r := New()
	r.AddProcessGauges()
	var out strings.Builder
	r.Write(&out)
	assert.Equal(t, len(processGauges), strings.Count(out.String(), "# TYPE cassiawall_process_"))
	assert.NotContains(t, out.String(), "NaN")
}
