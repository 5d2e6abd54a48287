package configsync

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"strconv"
	"strings"

	"cassiawall.example/cassiawall/pkg/fault"
)

// At the target size, a configuration document has about 5 MB, more than the object API stores in
// one object, and changes 1,500 times a day. It is therefore split into parts by content-defined
// chunking: a small change alters one or two parts, and only those are written and fetched.
const (
	// minPartBytes and maxPartBytes bound the length of a part; the last one can be shorter.
	minPartBytes = 16 << 10
	maxPartBytes = 256 << 10
	// boundaryMask gives an average distance of 64 KB between the minimum length of a part and its
	// boundary.
	boundaryMask = 1<<16 - 1
	// MaxUnsplitBytes is the size up to which a document is stored and sent without splitting it.
	MaxUnsplitBytes = 64 << 10
)

// PartID identifies a part, or a whole document, by the SHA-256 hash of its content.
type PartID [sha256.Size]byte

// String returns the ID in hexadecimal.
func (id PartID) String() string { return hex.EncodeToString(id[:]) }

// Short returns the first 8 bytes of the ID, for use in messages. A collision is detected by the
// digest of the whole document.
func (id PartID) Short() uint64 { return binary.BigEndian.Uint64(id[:8]) }

// Part is a contiguous section of a document.
type Part struct {
	ID      PartID
	Content []byte
}

// IDOf returns the ID of content.
func IDOf(content []byte) PartID { return sha256.Sum256(content) }

// Split splits a document into parts. Sections that two documents have in common give equal parts,
// except next to a difference. The parts share memory with the document.
func Split(document []byte) []Part {
	var parts []Part
	for len(document) > 0 {
		n := nextBoundary(document)
		parts = append(parts, Part{ID: IDOf(document[:n]), Content: document[:n]})
		document = document[n:]
	}
	return parts
}

// nextBoundary returns the length of the first part of document. The boundary is where a gear hash
// over about the last 64 bytes matches boundaryMask, so that it does not depend on earlier content.
func nextBoundary(document []byte) int {
	if len(document) <= minPartBytes {
		return len(document)
	}
	var hash uint64
	end := min(len(document), maxPartBytes)
	for i := minPartBytes - 64; i < end; i++ {
		hash = hash<<1 + gearTable[document[i]]
		if i >= minPartBytes && hash>>48&boundaryMask == 0 {
			return i + 1
		}
	}
	return end
}

// gearTable holds a fixed pseudo-random number for each byte value (SplitMix64 with seed 0).
var gearTable = func() [256]uint64 {
	var table [256]uint64
	state := uint64(0)
	for i := range table {
		state += 0x9e3779b97f4a7c15
		z := state
		z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
		z = (z ^ z>>27) * 0x94d049bb133111eb
		table[i] = z ^ z>>31
	}
	return table
}()

// manifestHeader is the start of the object that holds a manifest. No valid configuration document
// starts with it.
const manifestHeader = "cassiawall-configuration-parts 1 "

// Manifest lists the parts of a document in order.
type Manifest struct {
	// Digest is the ID of the whole document.
	Digest PartID
	Parts  []PartID
}

// NewManifest returns the manifest of a document and its parts.
func NewManifest(document []byte) (Manifest, []Part) {
	parts := Split(document)
	m := Manifest{Digest: IDOf(document)}
	for _, p := range parts {
		m.Parts = append(m.Parts, p.ID)
	}
	return m, parts
}

// Encode returns the content of the object that holds the manifest.
func (m Manifest) Encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s%d %s\n", manifestHeader, len(m.Parts), m.Digest)
	for _, id := range m.Parts {
		fmt.Fprintln(&b, id)
	}
	return b.Bytes()
}

// DecodeManifest decodes an object that holds a manifest or a whole document. It reports false for a
// whole document. The error is of kind fault.InvalidConfiguration.
func DecodeManifest(value []byte) (Manifest, bool, error) {
	if !bytes.HasPrefix(value, []byte(manifestHeader)) {
		return Manifest{}, false, nil
	}
	lines := strings.Split(strings.TrimSuffix(string(value), "\n"), "\n")
	count, digest, _ := strings.Cut(strings.TrimPrefix(lines[0], manifestHeader), " ")
	n, err := strconv.Atoi(count)
	if err != nil || n != len(lines)-1 {
		return Manifest{}, true, fault.New(fault.InvalidConfiguration, "configuration manifest lists %d parts but its header announces %q", len(lines)-1, count)
	}
	m := Manifest{}
	if m.Digest, err = parseID(digest); err != nil {
		return Manifest{}, true, err
	}
	for _, line := range lines[1:] {
		id, err := parseID(line)
		if err != nil {
			return Manifest{}, true, err
		}
		m.Parts = append(m.Parts, id)
	}
	return m, true, nil
}

func parseID(text string) (PartID, error) {
	var id PartID
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(id) {
		return id, fault.New(fault.InvalidConfiguration, "configuration manifest has an invalid part ID of %d characters; want %d hexadecimal digits", len(text), 2*len(id))
	}
	copy(id[:], raw)
	return id, nil
}

// Compress returns a part's content in the form in which it is stored and sent, gzip.
func Compress(content []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// Writes to a buffer do not fail.
	_, _ = w.Write(content)
	_ = w.Close()
	return b.Bytes()
}

// Decompress reverses Compress. It rejects data that decompress to more than the maximum length of a
// part. The error is of kind fault.InvalidConfiguration.
func Decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fault.Wrap(err, fault.InvalidConfiguration, "cannot decompress a part of the configuration")
	}
	content, err := io.ReadAll(io.LimitReader(r, maxPartBytes+1))
	if err != nil || len(content) > maxPartBytes {
		return nil, fault.New(fault.InvalidConfiguration, "part of the configuration is not valid gzip data or is longer than %d bytes", maxPartBytes)
	}
	return content, nil
}

// PartObjectName returns the name of the object that holds a part.
func PartObjectName(id PartID) string { return "config/part/" + id.String() }

// Join concatenates the contents of the parts in order and verifies the digest of the document. The
// error is of kind fault.InvalidConfiguration.
func Join(digest PartID, parts [][]byte) ([]byte, error) {
	document := bytes.Join(parts, nil)
	if IDOf(document) != digest {
		return nil, fault.New(fault.InvalidConfiguration, "the %d parts of the configuration do not match the digest %s of the document", len(parts), digest)
	}
	return document, nil
}
