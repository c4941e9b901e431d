package routing

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Numbers are assigned again in a later era.
func TestRevisionsOfALaterEraComeAfter(t *testing.T) {
	low, high, later := Revision{0, 7}, Revision{0, 900}, Revision{1, 3}
	require.True(t, high.After(low))
	require.True(t, later.After(high))
	require.False(t, high.After(later))
	require.False(t, low.After(low))
	require.Equal(t, later, Latest(high, later))
	require.Equal(t, later, Latest(later, high))
}

// Hosts of an older version, without support for eras, send plain numbers and must be understood during a rolling
// upgrade. They need not understand a later era, which they cannot know.
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
