package ctl

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/core"
)

// printedStatus returns what 'fireflyctl status' prints of a host, without repeated spaces.
func printedStatus(t *testing.T, s core.Status) string {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(s) }))
	defer srv.Close()
	var out bytes.Buffer
	require.Equal(t, ExitOK, (&Tool{Out: &out, Err: &out, Hosts: []string{srv.Listener.Addr().String()}}).Status(t.Context()))
	var lines []string
	for line := range strings.Lines(out.String()) {
		lines = append(lines, strings.Join(strings.Fields(line), " "))
	}
	return strings.Join(lines, "\n")
}

// Guards against operators who cannot see whose requests wait and for how long, and against a predicted wait of -1 ms.
func TestStatusListsAdmissionQueues(t *testing.T) {
	text := printedStatus(t, core.Status{Host: "host-1", Queues: []core.QueueStatus{{Service: "models", Requests: 3, Room: 5400, RoomPerSlot: 150, WaitMS: []int64{0, 120, -1, -1},
		Workspaces: []core.QueueWorkspaceStatus{{Workspace: "school", Weight: 2.5, Waiting: 3, Offered: 9, Granted: 4, Refused: 2, WorkMS: 600, Share: 0.25}, {Weight: 1, Share: 0.75}}}}})
	require.Contains(t, text, "ADMISSION QUEUE OWNER WAITING ROOM RATE PER SLOT PREDICTED WAIT BY PRIORITY\nmodels host-1 3 5400 ms/s 150 ms/s 0 ms, 120 ms, not served, not served\n")
	require.Contains(t, text, "models host-1 school 2.5 3 9 4 2 600 ms 25.0 %\nmodels host-1 - 1 0 0 0 0 0 ms 75.0 %")
	require.NotContains(t, printedStatus(t, core.Status{Host: "host-1"}), "QUEUE", "no table where there is no queue")
}

// Guards against operators who cannot tell requests that wait without a predicted slot.
func TestStatusListsProvisionalRequests(t *testing.T) {
	text := printedStatus(t, core.Status{Host: "host-1", Queues: []core.QueueStatus{{Service: "models",
		Workspaces: []core.QueueWorkspaceStatus{{Workspace: "school", Weight: 1, Offered: 9, Provisional: 7}}}}})
	require.Contains(t, text, "REFUSED WORK SHARE PROVISIONAL\nmodels host-1 school 1 0 9 0 0 0 ms 0.0 % 7")
}
