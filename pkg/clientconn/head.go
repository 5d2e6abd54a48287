package clientconn

import "bytes"

// headCounter finds the lines and the end of a request's head.
type headCounter struct {
	// bytes and lines are those of the head so far.
	bytes, lines int
	// lineBytes is the length of the current line without a final CR, which cr states.
	lineBytes int
	cr        bool
	// done is set after the empty line that ends the head.
	done bool
	// following is the number of lines that have arrived after the head: of its body, or of further requests.
	following int
}

// add counts received bytes.
func (h *headCounter) add(p []byte) {
	for len(p) > 0 && !h.done {
		end := bytes.IndexByte(p, '\n')
		if end < 0 {
			h.bytes += len(p)
			h.addToLine(p)
			return
		}
		h.bytes += end + 1
		h.addToLine(p[:end])
		p = p[end+1:]
		// Empty lines before the request line do not end the head.
		h.done = h.lineBytes == 0 && h.lines > 0
		if h.lineBytes > 0 {
			h.lines++
		}
		h.lineBytes, h.cr = 0, false
	}
	h.following += bytes.Count(p, lineFeed)
}

var lineFeed = []byte{'\n'}

func (h *headCounter) addToLine(p []byte) {
	if len(p) == 0 {
		return
	}
	if h.cr {
		h.lineBytes++
	}
	h.lineBytes += len(p)
	if h.cr = p[len(p)-1] == '\r'; h.cr {
		h.lineBytes--
	}
}

// next starts the next head. It returns the number of lines that have arrived of it: without a body, all that followed the
// last head. Those of a body are counted too, since they cannot be told apart; a read has at most 4 KB.
func (h *headCounter) next() (lines int) {
	lines = h.following
	*h = headCounter{}
	return lines
}
