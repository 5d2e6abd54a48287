package placement

import "slices"

// servingFilter keeps engines that serve the request's model and weights version.
type servingFilter struct{}

// Keep implements Filter. An engine whose model or version is unknown is kept: it rejects a request
// that it cannot serve, without running it.
func (servingFilter) Keep(r *Request, e *EngineView) bool {
	switch {
	case e.Unusable:
		return false
	case e.Model != "" && e.Model != r.Model:
		return false
	case e.WeightsVersion != "" && r.WeightsVersion != "" && e.WeightsVersion != r.WeightsVersion:
		return false
	}
	return !slices.Contains(r.Exclude, e.ID)
}
