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

// A configuration document at the target size has about 5 MB, more than the object API stores in
// one object, and changes 1,500 times a day. It is therefore split into parts where its content
// says so: a change alters one or two parts, and only those are written and fetched.
const (
	minPartBytes = 16 << 10
	maxPartBytes = 256 << 10
	// boundaryMask makes a boundary follow on average every 64 KB after the minimum.
	boundaryMask = 1<<16 - 1
	// MaxUnsplitBytes is the size up to which a document is stored and sent in one piece.
	MaxUnsplitBytes = 64 << 10
)

// PartID names a part by its content.
type PartID [sha256.Size]byte

// String returns the id in hex.
func (id PartID) String() string { return hex.EncodeToString(id[:]) }

// Short returns the front of the id. Messages use it; a collision shows in the digest of the
// whole document.
func (id PartID) Short() uint64 { return binary.BigEndian.Uint64(id[:8]) }

// Part is a piece of a document.
type Part struct {
	ID      PartID
	Content []byte
}

// IDOf returns the id of a content.
func IDOf(content []byte) PartID { return sha256.Sum256(content) }

// Split cuts a document into parts. Equal stretches of two documents give equal parts, apart
// from those next to a difference. The parts share memory with the document.
func Split(document []byte) []Part {
	var parts []Part
	for len(document) > 0 {
		n := nextBoundary(document)
		parts = append(parts, Part{ID: IDOf(document[:n]), Content: document[:n]})
		document = document[n:]
	}
	return parts
}

// boundary returns the length of the first part. A gear hash over about the last 64 bytes
// decides, so that a boundary depends on nothing before them.
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

// gear holds a fixed pseudo-random number for each byte (SplitMix64 from seed 0).
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

// manifestHeader starts the object of a document that is stored in parts. No valid document
// starts with it.
const manifestHeader = "cassiawall-configuration-parts 1 "

// Manifest lists the parts of a document.
type Manifest struct {
	// Digest is the id of the whole document.
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

// Encode returns the content of the manifest's object.
func (m Manifest) Encode() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s%d %s\n", manifestHeader, len(m.Parts), m.Digest)
	for _, id := range m.Parts {
		fmt.Fprintln(&b, id)
	}
	return b.Bytes()
}

// DecodeManifest reads an object. It reports false if the object is a whole document. The error
// is of kind fault.InvalidConfiguration.
func DecodeManifest(value []byte) (Manifest, bool, error) {
	if !bytes.HasPrefix(value, []byte(manifestHeader)) {
		return Manifest{}, false, nil
	}
	lines := strings.Split(strings.TrimSuffix(string(value), "\n"), "\n")
	count, digest, _ := strings.Cut(strings.TrimPrefix(lines[0], manifestHeader), " ")
	n, err := strconv.Atoi(count)
	if err != nil || n != len(lines)-1 {
		return Manifest{}, true, fault.New(fault.InvalidConfiguration, "manifest lists %d parts but announces %q", len(lines)-1, count)
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
		return id, fault.New(fault.InvalidConfiguration, "manifest has a part id of %d characters", len(text))
	}
	copy(id[:], raw)
	return id, nil
}

// Compress returns a part's content as it is stored and sent.
func Compress(content []byte) []byte {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// Writes to a buffer do not fail.
	_, _ = w.Write(content)
	_ = w.Close()
	return b.Bytes()
}

// Decompress reverses Compress. It refuses contents longer than a part. The error is of kind
// fault.InvalidConfiguration.
func Decompress(data []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fault.Wrap(err, fault.InvalidConfiguration, "part of the configuration does not decompress")
	}
	content, err := io.ReadAll(io.LimitReader(r, maxPartBytes+1))
	if err != nil || len(content) > maxPartBytes {
		return nil, fault.New(fault.InvalidConfiguration, "part of the configuration does not decompress or is too long")
	}
	return content, nil
}

// PartObjectName returns the name of the object that holds a part.
func PartObjectName(id PartID) string { return "config/part/" + id.String() }

// Join puts a document together from its parts in order and checks it against the digest. The
// error is of kind fault.InvalidConfiguration.
func Join(digest PartID, parts [][]byte) ([]byte, error) {
	document := bytes.Join(parts, nil)
	if IDOf(document) != digest {
		return nil, fault.New(fault.InvalidConfiguration, "the parts of the configuration do not give the announced document")
	}
	return document, nil
}
