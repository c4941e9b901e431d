package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/quarantine/quarantinepb"
)

// Anybody can send a message between hosts. What it tells of requests is bounded and can't end the host.
func TestWordsAreChecked(t *testing.T) {
	l := NewLedger()
	var many []*quarantinepb.Suspect
	for i := range 10 * maxAll {
		d := digestOf(fmt.Sprint(i))
		many = append(many, &quarantinepb.Suspect{Digest: d[:], Ends: []*quarantinepb.BackendEnd{{Backend: 1, AgeMs: 1}}})
	}
	require.True(t, l.Hear(time.Second, many))
	require.Len(t, l.Cases(), maxAll)
	d := digestOf("deadly")
	require.False(t, l.Hear(time.Second, []*quarantinepb.Suspect{{Digest: []byte("short"), Ends: []*quarantinepb.BackendEnd{{}}}, {},
		{Digest: d[:], Workspace: string(make([]byte, maxName+1)), Ends: []*quarantinepb.BackendEnd{{}}},
		{Digest: d[:], ClearedMs: 1 << 31}, {Digest: d[:], Ends: []*quarantinepb.BackendEnd{{AgeMs: 1<<32 - 1}}}}))
	require.Len(t, l.Cases(), maxAll)
}

// A host tells what it saw; the one that hears it comes to the same verdict, on a clock of its own, and passes on what is news
// to it, once.
func TestWordsCarryTheVerdict(t *testing.T) {
	a, b := NewLedger(), NewLedger()
	for i := range uint32(3) {
		ended(a, time.Hour+time.Duration(i)*time.Second, i, "deadly")
	}
	now := time.Hour + 3*time.Second
	require.True(t, b.Hear(time.Second, a.OwnNews(now)))
	require.True(t, blamed(b, "deadly"))
	require.Equal(t, -2*time.Second, b.Blamed(digestOf("deadly")).Ends[0].At)
	require.Empty(t, b.OwnNews(time.Second))
	require.NotEmpty(t, b.news(time.Second))
	require.False(t, b.Hear(2*time.Second, a.OwnNews(now+time.Second)))
	require.Empty(t, b.news(time.Second+tellFor+1))
	require.NotEmpty(t, b.All(time.Hour))
	require.True(t, b.Ran(5*time.Second, digestOf("deadly")))
	require.True(t, a.Hear(now+4*time.Second, b.OwnNews(5*time.Second)))
	require.False(t, blamed(a, "deadly"))
}

// A backend server that keeps its name ends, starts again, and ends again some seconds later: two ends. Two hosts that tell of one
// end a moment apart mean the same.
func TestEndsOfOneName(t *testing.T) {
	l := NewLedgerOfNames(2 * time.Second)
	for i := range 4 {
		ended(l, time.Second+time.Duration(i)*400*time.Millisecond, 1, "deadly")
	}
	ended(l, 5*time.Second, 1, "deadly", "beside")
	require.False(t, blamed(l, "deadly"))
	ended(l, 9*time.Second, 1, "deadly")
	require.True(t, blamed(l, "deadly"))
}
