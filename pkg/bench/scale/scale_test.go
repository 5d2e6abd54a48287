package scale

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a wrong fit or error estimate. The expected values are computed by hand: x 1..4 and
// y 2 4 5 8 give the line 0 + 1.9x with a sum of squared residuals of 0.7.
func TestFitMatchesHandComputedValues(t *testing.T) {
	f := fit([]float64{1, 2, 3, 4}, []float64{2, 4, 5, 8}, 10)
	assert.InDelta(t, 0, f.Intercept, 1e-9)
	assert.InDelta(t, 1.9, f.Slope, 1e-9)
	assert.InDelta(t, 0.5916, f.ResidualError, 1e-4)
	assert.InDelta(t, 0.2646, f.SlopeError, 1e-4)
	assert.InDelta(t, 19, f.AtTarget, 1e-9)
	assert.InDelta(t, 2.0917, f.TargetError, 1e-3)
	assert.InDelta(t, 0.9627, f.R2, 1e-4)
}

// registerTestRole registers a role whose cost is three times its size, once for all runs of the test.
var registerTestRole = sync.OnceFunc(func() {
	Register(Role{Name: "test", TargetSize: 8, Sizes: []int{1, 2, 3, 4}, Measure: func(_ context.Context, size int) (map[string]float64, error) {
		return map[string]float64{"cost": float64(3 * size)}, nil
	}})
})

// Guards against a fit through too few sizes and against unknown roles that are accepted.
func TestMeasureRejectsInvalidInput(t *testing.T) {
	_, err := Measure(t.Context(), "nope", nil)
	require.Error(t, err)
	_, err = Measure(t.Context(), "gossip", []int{1, 2, 3})
	require.Error(t, err)
	registerTestRole()
	s, err := Measure(t.Context(), "test", nil)
	require.NoError(t, err)
	assert.InDelta(t, 24, s.Fits["cost"].AtTarget, 1e-9)
}

// The benchmarks measure a role at its default sizes and print the result as JSON, for example:
//
//	go test -run '^$' -bench Gossip -benchtime 1x ./pkg/bench/scale

func BenchmarkGossip(b *testing.B) { measureRole(b, "gossip") }

func BenchmarkConfiguration(b *testing.B) { measureRole(b, "configuration") }

func BenchmarkLimits(b *testing.B) { measureRole(b, "limits") }

func measureRole(b *testing.B, role string) {
	for b.Loop() {
		s, err := Measure(b.Context(), role, nil)
		if err != nil {
			b.Fatal(err)
		}
		text, err := json.MarshalIndent(s, "", "  ")
		if err != nil {
			b.Fatal(err)
		}
		fmt.Println(string(text))
	}
}
