package quota

import (
	"encoding/binary"
	"math"
	"time"
)

// Observation is what one node has observed of the limit of a server.
type Observation struct {
	// Server is the hash of the server's ID.
	Server uint32
	// Limited is set if the server stated a limit, and unset if a later response stated none. Rate is in requests a second.
	Limited bool
	Rate    float64
	// Age is the time since the response that showed it.
	Age time.Duration
}

// Demand is the rate at which a node gets requests for a service.
type Demand struct {
	// Service is the hash of the service's name.
	Service uint32
	// Rate is in requests a second.
	Rate float64
}

// Report is what a node reports to the leader.
type Report struct {
	Observations []Observation
	Demands      []Demand
}

const (
	// maxObservations and maxDemands bound a report, to about 0.9 KB.
	maxObservations = 64
	maxDemands      = 32
	// maxPermitEntries bounds the servers in the permits of one message, to 2.5 KB.
	maxPermitEntries = 512
	observationBytes = 10
	demandBytes      = 8
	permitBytes      = 5
	// ageUnit is the unit of an encoded age.
	ageUnit = 10 * time.Millisecond
)

// Encode encodes a report: the number of observations, these, and the demands. It returns nil for an empty report.
func (r Report) Encode() []byte {
	observations, demands := r.Observations[:min(len(r.Observations), maxObservations)], r.Demands[:min(len(r.Demands), maxDemands)]
	if len(observations) == 0 && len(demands) == 0 {
		return nil
	}
	data := append(make([]byte, 0, 1+len(observations)*observationBytes+len(demands)*demandBytes), byte(len(observations)))
	for _, o := range observations {
		rate := float32(o.Rate)
		if !o.Limited {
			rate = -1
		}
		data = binary.BigEndian.AppendUint32(data, o.Server)
		data = binary.BigEndian.AppendUint32(data, math.Float32bits(rate))
		data = binary.BigEndian.AppendUint16(data, uint16(min(max(o.Age/ageUnit, 0), math.MaxUint16)))
	}
	for _, d := range demands {
		data = binary.BigEndian.AppendUint32(data, d.Service)
		data = binary.BigEndian.AppendUint32(data, math.Float32bits(float32(d.Rate)))
	}
	return data
}

// DecodeReport decodes the complete entries of a report. Entries with values that no node sends are left out.
func DecodeReport(data []byte) Report {
	var r Report
	if len(data) == 0 {
		return r
	}
	observations := int(data[0])
	data = data[1:]
	for ; observations > 0 && len(data) >= observationBytes; data, observations = data[observationBytes:], observations-1 {
		rate := float64(math.Float32frombits(binary.BigEndian.Uint32(data[4:])))
		if math.IsNaN(rate) || math.IsInf(rate, 0) {
			continue
		}
		r.Observations = append(r.Observations, Observation{
			Server: binary.BigEndian.Uint32(data), Limited: rate >= 0, Rate: max(rate, 0), Age: time.Duration(binary.BigEndian.Uint16(data[8:])) * ageUnit,
		})
	}
	for ; observations == 0 && len(data) >= demandBytes && len(r.Demands) < maxDemands; data = data[demandBytes:] {
		rate := float64(math.Float32frombits(binary.BigEndian.Uint32(data[4:])))
		if rate >= 0 && !math.IsInf(rate, 0) {
			r.Demands = append(r.Demands, Demand{Service: binary.BigEndian.Uint32(data), Rate: rate})
		}
	}
	return r
}

// Permit allows a node to send N requests to a server.
type Permit struct {
	// Server is the hash of the server's ID.
	Server uint32
	N      int
}

// Permits are those that the leader issues to one node with a heartbeat.
type Permits struct {
	// Authoritative is set if the leader has had the reports of all nodes.
	Authoritative bool
	Permits       []Permit
}

// Flags in the first byte of encoded permits. flagIssued is always set.
const (
	flagIssued = 1 << iota
	flagAuthoritative
)

// Encode encodes permits. The result is never empty, so that a node can tell a leader that issues none now from one of an
// earlier version.
func (p Permits) Encode() []byte {
	flags := byte(flagIssued)
	if p.Authoritative {
		flags |= flagAuthoritative
	}
	data := append(make([]byte, 0, 1+len(p.Permits)*permitBytes), flags)
	for _, permit := range p.Permits[:min(len(p.Permits), maxPermitEntries)] {
		data = binary.BigEndian.AppendUint32(data, permit.Server)
		data = append(data, byte(min(permit.N, maxPermits)))
	}
	return data
}

// DecodePermits decodes the complete permits in data. ok is false if the leader issues none.
func DecodePermits(data []byte) (p Permits, ok bool) {
	if len(data) == 0 {
		return Permits{}, false
	}
	p.Authoritative = data[0]&flagAuthoritative != 0
	for data = data[1:]; len(data) >= permitBytes && len(p.Permits) < maxPermitEntries; data = data[permitBytes:] {
		p.Permits = append(p.Permits, Permit{Server: binary.BigEndian.Uint32(data), N: int(data[4])})
	}
	return p, true
}
