// Package scale measures the cost of a role of a node at several sizes and fits a straight line, so
// that the cost at the target size can be extrapolated with a stated error. The command
// cassiawall bench scale uses it; serving nodes do not.
package scale

import (
	"context"
	"math"
	"slices"
	"sync"

	"gonum.org/v1/gonum/stat"

	"cassiawall.example/cassiawall/pkg/fault"
)

// Sample is one measurement of a role.
type Sample struct {
	Size int `json:"size"`
	// Values maps names to measured values. In general a name ends with the unit.
	Values map[string]float64 `json:"values"`
}

// Fit is a least-squares line through the samples of one value.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// SlopeError is the standard error of the slope, and ResidualError the standard deviation of
	// the measured values around the line.
	SlopeError    float64 `json:"slope_error"`
	ResidualError float64 `json:"residual_error"`
	// R2 is the coefficient of determination.
	R2 float64 `json:"r2"`
	// AtTarget is the value of the line at the role's target size, and TargetError the standard
	// error of a single value predicted there.
	AtTarget    float64 `json:"at_target"`
	TargetError float64 `json:"target_error"`
}

// Result holds the measurements of a role and the fit of each measured value.
type Result struct {
	Role       string         `json:"role"`
	SizeUnit   string         `json:"size_unit"`
	TargetSize int            `json:"target_size"`
	Samples    []Sample       `json:"samples"`
	Fits       map[string]Fit `json:"fits"`
}

// Role is a part of a node's work whose cost depends on a size, such as the number of nodes.
type Role struct {
	Name string
	// SizeUnit is the unit of the size, such as "nodes".
	SizeUnit string
	// TargetSize is the size for which the cost is extrapolated.
	TargetSize int
	// Sizes are the sizes that Measure uses by default.
	Sizes []int
	// Measure measures the role at one size and returns the measured values by name.
	Measure func(ctx context.Context, size int) (map[string]float64, error)
}

var (
	mu    sync.Mutex
	roles = map[string]Role{}
)

// Register adds a role. It panics if a role of that name is registered, which is a programming
// error.
func Register(r Role) {
	mu.Lock()
	defer mu.Unlock()
	if _, taken := roles[r.Name]; taken {
		panic("scale: role " + r.Name + " is registered twice")
	}
	roles[r.Name] = r
}

// Roles returns the sorted names of all roles.
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

// minSizes is the minimum number of sizes for a fit with a useful error estimate.
const minSizes = 4

// Measure measures a role at each size, one after the other, and fits a line to each value. Without
// sizes it uses the role's default sizes. The error is of kind fault.BadRequest for an unknown role
// or fewer than four sizes.
func Measure(ctx context.Context, role string, sizes []int) (Result, error) {
	mu.Lock()
	r, registered := roles[role]
	mu.Unlock()
	if !registered {
		return Result{}, fault.New(fault.BadRequest, "unknown role %q; use one of %v", role, Roles())
	}
	if len(sizes) == 0 {
		sizes = r.Sizes
	}
	if len(sizes) < minSizes {
		return Result{}, fault.New(fault.BadRequest, "%d sizes are too few for a fit with an error estimate; use at least %d", len(sizes), minSizes)
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

// fitAll fits a line to each value of the samples.
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

// fit fits a line by least squares and computes its errors for a prediction at target.
func fit(x, y []float64, target float64) Fit {
	var f Fit
	f.Intercept, f.Slope = stat.LinearRegression(x, y, nil, false)
	f.R2 = stat.RSquared(x, y, nil, f.Intercept, f.Slope)
	if math.IsNaN(f.R2) {
		// All values are equal, and the line fits them exactly.
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
