package backends

import "cassiawall.example/cassiawall/pkg/gateway/speed"

// SpeedServices returns the service of each listed engine by its speed.Key.
func (r *Registry) SpeedServices() map[uint32]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	services := make(map[uint32]string, len(r.members))
	for _, m := range r.members {
		if len(m.Models) > 0 {
			services[m.speedKey] = m.Service
		}
	}
	return services
}

// SpeedEngine returns the ID of the engine with a speed.Key, or "".
func (r *Registry) SpeedEngine(key uint32) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, m := range r.members {
		if m.speedKey == key {
			return id
		}
	}
	return ""
}

// SetSpeedFactors sets the factor of each engine to what factor returns for its speed.Key.
func (r *Registry) SetSpeedFactors(factor func(key uint32) float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.members {
		if len(m.Models) > 0 {
			m.speedFactor = factor(m.speedKey)
		}
	}
}

// SetSpeedFactor sets the factor of one engine. It does nothing if the engine has restarted since started.
func (r *Registry) SetSpeedFactor(id string, started int64, factor float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m := r.members[id]; m != nil && m.Started == started {
		m.speedFactor = factor
	}
}

// CountSlow returns the number of engines that count as slow.
func (r *Registry) CountSlow() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, m := range r.members {
		if m.speedFactor > speed.SlowFactor {
			n++
		}
	}
	return n
}
