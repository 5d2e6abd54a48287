// Package rendezvous implements highest-random-weight hashing: all nodes with the same candidates put
// them into the same order for a key, without exchanging messages.
package rendezvous

import "github.com/cespare/xxhash/v2"

// Hash returns the hash of a candidate's name or of a key, for use with Score.
func Hash(name string) uint64 { return xxhash.Sum64String(name) }

// Score returns the weight of a candidate for a key. The candidate with the highest score is the
// key's first choice.
func Score(nameHash, key uint64) uint64 {
	h := nameHash ^ (key * 0x9e3779b97f4a7c15)
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// Best returns the name with the highest score for key, or "" for no names. Equal scores are
// decided by the smaller name.
func Best(key string, names []string) string {
	keyHash := Hash(key)
	best := ""
	var bestScore uint64
	for _, name := range names {
		score := Score(Hash(name), keyHash)
		if best == "" || score > bestScore || score == bestScore && name < best {
			best = name
			bestScore = score
		}
	}
	return best
}
