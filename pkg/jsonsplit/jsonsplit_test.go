package jsonsplit

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against lists of which one odd entry hides the others.
func TestArrayKeepsTheEntriesBesideAnOddOne(t *testing.T) {
	deep := strings.Repeat("[", 50000) + strings.Repeat("]", 50000)
	elements, err := Array([]byte(` [ {"a":"]\"}"} , ` + deep + `,1e999, "x" ,null,[]]`))
	require.NoError(t, err)
	require.Len(t, elements, 6)
	assert.JSONEq(t, `{"a":"]\"}"}`, string(elements[0]))
	assert.Len(t, elements[1], len(deep))
	assert.Equal(t, "1e999", string(elements[2]))
	fields, err := Object([]byte(`{"spec":` + deep + `,"n" : 3}`))
	require.NoError(t, err)
	assert.Equal(t, "3", string(fields["n"]))
	for _, malformed := range []string{``, `[`, `[1`, `[1,`, `[,]`, `["x`, `[[]`, `{}`, `[1 2]`} {
		_, err := Array([]byte(malformed))
		assert.Error(t, err, malformed)
	}
	empty, err := Array([]byte(`null`))
	assert.NoError(t, err)
	assert.Empty(t, empty)
}

// Guards against splits that differ from those of package encoding/json, and against panics.
func FuzzSplit(f *testing.F) {
	for _, seed := range []string{`[1,{"a":[2]},"x\"]"]`, `{"a":1,"a":{"b":[]}}`, `[`, `null`, `{"a"}`, `[1,]`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		elements, errArray := Array(data)
		fields, errObject := Object(data)
		if !json.Valid(data) {
			return
		}
		var wantElements []json.RawMessage
		if json.Unmarshal(data, &wantElements) == nil {
			assert.NoError(t, errArray)
			assert.Equal(t, len(wantElements), len(elements))
			for i := range elements {
				assert.Equal(t, string(wantElements[i]), string(elements[i]))
			}
		}
		var wantFields map[string]json.RawMessage
		if json.Unmarshal(data, &wantFields) == nil {
			assert.NoError(t, errObject)
			assert.True(t, reflect.DeepEqual(wantFields, fields), "%s", data)
		}
	})
}
