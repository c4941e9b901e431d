package ticket

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Each line is one way in which a second try can meet the ticket's home. Work would be doubled, or
// a caller told something false, if any verdict were another.
func TestClaims(t *testing.T) {
	const start = time.Minute
	h := NewHome("a1", 5)
	issued := h.Issue(start, "n")
	again, err := Parse(issued.String())
	require.NoError(t, err)
	require.Equal(t, issued, again)
	require.Equal(t, Yours, h.Claim(start, issued, "w", "a1/r1"))
	require.Equal(t, Yours, h.Claim(start, issued, "w", "a1/r1"), "the answer was lost and is asked for again")
	require.Equal(t, InProgress, h.Claim(start, issued, "w", "a2/r2"), "a second try elsewhere")
	h.Settle(issued, "w", "a2/r2", true)
	require.Equal(t, InProgress, h.Claim(start, issued, "w", "a2/r2"), "only the holder can settle")
	h.Settle(issued, "w", "a1/r1", true)
	require.Equal(t, Yours, h.Claim(start, issued, "w", "a2/r2"), "proved not run: the ticket is free again")
	h.Settle(issued, "w", "a2/r2", false)
	require.Equal(t, Done, h.Claim(start, issued, "w", "a3/r3"))
	require.Equal(t, Done, h.Claim(start, issued, "w", "a2/r2"))
	require.Equal(t, Expired, h.Claim(start+TTL+time.Second, issued, "w", "a3/r3"))
	require.Zero(t, h.Len(), "an expired claim costs no memory")
	require.Equal(t, Expired, h.Claim(start, h.Issue(2*start, "n"), "w", "a1/r1"), "a time that this clock has not shown")
	replaced := NewHome("a1", 6)
	require.Equal(t, OtherIncarnation, replaced.Claim(start, issued, "w", "a1/r1"), "the home has lost its memory")
	require.Equal(t, OtherIncarnation, NewHome("a2", 5).Claim(start, issued, "w", "a1/r1"))
}

// A workspace that has seen another's ticket must not be able to spend it.
func TestTicketsOfWorkspacesAreApart(t *testing.T) {
	h := NewHome("a1", 5)
	issued := h.Issue(0, "n")
	require.Equal(t, Yours, h.Claim(0, issued, "stranger", "a1/r1"))
	require.Equal(t, Yours, h.Claim(0, issued, "owner", "a1/r2"))
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
