package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/quarantine/quarantinepb"
)

// Messages between hosts aren't trusted: their size is bounded and malformed entries are skipped without a panic.
func TestMessagesAreChecked(t *testing.T) {
	l := NewLedger()
	var many []*quarantinepb.Suspect
	for i := range 10 * maxFull {
		d := digestOf(fmt.Sprint(i))
		many = append(many, &quarantinepb.Suspect{Digest: d[:], Ends: []*quarantinepb.BackendEnd{{Backend: 1, AgeMs: 1}}})
	}
	require.True(t, l.Merge(time.Second, many))
	require.Len(t, l.Cases(), maxFull)
	d := digestOf("deadly")
	require.False(t, l.Merge(time.Second, []*quarantinepb.Suspect{{Digest: []byte("short"), Ends: []*quarantinepb.BackendEnd{{}}}, {},
		{Digest: d[:], Workspace: string(make([]byte, maxWorkspaceName+1)), Ends: []*quarantinepb.BackendEnd{{}}},
		{Digest: d[:], ClearedMs: 1 << 31}, {Digest: d[:], Ends: []*quarantinepb.BackendEnd{{AgeMs: 1<<32 - 1}}}}))
	require.Len(t, l.Cases(), maxFull)
}

// A host sends what it observed. The receiver reaches the same verdict on its own clock, and forwards what is new to it
// once.
func TestMessagesLeadToTheSameVerdict(t *testing.T) {
	a, b := NewLedger(), NewLedger()
	for i := range uint32(3) {
		ended(a, time.Hour+time.Duration(i)*time.Second, i, "deadly")
	}
	now := time.Hour + 3*time.Second
	require.True(t, b.Merge(time.Second, a.OwnChanges(now)))
	require.True(t, blamed(b, "deadly"))
	require.Equal(t, -2*time.Second, b.Blamed(digestOf("deadly")).Ends[0].At)
	require.Empty(t, b.OwnChanges(time.Second))
	require.NotEmpty(t, b.changes(time.Second))
	require.False(t, b.Merge(2*time.Second, a.OwnChanges(now+time.Second)))
	require.Empty(t, b.changes(time.Second+announceDuration+1))
	require.NotEmpty(t, b.Full(time.Hour))
	require.True(t, b.ObserveSuccess(5*time.Second, digestOf("deadly"), 5*time.Second))
	require.True(t, a.Merge(now+4*time.Second, b.OwnChanges(5*time.Second)))
	require.False(t, blamed(a, "deadly"))
}

// A backend server that keeps its name ends, restarts, and ends again some seconds later: two ends. Reports of two
// hosts a moment apart mean the same end.
func TestEndsOfOneName(t *testing.T) {
	l := NewLedgerForReusedNames(2 * time.Second)
	for i := range 4 {
		ended(l, time.Second+time.Duration(i)*400*time.Millisecond, 1, "deadly")
	}
	ended(l, 5*time.Second, 1, "deadly", "beside")
	require.False(t, blamed(l, "deadly"))
	ended(l, 9*time.Second, 1, "deadly")
	require.True(t, blamed(l, "deadly"))
}
