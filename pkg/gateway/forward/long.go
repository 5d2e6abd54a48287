package forward

// minLongOutputTokens is the output length in tokens from which a request counts as long. An engine
// takes about half a second to decode it.
const minLongOutputTokens = 100

// maxPromptPerOutput is the ratio of prompt to output tokens from which the prefill delays the other
// requests of an engine more than the decoding occupies it.
const maxPromptPerOutput = 10

// isDecodeHeavy reports whether the request is expected to occupy an engine for long, and with decoding
// rather than with the prefill of its prompt.
func (a *activeRequest) isDecodeHeavy() bool {
	expectedOutputTokens := a.request.ExpectedOutputTokens
	if expectedOutputTokens == 0 {
		expectedOutputTokens = a.request.MaxOutputTokens
	}
	return expectedOutputTokens >= minLongOutputTokens && a.request.PromptTokens < maxPromptPerOutput*expectedOutputTokens
}
