package streams

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var v1 = Origin{Service: "models", Version: "v1"}

// Guards against a stream that is forgotten while its caller may still take it up, and against records that stay.
func TestRecordsLastForALifetime(t *testing.T) {
	l := NewLedger()
	for at := time.Duration(0); at < 3*Lifetime; at += Lifetime / 7 {
		id := NewID("w", at.String())
		l.Add(at, id, Record{Origin: v1})
		r, ok := l.Get(at+Lifetime-1, id)
		require.True(t, ok)
		require.Equal(t, v1, r.Origin)
	}
	require.LessOrEqual(t, l.Len(), 14)
	_, ok := l.Get(9*Lifetime, NewID("w", (2*Lifetime).String()))
	require.False(t, ok)
	require.Zero(t, l.Len())
}

// Guards against one workspace that learns of, or changes, what another one's streams are bound to.
func TestWorkspacesHaveTheirOwnStreams(t *testing.T) {
	require.NotEqual(t, NewID("a", "bc"), NewID("ab", "c"))
	require.NotEqual(t, NewID("a", "x"), NewID("b", "x"))
	require.Zero(t, NewID("a", ""))
	require.NotZero(t, NewID("", strings.Repeat("x", 1<<20)))
}

// Guards against a stream that goes on at one of two versions when its caller has used an attempt's ID for two streams.
func TestContradictingRecordsAreAmbiguous(t *testing.T) {
	l := NewLedger()
	id := NewID("w", "a")
	l.Add(0, id, Record{Origin: v1})
	l.Add(1, id, Record{Origin: v1})
	r, _ := l.Get(1, id)
	require.False(t, r.Ambiguous)
	l.Add(Lifetime+2, id, Record{Origin: Origin{Service: "models", Version: "v2"}})
	r, _ = l.Get(Lifetime+2, id)
	require.True(t, r.Ambiguous)
}

// Guards against callers that fill a host's memory with names of streams.
func TestRecordsAreBoundedAndCounted(t *testing.T) {
	l := NewLedger()
	for i := range 3 * maxRecords {
		l.Add(0, ID(i+1), Record{Origin: v1})
	}
	require.Equal(t, maxRecords, l.Len())
	require.Equal(t, 2*maxRecords, l.Dropped())
}
