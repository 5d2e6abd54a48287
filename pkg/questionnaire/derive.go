package questionnaire

import (
	"math"
	"time"
)

// Rules that turn answers into values. They are starting points, to be corrected with the burn
// report once there is traffic.
const (
	// largeWeight is the share of a large customer relative to a small one.
	largeWeight = 4
	// burstHeadroom leaves room for a customer's own peak above its share of the total.
	burstHeadroom = 3
	// minServingShare is the share of a model's machines that an update leaves serving.
	minServingShare = 2.0 / 3
	// bodyHeadroom covers JSON escapes around the text of a request.
	bodyHeadroom = 2
	minBodyBytes = 64 << 10
	maxBodyBytes = 64 << 20
	// fullPieceTokens is the size of a cache piece for long texts.
	fullPieceTokens = 4000
	minPieceTokens  = 100
	// readAlongTokenGap and unfollowedPause are the longest pauses between words for readers who follow
	// the text while it appears, and for those who do not.
	readAlongTokenGap  = 75 * time.Millisecond
	unattendedTokenGap = 250 * time.Millisecond
)

// bytesPerCharacter is for UTF-8 text of each kind of writing.
var bytesPerCharacter = map[string]int{"latin": 1, "cyrillic": 2, "other": 3}

// bytesPerToken is a rough estimate for common tokenizers. An error changes the size of cache
// pieces and the predicted prefill time, not the answers.
var bytesPerToken = map[string]float64{"latin": 4, "cyrillic": 5, "other": 3}

var latencyWeight = map[string]float64{none: 0.25, "small": 0.5, "serious": 1, "severe": 2}

var recomputeWeight = map[string]float64{"plentiful": 0.5, "normal": 1, "scarce": 2}

var latencyTarget = map[string]float64{none: 0.9, "small": 0.95, "serious": 0.98, "severe": 0.99}

var completionTarget = map[string]float64{none: 0.99, "small": 0.995, "serious": 0.999, "severe": 0.9995}

func weightOf(c Customer) int {
	if c.Size == "large" {
		return largeWeight
	}
	return 1
}

// requestLimit is the customer's share of the busiest minute, with headroom.
func (a *Answers) requestLimit(c Customer) float64 {
	total := 0
	for _, other := range a.Customers {
		total += weightOf(other)
	}
	share := float64(weightOf(c)) / float64(total)
	return math.Ceil(a.Callers.RequestsPerSecond * share * burstHeadroom)
}

// concurrencyLimit follows from the rate and the time that an answer takes (Little's law).
func (a *Answers) concurrencyLimit(c Customer) int {
	inProgress := a.Callers.FeelsSlowAfter.D() + a.Callers.AnswerTakes.D()
	return int(math.Ceil(a.requestLimit(c) * inProgress.Seconds()))
}

func (a *Answers) ttft() time.Duration {
	return a.Callers.FeelsSlowAfter.D() - callerRTT[a.Callers.From]
}

func (a *Answers) maxTokenGap() time.Duration {
	if a.Callers.ReadAlong {
		return readAlongTokenGap
	}
	return unattendedTokenGap
}

func (a *Answers) bodyBytes() int {
	text := a.Prompts.LongestCharacters * bytesPerCharacter[a.Prompts.Writing] * bodyHeadroom
	return min(max(text, minBodyBytes), maxBodyBytes)
}

// pieceTokens is the size of a cache piece: no larger than the longest layer, so that it fits
// between the ends of layers.
func (a *Answers) pieceTokens() int {
	longest := 0
	for _, k := range a.Prompts.Kinds {
		for _, l := range k.Layers {
			longest = max(longest, l.Characters)
		}
	}
	tokens := float64(longest*bytesPerCharacter[a.Prompts.Writing]) / bytesPerToken[a.Prompts.Writing]
	return min(max(int(math.Ceil(tokens)), minPieceTokens), fullPieceTokens)
}

func minServing(m Model) int { return max(1, int(float64(m.Machines)*minServingShare)) }
