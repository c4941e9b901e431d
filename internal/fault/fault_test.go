package fault

import (
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// docsRow returns a kind's row in docs/CALLERS.md.
func docsRow(s Spec) string {
	retry := "do not repeat as it is"
	if s.RetryAfter > 0 {
		retry = fmt.Sprintf("%g s, or as the answer says", s.RetryAfter.Seconds())
	}
	return fmt.Sprintf("| `%s` | %d | %s | %s | %s |", s.Kind, s.Status, s.Ran, retry, s.Remedy)
}

// Callers' programs rely on the table of errors in docs/CALLERS.md. With a kind missing there, or another statement on
// whether the work ran, such a program could repeat work that must not be repeated.
func TestCallersPageListsEveryRefusal(t *testing.T) {
	page, err := os.ReadFile("../../docs/CALLERS.md")
	require.NoError(t, err)
	for _, s := range Specs() {
		require.Contains(t, string(page), docsRow(s))
	}
}

// A newer host may send a kind that this one does not know. The most cautious statement is the only safe one.
func TestUnknownKindSaysThatTheWorkMayHaveRun(t *testing.T) {
	require.Equal(t, MayHaveRun, New("of_tomorrow", "x").Ran)
}
