package speed

import "math"

// features are the terms of the model of a service, scaled to similar sizes.
type features [dimensions]float64

const (
	dimensions = 3
	// tokenScale and runningScale are the units of tokens and running requests in the fit.
	tokenScale, runningScale = 1000.0, 10.0
)

func newFeatures(tokensToRead, running int) features {
	return features{1, float64(max(tokensToRead, 0)) / tokenScale, float64(max(running, 0)) / runningScale}
}

const (
	// memorySamples is the number of samples after which the weight of a sample has fallen to 1/e.
	memorySamples = 400
	// readySamples is the number of samples from which the model shows which engines differ from it.
	readySamples = 12
	// samplesPerSolve is the number of samples between two solutions, which save processor time.
	samplesPerSolve = 8
	// huberOctaves is the difference from the model, in octaves, from which a sample loses weight. Requests that
	// wait behind a rare long prompt would otherwise set the scale: with 0.4, the median error of a replay with
	// slow reading is 0.17 instead of 0.15.
	huberOctaves = 0.3
	// ridge stabilizes terms that the samples do not vary.
	ridge = 1e-3
	// initialVariance is that of a service with few samples, in octaves squared. varianceWeight is the weight of one
	// sample in the moving average.
	initialVariance = 0.25
	varianceWeight  = 0.02
	// minPredictedMS is the shortest time that a model predicts.
	minPredictedMS = 0.1
)

// serviceModel is a linear model of the time to the first event in milliseconds, fitted by recursive least squares of the
// relative error.
type serviceModel struct {
	// products and targets are the weighted sums of the normal equations.
	products [dimensions][dimensions]float64
	targets  features
	coef     features
	// samples counts the samples, and sinceSolve those since the last solution.
	samples, sinceSolve int
	// logMean is the mean logarithm of the times while the model is not ready.
	logMean float64
	// variance is the mean squared difference from the model in octaves.
	variance float64
}

func newServiceModel() *serviceModel { return &serviceModel{variance: initialVariance} }

// ready reports whether the model has enough samples to show which engines differ from it.
func (m *serviceModel) ready() bool { return m.samples >= readySamples }

// predict returns the expected time in milliseconds.
func (m *serviceModel) predict(x features) float64 {
	if !m.ready() {
		return math.Exp2(m.logMean)
	}
	ms := 0.0
	for i := range x {
		ms += m.coef[i] * x[i]
	}
	return max(ms, minPredictedMS)
}

// add adds a sample whose time in milliseconds is that of an engine with a factor of 1.
func (m *serviceModel) add(x features, ms float64) {
	log := math.Log2(ms)
	predicted := math.Log2(m.predict(x))
	if m.samples == 0 {
		predicted = log
	}
	m.samples++
	if m.samples < readySamples {
		m.logMean += (log - m.logMean) / float64(m.samples)
	}
	difference := min(max(log-predicted, -2), 2)
	m.variance += varianceWeight * (difference*difference - m.variance)
	weight := 1.0
	if size := math.Abs(difference); size > huberOctaves {
		weight = huberOctaves / size
	}
	// The weight of the relative error uses the model's time where there is one: with the observed time, short times
	// would count more than long ones.
	reference := math.Exp2(log - difference)
	weight /= reference * reference
	const keep = 1 - 1.0/memorySamples
	for i := range x {
		for j := range x {
			m.products[i][j] = m.products[i][j]*keep + weight*x[i]*x[j]
		}
		m.targets[i] = m.targets[i]*keep + weight*x[i]*ms
	}
	m.sinceSolve++
	if m.sinceSolve >= samplesPerSolve || m.samples == readySamples {
		m.sinceSolve = 0
		m.coef = m.solve()
	}
}

// solve returns the terms, none of which is negative: a term whose solution is negative is left out.
func (m *serviceModel) solve() features {
	var omitted [dimensions]bool
	for {
		coef := m.solveWithout(omitted)
		lowest := 0
		for i := range coef {
			if coef[i] < coef[lowest] {
				lowest = i
			}
		}
		if coef[lowest] >= 0 {
			return coef
		}
		omitted[lowest] = true
	}
}

// solveWithout solves the normal equations by Gaussian elimination. Omitted terms are 0. The ridge keeps all pivots
// positive.
func (m *serviceModel) solveWithout(omitted [dimensions]bool) features {
	a, b := m.products, m.targets
	for i := range a {
		a[i][i] += ridge*m.products[0][0] + math.SmallestNonzeroFloat32
		if omitted[i] {
			for j := range a {
				a[i][j], a[j][i] = 0, 0
			}
			a[i][i], b[i] = 1, 0
		}
	}
	for i := range a {
		for k := i + 1; k < dimensions; k++ {
			f := a[k][i] / a[i][i]
			for j := i; j < dimensions; j++ {
				a[k][j] -= f * a[i][j]
			}
			b[k] -= f * b[i]
		}
	}
	for i := dimensions - 1; i >= 0; i-- {
		for j := i + 1; j < dimensions; j++ {
			b[i] -= a[i][j] * b[j]
		}
		b[i] /= a[i][i]
	}
	return b
}
