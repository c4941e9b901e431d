// Package fleet starts real daemons and stand-ins on loopback, for the demo, the tests and the
// measurements. It is not part of the product.
package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Ports are taken below the range that the kernel gives to outgoing connections, so that none of
// those can take a port between the choice and the bind.
const (
	firstPort = 12000
	lastPort  = 31000
)

var nextPort atomic.Int64

// FreeAddr finds a free loopback address.
func FreeAddr() string {
	nextPort.CompareAndSwap(0, int64(firstPort+(os.Getpid()*97)%(lastPort-firstPort-3000)))
	for {
		port := nextPort.Add(1)
		if port > lastPort {
			nextPort.Store(firstPort)
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		l, err := net.Listen("tcp", addr)
		if err == nil {
			l.Close()
			return addr
		}
	}
}

// Process is a child of the test or demo.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	Log  *LogBuffer
}

// LogBuffer is a concurrent, bounded log.
type LogBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

const maxLogBytes = 8 << 20

// Write keeps the start of the log.
func (b *LogBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.buf.Len() < maxLogBytes {
		b.buf.Write(p)
	}
	return len(p), nil
}

// String is what was logged.
func (b *LogBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// Start runs a program.
func Start(program string, args ...string) (*Process, error) {
	p := &Process{cmd: exec.Command(program, args...), done: make(chan struct{}), Log: &LogBuffer{}}
	p.cmd.Stdout, p.cmd.Stderr = p.Log, p.Log
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Pid is the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal, for example syscall.SIGSTOP.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the process at once and waits for it.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Wait returns the process's end, or an error after the timeout.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return fmt.Errorf("process %d still runs after %s", p.Pid(), timeout)
	}
}

// HostSpec describes a daemon to start.
type HostSpec struct {
	ID, Zone              string
	Callers, Peers, Admin string
	Advertise             string
	Platform              string
	Seeds                 []string
	Routes                []string // ID=IP:PORT
	Threads               int
	Extra                 string // further INI text
}

// NewHostSpec fills the addresses.
func NewHostSpec(id, zone, platform string) HostSpec {
	return HostSpec{ID: id, Zone: zone, Callers: FreeAddr(), Peers: FreeAddr(), Admin: FreeAddr(), Platform: platform}
}

// INI is the settings file of the host.
func (h HostSpec) INI() string {
	advertise := h.Advertise
	if advertise == "" {
		advertise = h.Peers
	}
	return fmt.Sprintf(`[host]
id = %s
zone = %s
threads = %d
[listen]
callers = %s
peers = %s
admin = %s
advertise_peers = %s
[platform]
url = http://%s
watch_wait = 5s
[peers]
seeds = %s
routes = %s
[drain]
grace = 300ms
%s
`, h.ID, h.Zone, h.Threads, h.Callers, h.Peers, h.Admin, advertise, h.Platform, strings.Join(h.Seeds, ","), strings.Join(h.Routes, ","), h.Extra)
}

// StartHost writes the settings into dir and runs the daemon.
func StartHost(program, dir string, h HostSpec) (*Process, error) {
	path := filepath.Join(dir, h.ID+".ini")
	if err := os.WriteFile(path, []byte(h.INI()), 0o600); err != nil {
		return nil, err
	}
	return Start(program, "--settings", path)
}

var httpClient = &http.Client{Timeout: 2 * time.Second}

// Get reads a URL and reports its status and body.
func Get(url string) (int, string, error) {
	resp, err := httpClient.Get(url)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// Post sends JSON to a URL.
func Post(url string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	resp, err := httpClient.Post(url, "application/json", bytes.NewReader(data))
	if err != nil {
		return err
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s answered %s", url, resp.Status)
	}
	return nil
}

// WaitUntil repeats a check until it is true or the timeout has passed.
func WaitUntil(timeout time.Duration, check func() bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	for {
		if check() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// Ready waits until a host says that it is ready.
func Ready(timeout time.Duration, admin string) bool {
	return WaitUntil(timeout, func() bool {
		code, _, err := Get("http://" + admin + "/readyz")
		return err == nil && code == http.StatusOK
	})
}

// Serve runs a handler on a free loopback address until stop is called.
func Serve(h http.Handler) (addr string, stop func()) {
	addr = FreeAddr()
	return addr, ServeAt(addr, h)
}

// ServeAt runs a handler on an address until stop is called.
func ServeAt(addr string, h http.Handler) (stop func()) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		panic(err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }()
	return func() { srv.Close() }
}
