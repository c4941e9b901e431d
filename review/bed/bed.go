//go:build review

// Command bed runs the cases of the review. It starts the daemon as separate processes with the command of the deploy
// file, and stand-ins of the platform's store, of servers and of clients, all on loopback addresses.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"fireflyshift/platform/platformtest"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const (
	daemon       = "target/fireflyshiftd"
	domain       = "review.example"
	key          = "review-key"
	tenant       = "review-tenant"
	zone         = "zone-a"
	startTimeout = 15 * time.Second
)

// bed is one small deployment.
type bed struct {
	dir    string // temporary
	prefix string // of the loopback addresses
	store  *platformtest.Store
	// storeAddr is the address of the store as the hosts know it.
	storeAddr string
	hosts     []*host
	record    *record
	trouble   bool
}

// host is one daemon process.
type host struct {
	name, ip, settings string
	ports              ports
	cmd                *exec.Cmd
	exited             chan struct{}
	log                *os.File
}

type ports struct{ front, ready, control, peers int }

// record collects what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.file, format+"\n", args...)
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// notRun ends a case that could not run.
func notRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	panic(exitNotRun)
}

func newBed(folder string) *bed {
	dir, err := os.MkdirTemp("", "fireflyshift-review-")
	if err != nil {
		notRun("temporary folder: %v", err)
	}
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		notRun("record: %v", err)
	}
	pid := os.Getpid()
	b := &bed{dir: dir, prefix: fmt.Sprintf("127.%d.%d.", 100+pid%100, 1+pid/100%250), store: platformtest.NewStore(),
		record: &record{file: f, start: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	b.record.say("disruption: %t", b.trouble)
	b.storeAddr = b.serve(b.prefix+"250", b.store)
	return b
}

// serve serves HTTP at a free port of a loopback address.
func (b *bed) serve(ip string, h http.Handler) string {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		notRun("listen: %v", err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// freePort returns a port that is free at an address for TCP and UDP.
func freePort(ip string) int {
	for range 50 {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			break
		}
		port := l.Addr().(*net.TCPAddr).Port
		u, err := net.ListenPacket("udp", fmt.Sprintf("%s:%d", ip, port))
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return port
		}
	}
	notRun("no free port at %s", ip)
	return 0
}

// startHosts starts n hosts in one zone, with settings like those of the pages' small deployments.
func (b *bed) startHosts(n int) {
	p := ports{}
	for i := range n {
		ip := fmt.Sprintf("%s%d", b.prefix, i+1)
		if i == 0 {
			p = ports{freePort(ip), freePort(ip), freePort(ip), freePort(ip)}
		}
		b.hosts = append(b.hosts, &host{name: fmt.Sprintf("front-%s-%d", zone, i+1), ip: ip, ports: p})
	}
	var seeds []string
	for _, h := range b.hosts[:min(3, n)] {
		seeds = append(seeds, fmt.Sprintf("%s:%d", h.ip, h.ports.control))
	}
	for _, h := range b.hosts {
		h.settings = filepath.Join(b.dir, h.name+".json")
		b.writeSettings(h, seeds)
		b.start(h)
	}
	for _, h := range b.hosts {
		b.awaitReady(h)
	}
}

func (b *bed) writeSettings(h *host, seeds []string) {
	addr := func(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }
	file := map[string]any{
		"node-name": h.name, "role": "entry", "machine-class": "front", "serves": []string{"front", "control"}, "ip": h.ip,
		"zone": zone, "region": "region-a", "zones": map[string]string{zone: "region-a"},
		"listen-addrs": map[string]string{"front": addr(h.ports.front), "ready": addr(h.ports.ready), "control": addr(h.ports.control)},
		"port-range":   []int{h.ports.peers, h.ports.peers + 15}, "seed-nodes": seeds, "bootstrap": true, "in-tolerance": false,
		"limits":   map[string]any{"cpu-quota": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry": "vip", "heartbeat-ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "platform"},
		"fault-tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 0},
		"bounds": map[string]any{"seed-staleness-s": 3, "addr-reuse-s": 2, "contact-ms": 3000, "ack-timeout-ms": 4000, "catch-up-s": 4,
			"drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-stretch-ms": 5000,
			"revoke-strict": false, "revoke-ms": 5000, "retry-budget-ratio": 0.2, "budget-window-s": 10, "budget-extra": 56, "quota-window-s": 8,
			"quota-overage": 0.25, "quota-slack": 190000, "recovery-s": 12, "pass-ms": 120, "retry-after-s": 10},
		"platform": map[string]any{"address": b.storeAddr, "form": "read", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20,
			"value-bytes": 1048576, "ttl-min-ms": 1000},
	}
	data, err := json.MarshalIndent(file, "", "  ")
	if err != nil {
		notRun("settings: %v", err)
	}
	if err := os.WriteFile(h.settings, data, 0o600); err != nil {
		notRun("settings: %v", err)
	}
}

func (b *bed) start(h *host) {
	var err error
	if h.log, err = os.Create(filepath.Join(b.dir, h.name+".log")); err != nil {
		notRun("log: %v", err)
	}
	h.cmd = exec.Command(daemon, "--platform")
	h.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "FIREFLYSHIFT_SETTINGS=" + h.settings}
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this process
	if err := h.cmd.Start(); err != nil {
		notRun("start %s: %v", daemon, err)
	}
	h.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(h.cmd, h.exited)
	b.record.printf("started %s, process %d", h.name, h.cmd.Process.Pid)
}

// running reports whether a host's process runs.
func (h *host) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

func (h *host) front() string { return fmt.Sprintf("%s:%d", h.ip, h.ports.front) }

// ready asks a host as the balancer does.
func (h *host) ready() bool {
	c := http.Client{Timeout: time.Second}
	resp, err := c.Get(fmt.Sprintf("http://%s:%d/api/readyz", h.ip, h.ports.ready))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *bed) awaitReady(h *host) {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if h.ready() {
			return
		}
	}
	notRun("%s did not become ready", h.name)
}

// close ends all processes and removes the temporary folder. KEEP keeps it.
func (b *bed) close() {
	for _, h := range b.hosts {
		if h.cmd != nil && h.running() {
			_ = h.cmd.Process.Signal(syscall.SIGCONT)
			_ = h.cmd.Process.Kill()
			<-h.exited
		}
	}
	_ = b.record.file.Close()
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", b.dir)
		return
	}
	_ = os.RemoveAll(b.dir)
}

// path returns the path of a request to a route.
func path(prefix string, i int) string {
	return strings.TrimSuffix(prefix, "/") + fmt.Sprintf("/%x", i)
}

var cases = map[string]func(b *bed) bool{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "give a case and its folder")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// timeLimit ends a case that takes too long.
const timeLimit = 110 * time.Second

// run runs a case and returns its exit code. Hosts are started from this thread, and end with it.
func run(name, folder string) (code int) {
	runtime.LockOSThread()
	time.AfterFunc(timeLimit, func() { os.Exit(exitNotRun) })
	defer func() {
		if p := recover(); p != nil {
			if p != any(exitNotRun) {
				panic(p)
			}
			code = exitNotRun
		}
	}()
	b := newBed(folder)
	defer b.close()
	if cases[name](b) {
		b.record.say("the rule was broken")
		return exitBroken
	}
	b.record.say("the rule held")
	return exitHeld
}
