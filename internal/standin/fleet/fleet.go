// Package fleet starts daemons and stand-ins on loopback for the demo, the tests and the measurements, and provides a
// client for them.
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

// Ports are chosen below the kernel's ephemeral range, so that no outgoing connection can take a port between its choice
// and the bind.
const (
	firstPort = 12000
	lastPort  = 31000
)

var nextPort atomic.Int64

// FreeAddr returns a loopback address with a free port.
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

// Process is a child process.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	err  error
	Log  *LogBuffer
}

// LogBuffer keeps the first maxLogBytes of a log. It is safe for concurrent use.
type LogBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

const maxLogBytes = 8 << 20

// Write appends p, or discards it once the buffer is full. It never fails.
func (b *LogBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.buf.Len() < maxLogBytes {
		b.buf.Write(p)
	}
	return len(p), nil
}

// String returns the log kept so far.
func (b *LogBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// Start starts a program as a child process that logs to Log.
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

// Pid returns the process ID.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal, for example syscall.SIGSTOP.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends the process with SIGKILL, also if it is stopped by SIGSTOP, and waits for it.
func (p *Process) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// Wait waits until the process has ended and returns its exit error. It also returns an error after the timeout.
func (p *Process) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return fmt.Errorf("process %d is still running after %s", p.Pid(), timeout)
	}
}

// HostSpec is the configuration of a daemon. Callers, Peers and Admin are its listen addresses.
type HostSpec struct {
	ID, Zone              string
	Callers, Peers, Admin string
	Advertise             string
	Platform              string
	Seeds                 []string
	Routes                []string // ID=IP:PORT
	Threads               int
	Extra                 string // appended to the INI text
}

// NewHostSpec returns a specification with free listen addresses.
func NewHostSpec(id, zone, platform string) HostSpec {
	return HostSpec{ID: id, Zone: zone, Callers: FreeAddr(), Peers: FreeAddr(), Admin: FreeAddr(), Platform: platform}
}

// INI returns the content of the host's settings file.
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

// StartHost writes the host's settings file into dir and starts the daemon with it.
func StartHost(program, dir string, h HostSpec) (*Process, error) {
	path := filepath.Join(dir, h.ID+".ini")
	if err := os.WriteFile(path, []byte(h.INI()), 0o600); err != nil {
		return nil, err
	}
	return Start(program, "--settings", path)
}

var httpClient = &http.Client{Timeout: 2 * time.Second}

// Get requests a URL and returns the status code and body.
func Get(url string) (int, string, error) {
	resp, err := httpClient.Get(url)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// Post sends v as JSON to a URL. Any status but 200 is an error.
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

// WaitUntil repeats a check every 20 ms until it returns true, or returns false after the timeout.
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

// Ready waits until the host with this admin address is ready, or returns false after the timeout.
func Ready(timeout time.Duration, admin string) bool {
	return WaitUntil(timeout, func() bool {
		code, _, err := Get("http://" + admin + "/readyz")
		return err == nil && code == http.StatusOK
	})
}

// Serve serves a handler on a free loopback address until stop is called.
func Serve(h http.Handler) (addr string, stop func()) {
	addr = FreeAddr()
	return addr, ServeAt(addr, h)
}

// ServeAt serves a handler on an address until stop is called. It panics if it cannot listen there.
func ServeAt(addr string, h http.Handler) (stop func()) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		panic(err)
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(l) }()
	return func() { srv.Close() }
}
