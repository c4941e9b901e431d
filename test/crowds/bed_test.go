// Package crowds tests how a host bears callers that do not behave. Real daemons run with lowered limits on loopback addresses, while
// many connections send at once and then stay open. What is checked does not depend on the machine's speed: the process lives, its memory
// and its descriptors stay within its settings, and an ordinary request is answered while the crowd stays and after it has gone.
//
// The tests measure memory, so they run one at a time and apart from all others, with daemons built without the race detector.
package crowds

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/platform/platformtest"
)

const (
	// waitTimeout is far above the expected times, so that no result depends on the speed of the machine.
	waitTimeout = 20 * time.Second
	pollPause   = 20 * time.Millisecond
	domain      = "crowds.example"
	key         = "crowds-key"
	webServers  = 3
	// requestTimeout is the configured time of a request: longer than an ordinary caller of these tests waits, so that no caller is
	// served only because the crowd's requests have ended.
	requestTimeout = 2 * time.Minute
)

// limits are the lowered limits of a host and of the configuration.
type limits struct {
	memoryMB, descriptors    int
	headBytes, bodyBytes     int
	headTimeout, idleTimeout time.Duration
	graceSeconds             int
}

func defaultLimits() limits {
	return limits{memoryMB: 64, descriptors: 4100, headBytes: 16 << 10, bodyBytes: 4 << 20, headTimeout: 3 * time.Second, idleTimeout: 15 * time.Second, graceSeconds: 8}
}

