package bench

import "math"

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Fit is a least-squares line through measurements.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// SlopeError is the standard error of the slope.
	SlopeError float64 `json:"slope_error"`
	// R2 is the share of the variance that the line explains. It is low for a flat line, whose
	// figures vary by noise only.
	R2 float64 `json:"r2"`
	// MaxError is the largest distance of a measurement from the line, relative to the mean.
	MaxError float64 `json:"max_error"`
}

// fitLine fits points with at least two different values of X.
func fitLine(points []Point) Fit {
	n := float64(len(points))
	meanX, meanY := 0.0, 0.0
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	sxx, sxy, syy := 0.0, 0.0, 0.0
	for _, p := range points {
		sxx += (p.X - meanX) * (p.X - meanX)
		sxy += (p.X - meanX) * (p.Y - meanY)
		syy += (p.Y - meanY) * (p.Y - meanY)
	}
	f := Fit{Slope: ratio(sxy, sxx)}
	f.Intercept = meanY - f.Slope*meanX
	residuals := 0.0
	for _, p := range points {
		d := p.Y - f.at(p.X)
		residuals += d * d
		f.MaxError = max(f.MaxError, ratio(math.Abs(d), meanY))
	}
	f.R2 = 1 - ratio(residuals, syy)
	if len(points) > 2 && sxx > 0 {
		f.SlopeError = math.Sqrt(residuals / (n - 2) / sxx)
	}
	return f
}

func (f *Fit) at(x float64) float64 { return f.Intercept + f.Slope*x }
