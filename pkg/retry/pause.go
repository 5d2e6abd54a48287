package retry

import (
	"math"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"
)

// MaxPause bounds the pause that a server may ask for, so that none is lost for good by a wrong value.
const MaxPause = 5 * time.Minute

const (
	// pauseSpreadShare and maxPauseSpread bound the time by which a node lengthens a pause at random: the nodes that a
	// server has paused then return one after the other.
	pauseSpreadShare = 0.25
	maxPauseSpread   = time.Second
)

// ParsePause parses the Retry-After of a server that refuses a request: seconds, whole or decimal, or "" for no pause.
// valid is false for a text that cannot be read or is negative, with no pause, and for a pause that is cut to MaxPause.
func ParsePause(text string) (pause time.Duration, valid bool) {
	if text == "" {
		return 0, true
	}
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	switch {
	case err != nil || seconds < 0 || math.IsNaN(seconds) || math.IsInf(seconds, 0):
		return 0, false
	case seconds > MaxPause.Seconds():
		return MaxPause, false
	}
	return time.Duration(seconds * float64(time.Second)), true
}

// SpreadPause lengthens a pause at random by up to a quarter of it or a second.
func SpreadPause(pause time.Duration) time.Duration {
	return pause + rand.N(min(time.Duration(pauseSpreadShare*float64(pause)), maxPauseSpread)+1)
}
