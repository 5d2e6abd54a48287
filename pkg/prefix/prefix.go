// Package prefix splits prompts into pieces and computes the hashes that identify prefixes of
// prompts. A piece is a run of tokens that is cached as a unit (a KV block elsewhere). The prefix
// hash of a piece is chained: it covers the piece and all text before it. The package holds no state.
package prefix

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Salt is the cache salt. It separates hashes that must never match: a prefix of one workspace,
// model, weights version or adapter is not a prefix of another.
type Salt struct {
	Workspace      string
	Model          string
	WeightsVersion string
	Adapter        string
}

// Segment is the text of one level of a prompt.
type Segment struct {
	Level string
	// Shared is set if other callers use the same text.
	Shared bool
	Text   string
}

// Geometry is the size of the pieces of a model's cache.
type Geometry struct {
	PieceTokens int
	// BytesPerToken is the estimated number of bytes of text per token.
	BytesPerToken float64
}

// Piece is one cacheable part of a prompt.
type Piece struct {
	// PrefixHash identifies the prompt up to and including this piece. Hashes may collide and then
	// misroute a request; they never authorize the use of cached data.
	PrefixHash uint64
	Tokens     int
	Level      string
	Shared     bool
	// Start and End are byte offsets into the concatenated text of all segments.
	Start, End int
}

// Split splits the segments into pieces at level boundaries and every PieceTokens tokens.
func Split(salt Salt, geometry Geometry, segments []Segment) []Piece {
	hash := saltHash(salt)
	size := max(1, int(float64(geometry.PieceTokens)*geometry.BytesPerToken))
	pieces := make([]Piece, 0, len(segments)+4)
	offset := 0
	for _, segment := range segments {
		for start := 0; start < len(segment.Text); start += size {
			end := min(start+size, len(segment.Text))
			hash = extendHash(hash, segment.Level, segment.Text[start:end])
			pieces = append(pieces, Piece{
				PrefixHash: hash,
				Tokens:     estimateTokens(end-start, geometry.BytesPerToken),
				Level:      segment.Level,
				Shared:     segment.Shared,
				Start:      offset + start,
				End:        offset + end,
			})
		}
		offset += len(segment.Text)
	}
	return pieces
}

// Hashes returns the prefix hashes of pieces.
func Hashes(pieces []Piece) []uint64 {
	hashes := make([]uint64, len(pieces))
	for i, p := range pieces {
		hashes[i] = p.PrefixHash
	}
	return hashes
}

// Tokens returns the sum of the pieces' tokens.
func Tokens(pieces []Piece) int {
	sum := 0
	for _, p := range pieces {
		sum += p.Tokens
	}
	return sum
}

// ContentKey is the cryptographic identity of a prefix. Everything that copies cached data between
// engines uses it instead of the prefix hash.
type ContentKey [sha256.Size]byte

// ContentKeys returns the chained content keys of pieces of text.
func ContentKeys(salt Salt, text string, pieces []Piece) []ContentKey {
	keys := make([]ContentKey, len(pieces))
	previous := sha256.Sum256(appendSalt(nil, salt))
	for i, p := range pieces {
		h := sha256.New()
		h.Write(previous[:])
		h.Write(appendField(nil, p.Level))
		h.Write([]byte(text[p.Start:p.End]))
		h.Sum(previous[:0])
		keys[i] = previous
	}
	return keys
}

func saltHash(salt Salt) uint64 { return xxhash.Sum64(appendSalt(nil, salt)) }

// extendHash returns the prefix hash of a piece from the one of the piece before it.
func extendHash(previous uint64, level, text string) uint64 {
	var d xxhash.Digest
	d.Reset()
	var prefix [8]byte
	binary.LittleEndian.PutUint64(prefix[:], previous)
	_, _ = d.Write(prefix[:])
	_, _ = d.Write(appendField(nil, level))
	_, _ = d.WriteString(text)
	return d.Sum64()
}

// appendSalt length-prefixes each field, so that no two salts have the same encoding.
func appendSalt(b []byte, salt Salt) []byte {
	b = appendField(b, salt.Workspace)
	b = appendField(b, salt.Model)
	b = appendField(b, salt.WeightsVersion)
	return appendField(b, salt.Adapter)
}

func appendField(b []byte, field string) []byte {
	b = binary.AppendUvarint(b, uint64(len(field)))
	return append(b, field...)
}

func estimateTokens(bytes int, bytesPerToken float64) int {
	return max(1, int(float64(bytes)/bytesPerToken+0.5))
}
