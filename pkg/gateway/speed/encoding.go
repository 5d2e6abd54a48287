package speed

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"time"
)

const (
	// maxReported bounds the engines in a report, to 384 bytes.
	maxReported = 64
	// maxAnnounced bounds the engines in an announcement, so that it has at most MaxAnnouncementBytes, and maxRefreshed
	// those whose factor has not changed: they are repeated for nodes that have started or missed a message. 790 engines
	// have their turn in 25 announcements, before factorTTL at one a second.
	maxAnnounced = 80
	maxRefreshed = 32
	// reportBytes is the size of a reported engine: its key, the number of samples, and their mean.
	reportBytes = 6
	// factorBytes is the size of an announced factor: the key of the engine, and the factor.
	factorBytes = 5
	// stepsPerOctave is the resolution of encoded factors and means, 2.2%. One byte holds four octaves up and down.
	stepsPerOctave = 32
	// formatVersion is the first byte of an announcement. An empty one is that of a leader that announces none.
	formatVersion = 1
)

// MaxAnnouncementBytes is the size of the largest announcement.
const MaxAnnouncementBytes = 1 + maxAnnounced*factorBytes

func encodeOctaves(octaves float64) byte {
	return byte(int8(min(max(math.Round(octaves*stepsPerOctave), -math.MaxInt8), math.MaxInt8)))
}

func decodeOctaves(b byte) float64 { return float64(int8(b)) / stepsPerOctave }

// Report returns the encoded samples since the last report, or nil if there are none: those of the engines with the most
// samples. The others wait for the next report.
func (t *Tracker) Report(now time.Time) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pruneLocked(now)
	var keys []uint32
	for key, e := range t.engines {
		if e.pendingCount > 0 {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return nil
	}
	slices.SortFunc(keys, func(a, b uint32) int {
		return cmp.Or(cmp.Compare(t.engines[b].pendingCount, t.engines[a].pendingCount), cmp.Compare(a, b))
	})
	keys = keys[:min(len(keys), maxReported)]
	data := make([]byte, 0, len(keys)*reportBytes)
	for _, key := range keys {
		e := t.engines[key]
		data = binary.BigEndian.AppendUint32(data, key)
		data = append(data, byte(e.pendingCount), encodeOctaves(e.pendingSum/float64(e.pendingCount)))
		e.pendingSum, e.pendingCount = 0, 0
	}
	return data
}

// sample is what one node has observed of one engine.
type sample struct {
	engine uint32
	count  int
	// octaves is the mean ratio.
	octaves float64
}

// decodeReport decodes the complete entries of a report.
func decodeReport(data []byte) []sample {
	var samples []sample
	for ; len(data) >= reportBytes && len(samples) < maxReported; data = data[reportBytes:] {
		if s := (sample{engine: binary.BigEndian.Uint32(data), count: int(data[4]), octaves: decodeOctaves(data[5])}); s.count > 0 {
			samples = append(samples, s)
		}
	}
	return samples
}

// Apply applies an announcement of the leader, which read it at readAt or later. It does nothing for one of a leader that
// announces no factors. Factors that it does not contain stay valid.
func (t *Tracker) Apply(announcement []byte, readAt, now time.Time) {
	if len(announcement) == 0 || announcement[0] != formatVersion {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if readAt.Before(t.announcedAt) {
		return
	}
	t.announcedAt = readAt
	data := announcement[1:]
	for n := 0; len(data) >= factorBytes && n < maxAnnounced; data, n = data[factorBytes:], n+1 {
		if e := t.engineLocked(binary.BigEndian.Uint32(data), now); e != nil {
			e.announced, e.announcedAt, e.usedAt = decodeOctaves(data[4]), readAt, now
		}
	}
}
