package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// A guard is rewritten, and the row that takes it away finds nothing any more: until somebody runs all mutants,
// which takes an hour, nobody notices that the guard's test is unproved.
func TestEveryRowFindsItsGuard(t *testing.T) {
	names := map[string]bool{}
	for _, m := range mutants {
		data, err := os.ReadFile(filepath.Join("..", "..", "..", m.file))
		require.NoError(t, err, m.name)
		assert.True(t, strings.Contains(string(data), m.old), "%s: %s has no %q", m.name, m.file, m.old)
		require.False(t, names[m.name], "two rows are named %s", m.name)
		names[m.name] = true
	}
}
