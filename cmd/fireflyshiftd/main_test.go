package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/jessevdk/go-flags"
	"github.com/stretchr/testify/require"

	"fireflyshift/internal/router"
)

const settingsRest = `"node-name":"n","ip":"10.0.0.1","zone":"a","listen-addrs":{"front":"10.0.0.1:1","ready":"10.0.0.1:2"},
	"port-range":[1,2],"platform":{"address":"10.0.0.9:1"},"bounds":{"grace-s":8}}`

// Guards against a flag that is lost with the first reload, and against one that overrides the file.
func TestAdmissionQueueFlagHoldsForEachLoad(t *testing.T) {
	var opt options
	_, err := flags.ParseArgs(&opt, []string{"--platform", "--admission-queue"})
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "settings.json")
	load := settingsLoader(opt, path)
	write := func(data string) { require.NoError(t, os.WriteFile(path, []byte(data), 0o600)) }
	for range 2 {
		write("{" + settingsRest)
		set, err := load()
		require.NoError(t, err)
		require.Equal(t, router.AdmissionSettings{Enabled: true, MaxRequests: 512}, set.Admission)
	}
	write(`{"admission-queue":{"enabled":false},` + settingsRest)
	set, err := load()
	require.NoError(t, err)
	require.False(t, set.Admission.Enabled)
	write(`{"admission-queue":{"max-requests":0},` + settingsRest)
	set, err = load()
	require.Nil(t, set)
	require.ErrorContains(t, err, "give a whole number from 1 to 4096")
}

// Guards against a flag of load balancing that overrides the file, and against a mistake in the file that passes.
func TestLoadBalancingFlagYieldsToTheFile(t *testing.T) {
	var opt options
	_, err := flags.ParseArgs(&opt, []string{"--platform", "--load-balancing"})
	require.NoError(t, err)
	path := filepath.Join(t.TempDir(), "settings.json")
	load := settingsLoader(opt, path)
	write := func(data string) { require.NoError(t, os.WriteFile(path, []byte(data), 0o600)) }
	write("{" + settingsRest)
	set, err := load()
	require.NoError(t, err)
	require.Equal(t, &router.BalancingSettings{LearnedLimits: true, EarlySpill: true}, set.Balancing)
	write(`{"load-balancing":{"learned-limits":true},` + settingsRest)
	set, err = load()
	require.NoError(t, err)
	require.Equal(t, &router.BalancingSettings{LearnedLimits: true}, set.Balancing)
	for _, bad := range []string{`{"learned-limits":"yes"}`, `{"early-spill":null}`, `{"spill":true}`, `[]`} {
		write(`{"load-balancing":` + bad + "," + settingsRest)
		_, err = load()
		require.ErrorContains(t, err, "load-balancing", bad)
	}
}
