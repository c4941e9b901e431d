// Package settings parses and validates the daemon's INI file, the static settings of one host. What
// operators publish at run time are records; see package record.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"gopkg.in/ini.v1"

	"fireflyshift/internal/fault"
	"fireflyshift/internal/member"
)

// Settings are the validated settings of a host.
type Settings struct {
	Host     Host
	Listen   Listen
	Platform Platform
	Peers    []member.Host
	// Routes overrides the advertised addresses of hosts, by host ID, for address translation between
	// availability zones.
	Routes map[string]string
	Limits Limits
	Drain  Drain
	TLS    TLS
	Log    Log
	Traces Traces
}

// Host identifies this host.
type Host struct {
	ID   string
	Zone string
	// Threads is the value of GOMAXPROCS; zero means all processors. On a large machine, few threads avoid
	// the wake-ups of many idle ones.
	Threads int
	// MemoryMB is the memory of the process in MB; zero stands for that of the machine.
	MemoryMB int
}

// Listen holds the listen addresses, each IP:PORT.
type Listen struct {
	Callers string
	Peers   string
	Admin   string
	// AdvertisePeers is the address at which other hosts reach Peers; it defaults to Peers.
	AdvertisePeers string
}

// Platform locates the configuration service and the host list.
type Platform struct {
	URL string
	// WatchWait is how long a watch stays open.
	WatchWait time.Duration
}

// Limits restrict the resources that callers can use.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	MaxRequests    int
	// MaxConnections is the number of callers' connections; zero stands for what the file descriptors allow.
	MaxConnections int
	BodyTimeout    time.Duration
	MaxAnswerBytes int64
}

// Drain holds the times of a graceful shutdown.
type Drain struct {
	// Grace is how long the host still accepts requests after its readiness probe fails.
	Grace time.Duration
	// Limit is the maximum time to wait for requests in progress.
	Limit time.Duration
}

// TLS holds the paths of PEM files. TLS is off where they are empty.
type TLS struct {
	CallersCert, CallersKey        string
	PeersCert, PeersKey, PeersRoot string
}

// Log configures the level and format of the log.
type Log struct {
	Level string
	JSON  bool
}

// Traces configures tracing. Exporter is none, stdout or otlp; Ratio is the share of traces that are sampled.
type Traces struct {
	Exporter string
	Endpoint string
	Ratio    float64
}

const (
	maxThreads = 1024
	// minMemoryMB is what a host needs before it serves anybody.
	minMemoryMB = 32
)

var idPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,31}$`)

// allowedKeys lists the keys of each section. Others are refused, since a misspelt key would be ignored otherwise.
var allowedKeys = map[string][]string{
	"host":     {"id", "zone", "threads", "memory_mb"},
	"listen":   {"callers", "peers", "admin", "advertise_peers"},
	"platform": {"url", "watch_wait"},
	"peers":    {"seeds", "routes"},
	"limits":   {"max_body_bytes", "max_header_bytes", "max_requests", "max_connections", "body_timeout", "max_answer_bytes"},
	"drain":    {"grace", "limit"},
	"tls":      {"callers_cert", "callers_key", "peers_cert", "peers_key", "peers_root"},
	"log":      {"level", "json"},
	"traces":   {"exporter", "endpoint", "ratio"},
}

// parser collects all mistakes in a file, so that an operator sees them at once.
type parser struct {
	file string
	ini  *ini.File
	errs []error
}

// Load reads and validates the settings file at path.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(&fault.Invalid{Where: path, Reason: err.Error(), Remedy: "name a readable INI file; configs/fireflyshiftd.ini is a sample"})
	}
	return Parse(path, data)
}

// Parse parses and validates a settings file. The error lists every mistake in it.
func Parse(path string, data []byte) (*Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{SpaceBeforeInlineComment: true}, data)
	if err != nil {
		return nil, trace.Wrap(&fault.Invalid{Where: path, Reason: err.Error(), Remedy: "correct the INI syntax: [section], then key = value"})
	}
	r := &parser{file: path, ini: f}
	r.rejectUnknown()
	s := r.parse()
	if len(r.errs) > 0 {
		return nil, trace.NewAggregate(r.errs...)
	}
	return s, nil
}

func (r *parser) addError(section, key, remedy, format string, args ...any) {
	where := fmt.Sprintf("%s [%s] %s", r.file, section, key)
	r.errs = append(r.errs, &fault.Invalid{Where: where, Reason: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (r *parser) rejectUnknown() {
	for _, s := range r.ini.Sections() {
		keys, ok := allowedKeys[s.Name()]
		if !ok {
			if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
				continue
			}
			r.addError(s.Name(), "", "remove the section or correct its name", "unknown section")
			continue
		}
		for _, k := range s.Keys() {
			if !slices.Contains(keys, k.Name()) {
				r.addError(s.Name(), k.Name(), "use one of "+strings.Join(keys, ", "), "unknown key")
			}
		}
	}
}

func (r *parser) parse() *Settings {
	s := &Settings{}
	s.Host = Host{r.id("host", "id"), r.id("host", "zone"), int(r.integer("host", "threads", 0, 0, maxThreads)),
		int(r.integer("host", "memory_mb", 0, minMemoryMB, 1<<24))}
	s.Listen = Listen{
		Callers: r.addr("listen", "callers", ""),
		Peers:   r.addr("listen", "peers", ""),
		Admin:   r.addr("listen", "admin", ""),
	}
	s.Listen.AdvertisePeers = r.addr("listen", "advertise_peers", s.Listen.Peers)
	s.Platform = Platform{r.url("platform", "url"), r.duration("platform", "watch_wait", 20*time.Second, time.Second, 5*time.Minute)}
	s.Peers = r.seeds()
	s.Routes = r.routes()
	s.Limits = Limits{
		MaxBodyBytes:   r.integer("limits", "max_body_bytes", 1<<20, 1<<10, 64<<20),
		MaxHeaderBytes: int(r.integer("limits", "max_header_bytes", 16<<10, 1<<10, 1<<20)),
		MaxRequests:    int(r.integer("limits", "max_requests", 10_000, 1, 1_000_000)),
		MaxConnections: int(r.integer("limits", "max_connections", 0, 16, 10_000_000)),
		BodyTimeout:    r.duration("limits", "body_timeout", 10*time.Second, 100*time.Millisecond, 5*time.Minute),
		MaxAnswerBytes: r.integer("limits", "max_answer_bytes", 8<<20, 1<<10, 1<<30),
	}
	s.Drain = Drain{
		Grace: r.duration("drain", "grace", 2*time.Second, 0, time.Minute),
		Limit: r.duration("drain", "limit", 10*time.Minute, time.Second, 24*time.Hour),
	}
	s.TLS = r.tls()
	s.Log = Log{r.oneOf("log", "level", "info", "debug", "info", "warn", "error"), r.oneOf("log", "json", "false", "true", "false") == "true"}
	s.Traces = Traces{
		Exporter: r.oneOf("traces", "exporter", "none", "none", "stdout", "otlp"),
		Endpoint: r.text("traces", "endpoint"),
		Ratio:    float64(r.integer("traces", "ratio", 100, 0, 100)) / 100,
	}
	if s.Traces.Exporter == "otlp" {
		s.Traces.Endpoint = r.addr("traces", "endpoint", "")
	}
	return s
}

func (r *parser) text(section, key string) string {
	return strings.TrimSpace(r.ini.Section(section).Key(key).String())
}

func (r *parser) id(section, key string) string {
	v := r.text(section, key)
	if !idPattern.MatchString(v) {
		r.addError(section, key, "use lower-case letters, digits and dashes, at most 32", "%q is not allowed", v)
	}
	return v
}

func (r *parser) addr(section, key, fallback string) string {
	v := r.text(section, key)
	if v == "" && fallback != "" {
		return fallback
	}
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		r.addError(section, key, "give an IP address and a port, such as 127.0.0.1:8080; names are not looked up", "%q is not an address", v)
		return ""
	}
	if a.Port() == 0 {
		r.addError(section, key, "give a port from 1 to 65535", "port 0 in %q", v)
	}
	return v
}

func (r *parser) url(section, key string) string {
	v := strings.TrimSuffix(r.text(section, key), "/")
	rest, ok := strings.CutPrefix(v, "http://")
	if !ok {
		rest, ok = strings.CutPrefix(v, "https://")
	}
	if _, err := netip.ParseAddrPort(rest); !ok || err != nil {
		r.addError(section, key, "give http://IP:PORT", "%q is not usable", v)
	}
	return v
}

func (r *parser) duration(section, key string, fallback, lower, upper time.Duration) time.Duration {
	v := r.text(section, key)
	if v == "" {
		return fallback
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		r.addError(section, key, "give a duration such as 500ms, 10s or 2m", "%q is not a duration", v)
		return fallback
	}
	if d < lower || d > upper {
		r.addError(section, key, fmt.Sprintf("use %s to %s", lower, upper), "%s is out of range", d)
	}
	return d
}

func (r *parser) integer(section, key string, fallback, lower, upper int64) int64 {
	k := r.ini.Section(section).Key(key)
	if r.text(section, key) == "" {
		return fallback
	}
	n, err := k.Int64()
	if err != nil {
		r.addError(section, key, "give an integer", "%q is not a number", k.String())
		return fallback
	}
	if n < lower || n > upper {
		r.addError(section, key, fmt.Sprintf("use %d to %d", lower, upper), "%d is out of range", n)
	}
	return n
}

func (r *parser) oneOf(section, key, fallback string, allowed ...string) string {
	v := r.text(section, key)
	if v == "" {
		return fallback
	}
	if !slices.Contains(allowed, v) {
		r.addError(section, key, "use one of "+strings.Join(allowed, ", "), "%q is unknown", v)
	}
	return v
}

// seeds parses hosts of the form ID/ZONE/IP:PORT, separated by commas.
func (r *parser) seeds() []member.Host {
	var out []member.Host
	for _, item := range r.ini.Section("peers").Key("seeds").Strings(",") {
		parts := strings.SplitN(item, "/", 3)
		if len(parts) != 3 || !idPattern.MatchString(parts[0]) || !idPattern.MatchString(parts[1]) {
			r.addError("peers", "seeds", "give ID/ZONE/IP:PORT, separated by commas", "%q is malformed", item)
			continue
		}
		if _, err := netip.ParseAddrPort(parts[2]); err != nil {
			r.addError("peers", "seeds", "give an IP address and a port", "%q is not an address", parts[2])
			continue
		}
		out = append(out, member.Host{ID: parts[0], Zone: parts[1], Addr: parts[2]})
	}
	return out
}

// routes parses entries of the form ID=IP:PORT, separated by commas.
func (r *parser) routes() map[string]string {
	out := map[string]string{}
	for _, item := range r.ini.Section("peers").Key("routes").Strings(",") {
		id, addr, ok := strings.Cut(item, "=")
		if _, err := netip.ParseAddrPort(addr); !ok || err != nil || !idPattern.MatchString(id) {
			r.addError("peers", "routes", "give ID=IP:PORT, separated by commas", "%q is malformed", item)
			continue
		}
		out[id] = addr
	}
	return out
}

func (r *parser) tls() TLS {
	t := TLS{r.text("tls", "callers_cert"), r.text("tls", "callers_key"),
		r.text("tls", "peers_cert"), r.text("tls", "peers_key"), r.text("tls", "peers_root")}
	if (t.CallersCert == "") != (t.CallersKey == "") {
		r.addError("tls", "callers_cert, callers_key", "give both or neither", "one is missing")
	}
	given := 0
	for _, f := range []string{t.PeersCert, t.PeersKey, t.PeersRoot} {
		if f != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		r.addError("tls", "peers_cert, peers_key, peers_root", "give all three or none: hosts authenticate each other", "%d of 3 are given", given)
	}
	return t
}
