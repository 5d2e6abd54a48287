package routes

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against stores whose memory and links stay unused because all prefixes are kept in one of them, and
// against prefixes that move between the stores when one is added.
func TestPrefixesAreSpreadOverStores(t *testing.T) {
	config := func(stores int) *Config {
		c := &Config{Services: map[string]Service{"engines": {HasEngines: true}}}
		for i := range stores {
			name := fmt.Sprint("store", i)
			c.Services[name] = Service{Name: name, CacheStore: &CacheStore{Address: name, DataCentre: fmt.Sprint("dc", i)}}
		}
		return c.Build()
	}
	assert.Nil(t, config(0).CacheStoreFor(1, "dc0"))
	assert.Equal(t, "store1", config(3).CacheStoreFor(1, "dc1").Address)
	six, seven := config(6), config(7)
	const prefixes = 6000
	counts, moved := map[string]int{}, 0
	for key := range uint64(prefixes) {
		store := six.CacheStoreFor(key, "dc without a store")
		counts[store.Address]++
		if other := seven.CacheStoreFor(key, "dc without a store"); other.Address != store.Address {
			assert.Equal(t, "store6", other.Address)
			moved++
		}
	}
	assert.Len(t, counts, 6)
	for _, n := range counts {
		assert.InDelta(t, prefixes/6, n, 150)
	}
	assert.InDelta(t, prefixes/7, moved, 150)
}
