package test

import (
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/standin/fleet"
)

// stopAfterOneRequest sends a request to a1, calls before, stops a1 and returns its log.
func (b *testbed) stopAfterOneRequest(before func()) string {
	c := connect(b.t, b.addr("a1"))
	_, err := c.Write([]byte(stockRequest))
	require.NoError(b.t, err)
	require.Equal(b.t, http.StatusOK, c.read().status)
	before()
	b.hosts["a1"].Signal(syscall.SIGTERM)
	require.NoError(b.t, b.hosts["a1"].Wait(waitTimeout))
	return b.hosts["a1"].Log.String()
}

// Guards against spans that are lost as a host stops, after a hanging peer has used up the time for their export.
func TestSpansAreExportedWhileAPeerHangs(t *testing.T) {
	b := newTestbed(t, "a1", "a2")
	b.addPlainService("git-1", "zone-a", time.Millisecond)
	b.extraSettings = "limit = 1s\n[traces]\nexporter = stdout\n"
	b.start()
	log := b.stopAfterOneRequest(func() { b.hosts["a2"].Signal(syscall.SIGSTOP) })
	require.Contains(t, log, "caller to host")
}

// Guards against messages of libraries that bypass the log: unstructured, and blocking while its collector hangs.
func TestMessagesOfLibrariesAreLogLines(t *testing.T) {
	b := newTestbed(t, "a1")
	b.addPlainService("git-1", "zone-a", time.Millisecond)
	b.extraSettings = "[log]\njson = true\n[traces]\nexporter = otlp\nendpoint = " + fleet.FreeAddr() + "\n"
	b.start()
	log := b.stopAfterOneRequest(func() {})
	require.Contains(t, log, "Message of a library.")
	for _, line := range strings.Split(strings.TrimSpace(log), "\n") {
		require.True(t, json.Valid([]byte(line)), line)
	}
}
