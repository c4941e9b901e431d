package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"fireflyshift/platform/platformtest"
)

// Ports of every host, which differ in their loopback address.
const (
	frontPort   = 18321
	readyPort   = 18324
	controlPort = 18329
	peerPort    = 18340
)

const (
	startTimeout = 15 * time.Second
	contact      = 3000 * time.Millisecond // contact-ms
	domain       = "review.example"
	apiKey       = "review-key"
	workspace    = "review"
)

// bed is one deployment: the platform's store, backend servers and hosts.
type bed struct {
	daemon  string
	dir     string
	subnet  string // the first three bytes of its loopback addresses, with a dot behind
	store   *platformtest.Store
	began   time.Time
	mu      sync.Mutex
	log     *os.File
	hosts   []*host
	closers []func()
}

// host is one daemon.
type host struct {
	bed      *bed
	ip, zone string
	settings map[string]any
	path     string
	cmd      *exec.Cmd
	done     chan struct{}
}

func newBed(daemon, record string) (*bed, error) {
	if _, err := os.Stat(daemon); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	log, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	return &bed{daemon: daemon, dir: dir, log: log, began: time.Now(), store: platformtest.NewStore(),
		subnet: fmt.Sprintf("127.%d.%d.", 100+pid/250%100, 1+pid%250)}, nil
}

// record adds a line with the time since the start to the record.
func (b *bed) record(format string, args ...any) { b.recordAt(time.Now(), format, args...) }

func (b *bed) recordAt(at time.Time, format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintf(b.log, "%8.3f s  %s\n", at.Sub(b.began).Seconds(), fmt.Sprintf(format, args...))
}

// say records a line and prints it.
func (b *bed) say(format string, args ...any) {
	b.record(format, args...)
	fmt.Printf("%8.3f s  %s\n", time.Since(b.began).Seconds(), fmt.Sprintf(format, args...))
}

func (b *bed) close() {
	for _, h := range b.hosts {
		h.kill()
	}
	for _, f := range b.closers {
		f()
	}
	_ = b.log.Close()
	_ = os.RemoveAll(b.dir)
}

// serve serves a handler at a free port of the last byte of the address, and returns the address.
func (b *bed) serve(lastByte int, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", b.subnet, lastByte))
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	go func() { _ = s.Serve(l) }()
	b.closers = append(b.closers, func() { _ = s.Close() })
	return l.Addr().String(), nil
}

// addHost starts a daemon with the settings of a small deployment.
func (b *bed) addHost(zone, store string, zones []string) error {
	n := len(b.hosts) + 1
	h := &host{bed: b, ip: fmt.Sprintf("%s%d", b.subnet, n), zone: zone, path: filepath.Join(b.dir, fmt.Sprintf("settings-%d.json", n))}
	at := func(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "region"
	}
	h.settings = map[string]any{
		"node-name": fmt.Sprintf("front-%s-%d", zone, n), "role": "entry", "machine-class": "front", "serves": []string{"front", "control"},
		"ip": h.ip, "zone": zone, "region": "region", "zones": regions,
		"listen-addrs": map[string]string{"front": at(frontPort), "ready": at(readyPort), "control": at(controlPort)},
		"port-range":   []int{peerPort, peerPort + 15},
		"seed-nodes":   []string{fmt.Sprintf("%s1:%d", b.subnet, controlPort), fmt.Sprintf("%s2:%d", b.subnet, controlPort)},
		"bootstrap":    true, "in-tolerance": false,
		"limits":   map[string]any{"cpu-quota": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "platform"},
		"fault-tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{"seed-staleness-s": 3, "addr-reuse-s": 2, "contact-ms": 3000, "ack-timeout-ms": 4000, "catch-up-s": 4, "drain-ms": 2000,
			"grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000, "revoke-strict": false, "revoke-ms": 5000,
			"retry-budget-ratio": 0.2, "budget-window-s": 10, "budget-extra": 56, "quota-window-s": 8, "quota-overage": 0.25, "quota-slack": 190000,
			"recovery-s": 12, "pass-ms": 120, "retry-after-s": 10},
		"platform": map[string]any{"address": store, "form": "read", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1 << 20, "ttl-min-ms": 1000},
	}
	b.hosts = append(b.hosts, h)
	if err := h.writeSettings(); err != nil {
		return err
	}
	return h.start()
}

// writeSettings replaces the settings file in one step.
func (h *host) writeSettings() error {
	data, err := json.Marshal(h.settings)
	if err != nil {
		return err
	}
	if err := os.WriteFile(h.path+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(h.path+".new", h.path)
}

// start starts the daemon with the command of the deploy file.
func (h *host) start() error {
	out, err := os.Create(filepath.Join(h.bed.dir, "log-"+h.ip))
	if err != nil {
		return err
	}
	h.cmd = exec.Command(h.bed.daemon, "--platform")
	h.cmd.Env = []string{"FIREFLYSHIFT_SETTINGS=" + h.path}
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.done = make(chan struct{})
	go func() {
		_ = h.cmd.Wait()
		_ = out.Close()
		close(h.done)
	}()
	return nil
}

func (h *host) signal(s syscall.Signal) { _ = h.cmd.Process.Signal(s) }

// kill ends the daemon and waits for its end.
func (h *host) kill() {
	if h.done == nil {
		return
	}
	h.signal(syscall.SIGKILL)
	<-h.done
}

func (h *host) front() string { return fmt.Sprintf("%s:%d", h.ip, frontPort) }

// ready probes the host as the platform does.
func (h *host) ready() bool {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/api/readyz", h.ip, readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until all hosts are ready.
func (b *bed) awaitReady() error {
	end := time.Now().Add(startTimeout)
	for _, h := range b.hosts {
		for !h.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("host %s is not ready", h.ip)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// service returns the service that stands in a server's entry in the store.
func (b *bed) service(s *server) string {
	rec := httptest.NewRecorder()
	b.store.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/api/kv-range?prefix=servers/"+s.id, nil))
	var page struct {
		Items []struct {
			Value []byte `json:"value"`
		} `json:"items"`
	}
	var entry struct {
		Service string `json:"service"`
	}
	if json.Unmarshal(rec.Body.Bytes(), &page) != nil || len(page.Items) != 1 || json.Unmarshal(page.Items[0].Value, &entry) != nil {
		return "(none)"
	}
	return entry.Service
}
