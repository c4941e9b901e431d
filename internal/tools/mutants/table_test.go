package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Each mutant's old text must occur exactly once in its file. Without this check a changed guard would go unnoticed until
// the next run of all mutants, which takes an hour.
func TestEachMutantFindsItsGuard(t *testing.T) {
	for _, m := range mutants {
		source, err := os.ReadFile(filepath.Join("../../..", m.file))
		require.NoError(t, err, m.name)
		assert.Equal(t, 1, strings.Count(string(source), m.old), m.name)
	}
}
