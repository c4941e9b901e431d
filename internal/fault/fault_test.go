package fault

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// row is a kind's line in docs/CALLERS.md.
func row(s Spec) string {
	back := "do not repeat as it is"
	if s.RetryAfter > 0 {
		back = fmt.Sprintf("%g s, or as the answer says", s.RetryAfter.Seconds())
	}
	return fmt.Sprintf("| `%s` | %d | %s | %s | %s |", s.Kind, s.Status, s.Ran, back, s.Remedy)
}

// A caller's programmer reads the table of refusals and builds on it. A kind that is missing there,
// or whose word on the work has changed, would make that program repeat work it must not repeat.
func TestCallersPageListsEveryRefusal(t *testing.T) {
	page, err := os.ReadFile("../../docs/CALLERS.md")
	require.NoError(t, err)
	for _, s := range Specs() {
		require.Contains(t, string(page), row(s))
	}
}

// A newer host sends a kind that this one does not know. The weakest statement is the only safe one.
func TestUnknownKindSaysThatTheWorkMayHaveRun(t *testing.T) {
	require.Equal(t, MayHaveRun, New("of_tomorrow", "x").Ran)
}
