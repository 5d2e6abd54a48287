package questionnaire

import (
	"math"
	"time"
)

// Rules that derive settings from answers. The results are starting points, to be adjusted by means of
// the burn report once there is traffic.
const (
	// largeWeight is the weight of a large customer; a small one has a weight of 1.
	largeWeight = 4
	// burstHeadroom is the ratio of a customer's request limit to its share of the peak rate of all
	// customers. It leaves room for peaks of a single customer.
	burstHeadroom = 3
	// minServingShare is the share of a model's machines that keep serving during an update.
	minServingShare = 2.0 / 3
	// bodyHeadroom is the ratio of the body limit to the size of the text, for JSON escapes.
	bodyHeadroom = 2
	minBodyBytes = 64 << 10
	maxBodyBytes = 64 << 20
	// maxPieceTokens and minPieceTokens are the largest and the smallest size of a cache piece.
	maxPieceTokens = 4000
	minPieceTokens = 100
	// readAlongTokenGap and unattendedTokenGap are the objectives for the time between tokens if
	// people read the text while it appears, and if they do not.
	readAlongTokenGap  = 75 * time.Millisecond
	unattendedTokenGap = 250 * time.Millisecond
)

// bytesPerCharacter is the size of a character in UTF-8 by kind of writing.
var bytesPerCharacter = map[string]int{"latin": 1, "cyrillic": 2, "other": 3}

// bytesPerToken is a rough estimate for common tokenizers. A wrong value affects the size of cache
// pieces and the predicted prefill time, but not the responses.
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

// concurrencyLimit is the product of the request limit and the time that a request takes (Little's
// law).
func (a *Answers) concurrencyLimit(c Customer) int {
	inProgress := a.Callers.FeelsSlowAfter.AsDuration() + a.Callers.AnswerTakes.AsDuration()
	return int(math.Ceil(a.requestLimit(c) * inProgress.Seconds()))
}

func (a *Answers) ttft() time.Duration {
	return a.Callers.FeelsSlowAfter.AsDuration() - callerRTT[a.Callers.From]
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

// pieceTokens is the size of a cache piece in tokens. It is not larger than the longest layer (but
// at least minPieceTokens), because a piece is cached as a unit and a larger one would extend beyond the
// shared text.
func (a *Answers) pieceTokens() int {
	longest := 0
	for _, k := range a.Prompts.Kinds {
		for _, l := range k.Layers {
			longest = max(longest, l.Characters)
		}
	}
	tokens := float64(longest*bytesPerCharacter[a.Prompts.Writing]) / bytesPerToken[a.Prompts.Writing]
	return min(max(int(math.Ceil(tokens)), minPieceTokens), maxPieceTokens)
}

func minServing(m Model) int { return max(1, int(float64(m.Machines)*minServingShare)) }
