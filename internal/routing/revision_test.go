package routing

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Numbers are given out again in a later era.
func TestRevisionsOfALaterEraComeAfter(t *testing.T) {
	low, high, later := Revision{0, 7}, Revision{0, 900}, Revision{1, 3}
	require.True(t, high.After(low))
	require.True(t, later.After(high))
	require.False(t, high.After(later))
	require.False(t, low.After(low))
	require.Equal(t, later, Latest(high, later))
	require.Equal(t, later, Latest(later, high))
}

// Hosts of a version that knows no eras say plain numbers, and must be understood while hosts are replaced one after the other;
// what they cannot know, a later era, they need not understand.
func TestRevisionsBetweenVersions(t *testing.T) {
	for text, want := range map[string]Revision{"7": {0, 7}, "[3,7]": {3, 7}} {
		var r Revision
		require.NoError(t, json.Unmarshal([]byte(text), &r))
		require.Equal(t, want, r)
		data, err := json.Marshal(r)
		require.NoError(t, err)
		require.Equal(t, text, string(data))
	}
	for _, text := range []string{`"x"`, "-1", "{}", "[1]x"} {
		require.Error(t, json.Unmarshal([]byte(text), &Revision{}), text)
	}
}
