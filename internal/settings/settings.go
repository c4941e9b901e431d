// Package settings reads and checks the daemon's INI file: the static settings of one host. What
// operators publish while the system runs are records, not settings.
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

// Settings are the checked settings of a host.
type Settings struct {
	Host     Host
	Listen   Listen
	Platform Platform
	Peers    []member.Host
	// Routes gives other addresses to dial hosts at than they advertise, by host id: for address
	// translation between availability zones.
	Routes map[string]string
	Limits Limits
	Drain  Drain
	TLS    TLS
	Log    Log
	Traces Traces
}

// Host names this host.
type Host struct {
	ID   string
	Zone string
	// Threads bounds the processors used at once; zero means all. On a large machine few threads
	// save the wake-ups of many idle ones.
	Threads int
}

// Listen holds the addresses, each an IP number and a port.
type Listen struct {
	Callers string
	Peers   string
	Admin   string
	// AdvertisePeers is the address that other hosts use, when it differs from Peers.
	AdvertisePeers string
}

// Platform is where the configuration service and the host list are read.
type Platform struct {
	URL string
	// WatchWait is how long one waiting watch stays open.
	WatchWait time.Duration
}

// Limits bound what callers may cost.
type Limits struct {
	MaxBodyBytes   int64
	MaxHeaderBytes int
	MaxRequests    int
	BodyTimeout    time.Duration
	MaxAnswerBytes int64
}

// Drain times the graceful shutdown.
type Drain struct {
	// Grace is how long the host still takes requests after it stops being ready.
	Grace time.Duration
	// Limit ends the wait for running answers.
	Limit time.Duration
}

// TLS names PEM files; empty ones leave TLS off.
type TLS struct {
	CallersCert, CallersKey        string
	PeersCert, PeersKey, PeersRoot string
}

// Log sets the log's level and form.
type Log struct {
	Level string
	JSON  bool
}

// Traces sets the exporter: none, stdout or otlp.
type Traces struct {
	Exporter string
	Endpoint string
	Ratio    float64
}

const maxThreads = 1024

var idPattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,31}$`)

// known lists the keys of each section; others are refused, since a misspelt key would be ignored.
var known = map[string][]string{
	"host":     {"id", "zone", "threads"},
	"listen":   {"callers", "peers", "admin", "advertise_peers"},
	"platform": {"url", "watch_wait"},
	"peers":    {"seeds", "routes"},
	"limits":   {"max_body_bytes", "max_header_bytes", "max_requests", "body_timeout", "max_answer_bytes"},
	"drain":    {"grace", "limit"},
	"tls":      {"callers_cert", "callers_key", "peers_cert", "peers_key", "peers_root"},
	"log":      {"level", "json"},
	"traces":   {"exporter", "endpoint", "ratio"},
}

// reader collects every mistake of a file, so that an operator sees them all at once.
type reader struct {
	file string
	ini  *ini.File
	errs []error
}

// Load reads a file and checks all of it.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.Wrap(&fault.Invalid{Where: path, Reason: err.Error(), Remedy: "name a readable INI file; configs/fireflyshiftd.ini is a sample"})
	}
	return Parse(path, data)
}

// Parse checks the text of a settings file.
func Parse(path string, data []byte) (*Settings, error) {
	f, err := ini.LoadSources(ini.LoadOptions{SpaceBeforeInlineComment: true}, data)
	if err != nil {
		return nil, trace.Wrap(&fault.Invalid{Where: path, Reason: err.Error(), Remedy: "correct the INI syntax: [section], then key = value"})
	}
	r := &reader{file: path, ini: f}
	r.refuseUnknown()
	s := r.read()
	if len(r.errs) > 0 {
		return nil, trace.NewAggregate(r.errs...)
	}
	return s, nil
}

func (r *reader) bad(section, key, remedy, format string, args ...any) {
	where := fmt.Sprintf("%s [%s] %s", r.file, section, key)
	r.errs = append(r.errs, &fault.Invalid{Where: where, Reason: fmt.Sprintf(format, args...), Remedy: remedy})
}

func (r *reader) refuseUnknown() {
	for _, s := range r.ini.Sections() {
		keys, ok := known[s.Name()]
		if !ok {
			if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
				continue
			}
			r.bad(s.Name(), "", "remove the section or correct its name", "unknown section")
			continue
		}
		for _, k := range s.Keys() {
			if !slices.Contains(keys, k.Name()) {
				r.bad(s.Name(), k.Name(), "use one of "+strings.Join(keys, ", "), "unknown key")
			}
		}
	}
}

func (r *reader) read() *Settings {
	s := &Settings{}
	s.Host = Host{r.id("host", "id"), r.id("host", "zone"), int(r.number("host", "threads", 0, 0, maxThreads))}
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
		MaxBodyBytes:   r.number("limits", "max_body_bytes", 1<<20, 1<<10, 64<<20),
		MaxHeaderBytes: int(r.number("limits", "max_header_bytes", 16<<10, 1<<10, 1<<20)),
		MaxRequests:    int(r.number("limits", "max_requests", 10_000, 1, 1_000_000)),
		BodyTimeout:    r.duration("limits", "body_timeout", 10*time.Second, 100*time.Millisecond, 5*time.Minute),
		MaxAnswerBytes: r.number("limits", "max_answer_bytes", 8<<20, 1<<10, 1<<30),
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
		Ratio:    float64(r.number("traces", "ratio", 100, 0, 100)) / 100,
	}
	if s.Traces.Exporter == "otlp" {
		s.Traces.Endpoint = r.addr("traces", "endpoint", "")
	}
	return s
}

func (r *reader) text(section, key string) string {
	return strings.TrimSpace(r.ini.Section(section).Key(key).String())
}

func (r *reader) id(section, key string) string {
	v := r.text(section, key)
	if !idPattern.MatchString(v) {
		r.bad(section, key, "use lower-case letters, digits and dashes, at most 32", "%q is not allowed", v)
	}
	return v
}

func (r *reader) addr(section, key, fallback string) string {
	v := r.text(section, key)
	if v == "" && fallback != "" {
		return fallback
	}
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		r.bad(section, key, "give an IP number and a port, as 127.0.0.1:8080; names are not looked up", "%q is not an address", v)
		return ""
	}
	if a.Port() == 0 {
		r.bad(section, key, "give a port from 1 to 65535", "port 0 in %q", v)
	}
	return v
}

func (r *reader) url(section, key string) string {
	v := strings.TrimSuffix(r.text(section, key), "/")
	rest, ok := strings.CutPrefix(v, "http://")
	if !ok {
		rest, ok = strings.CutPrefix(v, "https://")
	}
	if _, err := netip.ParseAddrPort(rest); !ok || err != nil {
		r.bad(section, key, "give http://IP:PORT", "%q is not usable", v)
	}
	return v
}

func (r *reader) duration(section, key string, fallback, least, most time.Duration) time.Duration {
	v := r.text(section, key)
	if v == "" {
		return fallback
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		r.bad(section, key, "give a duration as 500ms, 10s or 2m", "%q is not a duration", v)
		return fallback
	}
	if d < least || d > most {
		r.bad(section, key, fmt.Sprintf("use %s to %s", least, most), "%s is out of range", d)
	}
	return d
}

func (r *reader) number(section, key string, fallback, least, most int64) int64 {
	k := r.ini.Section(section).Key(key)
	if r.text(section, key) == "" {
		return fallback
	}
	n, err := k.Int64()
	if err != nil {
		r.bad(section, key, "give a whole number", "%q is not a number", k.String())
		return fallback
	}
	if n < least || n > most {
		r.bad(section, key, fmt.Sprintf("use %d to %d", least, most), "%d is out of range", n)
	}
	return n
}

func (r *reader) oneOf(section, key, fallback string, allowed ...string) string {
	v := r.text(section, key)
	if v == "" {
		return fallback
	}
	if !slices.Contains(allowed, v) {
		r.bad(section, key, "use one of "+strings.Join(allowed, ", "), "%q is unknown", v)
	}
	return v
}

// seeds reads hosts as ID/ZONE/IP:PORT, separated by commas.
func (r *reader) seeds() []member.Host {
	var out []member.Host
	for _, item := range r.ini.Section("peers").Key("seeds").Strings(",") {
		parts := strings.SplitN(item, "/", 3)
		if len(parts) != 3 || !idPattern.MatchString(parts[0]) || !idPattern.MatchString(parts[1]) {
			r.bad("peers", "seeds", "give ID/ZONE/IP:PORT, separated by commas", "%q is malformed", item)
			continue
		}
		if _, err := netip.ParseAddrPort(parts[2]); err != nil {
			r.bad("peers", "seeds", "give an IP number and a port", "%q is not an address", parts[2])
			continue
		}
		out = append(out, member.Host{ID: parts[0], Zone: parts[1], Addr: parts[2]})
	}
	return out
}

// routes reads ID=IP:PORT, separated by commas.
func (r *reader) routes() map[string]string {
	out := map[string]string{}
	for _, item := range r.ini.Section("peers").Key("routes").Strings(",") {
		id, addr, ok := strings.Cut(item, "=")
		if _, err := netip.ParseAddrPort(addr); !ok || err != nil || !idPattern.MatchString(id) {
			r.bad("peers", "routes", "give ID=IP:PORT, separated by commas", "%q is malformed", item)
			continue
		}
		out[id] = addr
	}
	return out
}

func (r *reader) tls() TLS {
	t := TLS{r.text("tls", "callers_cert"), r.text("tls", "callers_key"),
		r.text("tls", "peers_cert"), r.text("tls", "peers_key"), r.text("tls", "peers_root")}
	if (t.CallersCert == "") != (t.CallersKey == "") {
		r.bad("tls", "callers_cert, callers_key", "give both or neither", "one is missing")
	}
	given := 0
	for _, f := range []string{t.PeersCert, t.PeersKey, t.PeersRoot} {
		if f != "" {
			given++
		}
	}
	if given != 0 && given != 3 {
		r.bad("tls", "peers_cert, peers_key, peers_root", "give all three or none: hosts prove themselves to each other", "%d of 3 are given", given)
	}
	return t
}
