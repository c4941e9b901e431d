package ctl

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against mistakes that the offline check passes and hosts refuse later.
func TestCheckShowsMistakesOfAdmissionQueues(t *testing.T) {
	for data, want := range map[string]string{
		`{"node-name":"n","ip":"10.0.0.1","zone":"a","listen-addrs":{"front":"10.0.0.1:1","ready":"10.0.0.1:2"},"port-range":[1,2],
			"platform":{"address":"10.0.0.9:1"},"bounds":{"grace-s":8},"admission-queue":{"enabled":1,"max":3}}`: "admission-queue.enabled: 1 is neither true nor false; give true or false",
		`{"routes":[],"tenants":[{"name":"school","weight":1001}]}`: `tenants[0].weight of workspace "school": 1001 is not such a number`,
	} {
		path := filepath.Join(t.TempDir(), "file.json")
		require.NoError(t, os.WriteFile(path, []byte(data), 0o600))
		var out bytes.Buffer
		require.Equal(t, ExitFailed, (&Tool{Out: &out, Err: &out}).Check([]string{path}))
		require.Contains(t, out.String(), want)
	}
}
