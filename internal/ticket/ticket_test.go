package ticket

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Each claim is one way in which a retry can reach the ticket's home. Any other verdict would run a
// request twice or give the caller a false answer.
func TestClaims(t *testing.T) {
	const start = time.Minute
	h := NewHome("a1", 5)
	issued := h.Issue(start, "n")
	again, err := Parse(issued.String())
	require.NoError(t, err)
	require.Equal(t, issued, again)
	require.Equal(t, Granted, h.Claim(start, issued, "w", "a1/r1"))
	require.Equal(t, Granted, h.Claim(start, issued, "w", "a1/r1"), "the same holder repeats its claim after a lost answer")
	require.Equal(t, InProgress, h.Claim(start, issued, "w", "a2/r2"), "a retry at another host")
	h.Settle(issued, "w", "a2/r2", true)
	require.Equal(t, InProgress, h.Claim(start, issued, "w", "a2/r2"), "only the holder can settle")
	h.Settle(issued, "w", "a1/r1", true)
	require.Equal(t, Granted, h.Claim(start, issued, "w", "a2/r2"), "proved not run: the ticket can be claimed again")
	h.Settle(issued, "w", "a2/r2", false)
	require.Equal(t, Done, h.Claim(start, issued, "w", "a3/r3"))
	require.Equal(t, Done, h.Claim(start, issued, "w", "a2/r2"))
	require.Equal(t, Expired, h.Claim(start+TTL+time.Second, issued, "w", "a3/r3"))
	require.Zero(t, h.Len(), "expired claims are dropped")
	require.Equal(t, Expired, h.Claim(start, h.Issue(2*start, "n"), "w", "a1/r1"), "issued in the future of this clock")
	replaced := NewHome("a1", 6)
	require.Equal(t, OtherIncarnation, replaced.Claim(start, issued, "w", "a1/r1"), "the home was restarted and has lost its claims")
	require.Equal(t, OtherIncarnation, NewHome("a2", 5).Claim(start, issued, "w", "a1/r1"))
}

// A workspace that knows the ticket of another must not be able to use it up.
func TestTicketsOfWorkspacesAreApart(t *testing.T) {
	h := NewHome("a1", 5)
	issued := h.Issue(0, "n")
	require.Equal(t, Granted, h.Claim(0, issued, "stranger", "a1/r1"))
	require.Equal(t, Granted, h.Claim(0, issued, "owner", "a1/r2"))
}

func FuzzParse(f *testing.F) {
	f.Add(NewHome("a1", 5).Issue(time.Second, "nonce").String())
	f.Add("fs1_61_5_zzzzzzzzzzzz_x")
	f.Fuzz(func(t *testing.T, s string) {
		parsed, err := Parse(s)
		if err != nil {
			return
		}
		again, err := Parse(parsed.String())
		require.NoError(t, err)
		require.Equal(t, parsed, again)
	})
}
