// Package scale measures what a role of a node costs at several sizes and fits a straight line,
// so that the cost at the target size can be extrapolated with a stated error. It is a tool for
// cassiawall bench scale and no part of a serving node.
package scale

import (
	"context"
	"math"
	"slices"
	"sync"

	"gonum.org/v1/gonum/stat"

	"cassiawall.example/cassiawall/pkg/fault"
)

// Sample is one measurement.
type Sample struct {
	Size int `json:"size"`
	// Values are by name. The name ends with the unit.
	Values map[string]float64 `json:"values"`
}

// Fit is a least-squares line through the samples of one value.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// SlopeError is the standard error of the slope, ResidualError that of a value around the
	// line. Both have the unit of the value.
	SlopeError    float64 `json:"slope_error"`
	ResidualError float64 `json:"residual_error"`
	R2            float64 `json:"r2"`
	// AtTarget is the line at the role's target size, and TargetError the standard error of a
	// single value predicted there.
	AtTarget    float64 `json:"at_target"`
	TargetError float64 `json:"target_error"`
}

// Result is the result of measuring a role.
type Result struct {
	Role       string         `json:"role"`
	SizeUnit   string         `json:"size_unit"`
	TargetSize int            `json:"target_size"`
	Samples    []Sample       `json:"samples"`
	Fits       map[string]Fit `json:"fits"`
}

// Role is something whose cost depends on a size.
type Role struct {
	Name string
	// SizeUnit says what the size counts, TargetSize its value at the target size.
	SizeUnit   string
	TargetSize int
	// Sizes are the default sizes.
	Sizes []int
	// Measure measures the role at one size.
	Measure func(ctx context.Context, size int) (map[string]float64, error)
}

var (
	mu    sync.Mutex
	roles = map[string]Role{}
)

// Register adds a role. It panics on a name that is taken, which is a fault of the program.
func Register(r Role) {
	mu.Lock()
	defer mu.Unlock()
	if _, taken := roles[r.Name]; taken {
		panic("scale: role " + r.Name + " is registered twice")
	}
	roles[r.Name] = r
}

// Roles returns the names of all roles in order.
func Roles() []string {
	mu.Lock()
	defer mu.Unlock()
	names := make([]string, 0, len(roles))
	for name := range roles {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// minSizes is the number of sizes that a fit with an error needs.
const minSizes = 4

// Measure measures a role at each size, one after the other, and fits the values. No sizes mean
// the role's defaults. The error is of kind fault.BadRequest for an unknown role or fewer than
// four sizes.
func Measure(ctx context.Context, role string, sizes []int) (Result, error) {
	mu.Lock()
	r, registered := roles[role]
	mu.Unlock()
	if !registered {
		return Result{}, fault.New(fault.BadRequest, "unknown role %q; known are %v", role, Roles())
	}
	if len(sizes) == 0 {
		sizes = r.Sizes
	}
	if len(sizes) < minSizes {
		return Result{}, fault.New(fault.BadRequest, "%d sizes; a fit with an error needs at least %d", len(sizes), minSizes)
	}
	result := Result{Role: r.Name, SizeUnit: r.SizeUnit, TargetSize: r.TargetSize}
	for _, size := range sizes {
		values, err := r.Measure(ctx, size)
		if err != nil {
			return Result{}, err
		}
		result.Samples = append(result.Samples, Sample{Size: size, Values: values})
	}
	result.Fits = fitAll(result.Samples, r.TargetSize)
	return result, nil
}

func fitAll(samples []Sample, target int) map[string]Fit {
	fits := map[string]Fit{}
	for name := range samples[0].Values {
		var x, y []float64
		for _, s := range samples {
			x = append(x, float64(s.Size))
			y = append(y, s.Values[name])
		}
		fits[name] = fit(x, y, float64(target))
	}
	return fits
}

func fit(x, y []float64, target float64) Fit {
	var f Fit
	f.Intercept, f.Slope = stat.LinearRegression(x, y, nil, false)
	f.R2 = stat.RSquared(x, y, nil, f.Intercept, f.Slope)
	if math.IsNaN(f.R2) {
		// All values are equal, and the line goes through them.
		f.R2 = 1
	}
	mean := stat.Mean(x, nil)
	squaredResiduals, sumOfSquares := 0.0, 0.0
	for i := range x {
		residual := y[i] - f.Intercept - f.Slope*x[i]
		squaredResiduals += residual * residual
		sumOfSquares += (x[i] - mean) * (x[i] - mean)
	}
	n := float64(len(x))
	f.ResidualError = math.Sqrt(squaredResiduals / (n - 2))
	f.SlopeError = f.ResidualError / math.Sqrt(sumOfSquares)
	f.AtTarget = f.Intercept + f.Slope*target
	f.TargetError = f.ResidualError * math.Sqrt(1+1/n+(target-mean)*(target-mean)/sumOfSquares)
	return f
}
