package test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/standin/fleet"
	"fireflyshift/platform/platformtest"
)

// pipedHost is a host whose log goes into a pipe. other is the one of the two standard streams that does not carry the log.
type pipedHost struct {
	cmd       *exec.Cmd
	admin     string
	logStream *io.Writer
	other     fleet.LogBuffer
	collector *os.File // the end of the pipe from which the log can be read
}

// newPipedHost has a function for each of the daemon's paths.
var newPipedHost = map[string]func(*testing.T) *pipedHost{"standalone": newStandaloneHost, "platform": newPlatformHost}

func newStandaloneHost(t *testing.T) *pipedHost {
	b := newSingleHostBed(t, time.Millisecond)
	b.hosts["a1"].Kill()
	h := &pipedHost{admin: b.hostSpecs["a1"].Admin,
		cmd: exec.Command(filepath.Join(raceBinDir, "fireflyshiftd"), "--settings", filepath.Join(b.dir, "a1.ini"))}
	h.cmd.Stdout, h.logStream = &h.other, &h.cmd.Stderr
	return h
}

func newPlatformHost(t *testing.T) *pipedHost {
	s := newSoak(t, 1)
	old := s.hosts[0]
	old.kill()
	_ = old.wait()
	h := &pipedHost{admin: old.ip + platformtest.ControlPort, cmd: exec.Command(filepath.Join(raceBinDir, "fireflyshiftd"), "--platform")}
	h.cmd.Env = []string{settingsVariable + filepath.Join(old.dir, "settings.json")}
	h.cmd.Stderr, h.logStream = &h.other, &h.cmd.Stdout
	return h
}

const settingsVariable = "FIREFLYSHIFT_SETTINGS="

// start starts the host and waits until it is ready. If full is true, the pipe takes no byte of the log from the start.
func (h *pipedHost) start(t *testing.T, full bool) {
	collector, pipe, err := os.Pipe()
	require.NoError(t, err)
	t.Cleanup(func() { _ = collector.Close() })
	if full {
		fill(t, pipe)
	}
	h.collector, *h.logStream = collector, pipe
	require.NoError(t, h.cmd.Start())
	_ = pipe.Close()
	t.Cleanup(func() { _ = h.cmd.Process.Kill() })
	require.True(t, fleet.Ready(waitTimeout, h.admin), "the host is not ready: %s", &h.other)
}

// fill writes to a pipe until it takes no more.
func fill(t *testing.T, pipe *os.File) {
	require.NoError(t, pipe.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	for _, size := range []int{4096, 1} {
		for {
			if _, err := pipe.Write(make([]byte, size)); err != nil {
				break
			}
		}
		require.NoError(t, pipe.SetWriteDeadline(time.Now().Add(100*time.Millisecond)))
	}
}

// stop sends SIGTERM and returns the exit error.
func (h *pipedHost) stop(t *testing.T) error {
	require.NoError(t, h.cmd.Process.Signal(syscall.SIGTERM))
	ended := make(chan error, 1)
	go func() { ended <- h.cmd.Wait() }()
	select {
	case err := <-ended:
		return err
	case <-time.After(waitTimeout):
		require.Fail(t, "the host does not end")
		return nil
	}
}

// counter returns a counter of the host, or -1 if the host cannot be asked.
func (h *pipedHost) counter(name string) int {
	code, body, err := fleet.Get("http://" + h.admin + "/metrics")
	if err != nil || code != http.StatusOK {
		return -1
	}
	var values map[string]struct{ Count int }
	if json.Unmarshal([]byte(body), &values) != nil {
		return -1
	}
	return values[name].Count
}

// Guards against a stopping host that waits for a hanging collector of its log until it is killed, and that reports the lost lines
// nowhere.
func TestHostStopsWhileTheCollectorOfItsLogHangs(t *testing.T) {
	for path, newHost := range newPipedHost {
		t.Run(path, func(t *testing.T) {
			h := newHost(t)
			h.start(t, true)
			require.NoError(t, h.stop(t))
			require.Contains(t, h.other.String(), "Log lines are lost.")
		})
	}
}

// Guards against a flush that outlasts the platform's grace period, at whose end the host is killed.
func TestFlushStaysWithinTheGracePeriod(t *testing.T) {
	const grace = time.Second // shorter than a flush may take otherwise
	h := newPlatformHost(t)
	setGrace(t, strings.TrimPrefix(h.cmd.Env[0], settingsVariable), grace)
	h.start(t, true)
	require.NoError(t, h.stop(t))
	limit := regexp.MustCompile(`not read within (\S+) and are lost`).FindStringSubmatch(h.other.String())
	require.NotNil(t, limit, &h.other)
	waited, err := time.ParseDuration(limit[1])
	require.NoError(t, err)
	require.Less(t, waited, grace)
}

// setGrace changes the grace period in a host's settings file.
func setGrace(t *testing.T, path string, grace time.Duration) {
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	const current = `"grace-s":8`
	require.Contains(t, string(data), current)
	data = []byte(strings.Replace(string(data), current, fmt.Sprintf(`"grace-s":%d`, int(grace.Seconds())), 1))
	require.NoError(t, os.WriteFile(path, data, 0o600))
}

// Guards against a host that ends, with its callers' requests, as soon as the collector of its log has ended.
func TestHostOutlivesTheCollectorOfItsLog(t *testing.T) {
	for path, newHost := range newPipedHost {
		t.Run(path, func(t *testing.T) {
			h := newHost(t)
			h.start(t, false)
			require.NoError(t, h.collector.Close())
			require.NoError(t, h.cmd.Process.Signal(syscall.SIGHUP)) // is logged
			require.True(t, fleet.WaitUntil(waitTimeout, func() bool { return h.counter("log.dropped") != 0 }))
			require.Positive(t, h.counter("log.dropped"), "the host has ended: %s", &h.other)
			require.NoError(t, h.stop(t))
		})
	}
}