var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "fireflyshift-crowds-")
	if err == nil {
		binDir = dir
		out, err := exec.Command("go", "build", "-o", dir+"/", "../../cmd/fireflyshiftd").CombinedOutput()
		if err != nil {
			fmt.Println(string(out))
			os.Exit(1)
		}
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// bed is one host with backend servers and a store.
type bed struct {
	t        *testing.T
	limits   limits
	subnet   int
	backends []*platformtest.Backend
	cmd      *exec.Cmd
	log      *os.File
	exited   chan struct{}
	watch    *watch
	attempts atomic.Int64
}

var subnets atomic.Int32

// claimSubnet finds a part of the loopback range that no other test uses, and reserves it with a listener.
func claimSubnet(t *testing.T) int {
	const nets = 250
	for range nets {
		number := (os.Getpid() + int(subnets.Add(1))) % nets
		l, err := net.Listen("tcp", fmt.Sprintf("127.79.%d.254:18220", number))
		if err == nil {
			t.Cleanup(func() { _ = l.Close() })
			return number
		}
	}
	require.Fail(t, "no part of the loopback range is free")
	return 0
}

func newBed(t *testing.T, l limits) *bed {
	b := &bed{t: t, limits: l, subnet: claimSubnet(t), exited: make(chan struct{})}
	store := platformtest.NewStore()
	listener, err := net.Listen("tcp", b.ip(250)+":0")
	require.NoError(t, err)
	srv := &http.Server{Handler: store}
	go func() { _ = srv.Serve(listener) }()
	t.Cleanup(func() { _ = srv.Close() })
	store.Put("op/config", b.config())
	for i := range webServers {
		s, err := platformtest.StartBackend(fmt.Sprintf("web-%d", i), "web", "zone-a", b.ip(200)+":0", 0, time.Millisecond)
		require.NoError(t, err)
		t.Cleanup(s.Close)
		store.Put(s.Key(), s.Registration("ready"))
		b.backends = append(b.backends, s)
	}
	b.start(listener.Addr().String())
	return b
}

func (b *bed) ip(n int) string { return fmt.Sprintf("127.79.%d.%d", b.subnet, n) }
func (b *bed) host() string    { return b.ip(1) }

func (b *bed) callers() string { return b.host() + platformtest.CallersPort }

func (b *bed) config() map[string]any {
	ms := int(requestTimeout / time.Millisecond)
	c := platformtest.Config(3, []platformtest.Route{
		{Host: domain, Prefix: "/check/", Kind: "idempotent", Service: "web", TimeoutMS: ms, TargetMS: 500, Attempts: 2},
		{Host: domain, Prefix: "/browse/", Kind: "non_idempotent", Service: "web", TimeoutMS: ms, TargetMS: 500, Attempts: 1},
	}, []platformtest.Workspace{{Name: "crowds", Keys: []string{key}, Rate: 1e7, Burst: 1e7}})
	c["limits"] = map[string]any{"max-header-bytes": b.limits.headBytes, "max-body-bytes": b.limits.bodyBytes,
		"header-timeout-ms": b.limits.headTimeout.Milliseconds(), "idle-timeout-ms": b.limits.idleTimeout.Milliseconds()}
	return c
}

// start starts the daemon, whose descriptors the kernel limits too.
func (b *bed) start(store string) {
	dir := b.t.TempDir()
	settings := platformtest.Settings("host-0", b.host(), "zone-a", store, []string{b.host()})
	settings["limits"] = map[string]any{"memory-mb": b.limits.memoryMB, "cores": 1, "max-fds": b.limits.descriptors}
	settings["bounds"].(map[string]any)["grace-s"] = b.limits.graceSeconds
	data, err := json.Marshal(settings)
	require.NoError(b.t, err)
	path := filepath.Join(dir, "settings.json")
	require.NoError(b.t, os.WriteFile(path, data, 0o600))
	b.log, err = os.Create(filepath.Join(dir, "log"))
	require.NoError(b.t, err)
	b.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; exec %s --platform", b.limits.descriptors, filepath.Join(binDir, "fireflyshiftd")))
	b.cmd.Env = []string{"FIREFLYSHIFT_SETTINGS=" + path}
	b.cmd.Stdout, b.cmd.Stderr = b.log, b.log
	b.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process survives a test that is killed
	require.NoError(b.t, b.cmd.Start())
	go func() {
		_ = b.cmd.Wait()
		close(b.exited)
	}()
	b.t.Cleanup(b.stop)
	b.eventually("the host is ready", func() bool { return platformtest.Ready(b.host()) })
	b.watch = startWatch(b.cmd.Process.Pid, b.host())
	b.t.Cleanup(b.watch.stop)
}

func (b *bed) stop() {
	_ = b.cmd.Process.Kill()
	<-b.exited
	if b.t.Failed() {
		const tail = 6000
		log := b.logText()
		b.t.Logf("end of the host's log:\n%s", log[max(0, len(log)-tail):])
	}
	_ = b.log.Close()
}

func (b *bed) logText() string {
	data, _ := os.ReadFile(b.log.Name())
	return string(data)
}

func (b *bed) alive() bool {
	select {
	case <-b.exited:
		return false
	default:
		return true
	}
}

func (b *bed) eventually(what string, f func() bool) {
	b.t.Helper()
	require.Eventually(b.t, f, waitTimeout, pollPause, what)
}

func (b *bed) nextID() string { return fmt.Sprintf("a%d", b.attempts.Add(1)) }

// ordinaryBody is the body of an ordinary request.
var ordinaryBody = bytes.Repeat([]byte{'x'}, 2000)

// answered sends one ordinary request on a new connection and reports whether it is answered by a backend server.
func (b *bed) answered() bool {
	return b.call("/check/x", ordinaryBody, 4*time.Second) == http.StatusOK
}

// call sends one request on a new connection; zero stands for no answer.
func (b *bed) call(path string, body []byte, timeout time.Duration) int {
	client := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(http.MethodPost, "http://"+b.callers()+path, bytes.NewReader(body))
	require.NoError(b.t, err)
	req.Host = domain
	req.Header.Set("X-Fireflyshift-Attempt-Id", b.nextID())
	req.Header.Set("X-Fireflyshift-Credential", key)
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// requireServes checks that the process lives and that an ordinary caller, who comes back when it is refused, gets an answer.
func (b *bed) requireServes(when string) {
	b.t.Helper()
	b.eventually("an ordinary request is answered "+when, func() bool { return !b.alive() || b.answered() })
	require.True(b.t, b.alive(), "the process has ended")
}

// requireWithinLimits checks the peaks of memory and descriptors against the host's settings.
func (b *bed) requireWithinLimits() {
	b.t.Helper()
	b.watch.stop()
	b.t.Logf("peak of memory %d KB, of it unread in the kernel %d KB; of descriptors %d", b.watch.memoryKB, b.watch.unreadKB, b.watch.descriptors)
	require.LessOrEqual(b.t, b.watch.memoryKB, b.limits.memoryMB<<10, "memory in KB")
	require.LessOrEqual(b.t, b.watch.descriptors, b.limits.descriptors, "descriptors")
}

// watch samples the memory and the descriptors of a process.
type watch struct {
	done chan struct{}
	end  chan struct{}
	// memoryKB is the peak of resident memory and of the bytes that the kernel holds for the process, unreadKB these bytes alone.
	memoryKB, unreadKB, descriptors int
}

func startWatch(pid int, addr string) *watch {
	w := &watch{done: make(chan struct{}), end: make(chan struct{})}
	go func() {
		defer close(w.end)
		for {
			unread := unreadKB(addr)
			w.unreadKB = max(w.unreadKB, unread)
			w.memoryKB = max(w.memoryKB, residentKB(pid, "VmRSS:")+unread, residentKB(pid, "VmHWM:"))
			if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
				w.descriptors = max(w.descriptors, len(entries))
			}
			select {
			case <-w.done:
				return
			case <-time.After(pollPause):
			}
		}
	}()
	return w
}

func (w *watch) stop() {
	select {
	case <-w.done:
	default:
		close(w.done)
	}
	<-w.end
}

// residentKB returns a field of the process's status in KB, or zero if the process has ended.
func residentKB(pid int, field string) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, field); ok {
			n, _ := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(rest), " kB"))
			return n
		}
	}
	return 0
}

const (
	// Columns of /proc/net/tcp.
	columnLocal, columnState, columnQueues = 1, 3, 4
	stateListen                            = "0A"
)

// unreadKB returns the bytes in KB that the kernel has received on connections to an IP address, with a port or for all ports, and that are
// not read yet.
func unreadKB(addr string) int {
	data, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	ip, port, err := net.SplitHostPort(addr)
	if err != nil {
		ip = addr
	}
	a := net.ParseIP(ip).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:", a[3], a[2], a[1], a[0])
	if n, err := strconv.Atoi(port); err == nil {
		local += fmt.Sprintf("%04X", n)
	}
	total := int64(0)
	for line := range strings.SplitSeq(string(data), "\n") {
		f := strings.Fields(line)
		if len(f) <= columnQueues || !strings.HasPrefix(f[columnLocal], local) || f[columnState] == stateListen {
			continue
		}
		_, received, _ := strings.Cut(f[columnQueues], ":")
		n, _ := strconv.ParseInt(received, 16, 64)
		total += n
	}
	return int(total >> 10)
}
