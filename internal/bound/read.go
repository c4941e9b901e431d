// Package bound computes an upper bound on what a fleet could have served, for the analysis of an incident. It reads
// the hosts' logs, fits a performance model of the backend servers to them, and computes how much a scheduler that
// knew every arrival, length and speed in advance could have served at most. It reports this bound next to what was
// served, and the causes of the losses.
//
// The model (model.go) pools the backend servers of a service: work may be split arbitrarily over servers and over
// time. The bound is therefore higher than what any real scheduler can reach, and the gap to it limits what better
// scheduling decisions could gain.
package bound

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
)

// Request is one caller's request as recorded in a host's log.
type Request struct {
	Route, Zone, Server string
	// At is the arrival time, relative to the first line of the logs.
	At time.Duration
	// Took is the time from arrival to the end, First the time to the first event, and Allowed the request's
	// timeout.
	Took, First, Allowed time.Duration
	// Target is the latency objective; zero if there is none.
	Target time.Duration
	// Prompt and Output are in tokens; Output is the caller's estimate. Events is the number of stream events
	// received.
	Prompt, Output, Events int
	Outcome, Late          string
	// Attempts is the number of backend servers the request was sent to.
	Attempts int
}

// Server is a backend server.
type Server struct {
	ID, Service string
	Slots       int
	// From is when the first host knew the server, To when the first host reported it as gone or draining; zero
	// while it serves.
	From, To time.Duration
}

// Logs is the content of the logs read so far.
type Logs struct {
	Requests []Request
	Servers  map[string]*Server
	// End is the time of the last line, relative to the first.
	End time.Duration
	// Skipped counts lines that are not JSON objects with a time.
	Skipped int

	start time.Time
	zones map[string]string
}

// NewLogs returns empty logs.
func NewLogs() *Logs {
	return &Logs{Servers: map[string]*Server{}, zones: map[string]string{}}
}

// logLine holds the fields of a host's log line that this package uses.
type logLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	Route   string    `json:"route"`
	Backend string    `json:"backend"`
	Outcome string    `json:"outcome"`
	Late    string    `json:"late"`
	MS      int64     `json:"ms"`
	First   int64     `json:"first_ms"`
	Allowed int64     `json:"allowed_ms"`
	Target  int64     `json:"target_ms"`
	Prompt  int       `json:"prompt"`
	Output  int       `json:"output"`
	Hint    int       `json:"hint"`
	Events  int       `json:"last_event"`
	Tries   int       `json:"attempts"`
	What    string    `json:"what"`
	Subject string    `json:"subject"`
	Detail  string    `json:"detail"`
	Zone    string    `json:"zone"`
}

// maxLineBytes bounds a log line, in bytes.
const maxLineBytes = 1 << 20

// Read adds the log of one host, or a merged log whose lines start with the host's name. Read the log of the host
// that started first before the others: all times are relative to the first line read.
func (l *Logs) Read(name string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		at := bytes.IndexByte(s.Bytes(), '{')
		if at < 0 {
			l.Skipped++
			continue
		}
		var in logLine
		if json.Unmarshal(s.Bytes()[at:], &in) != nil || in.Time.IsZero() {
			l.Skipped++
			continue
		}
		l.add(sourceHost(name, string(s.Bytes()[:at])), in)
	}
	return trace.Wrap(s.Err(), "reading %s; give the unmodified logs of the hosts", name)
}

// sourceHost returns the host that wrote a line: the last word before its JSON or, without one, the file's name.
func sourceHost(file, prefix string) string {
	if words := strings.Fields(prefix); len(words) > 0 {
		return words[len(words)-1]
	}
	return file
}

func (l *Logs) add(host string, in logLine) {
	if l.start.IsZero() {
		l.start = in.Time
	}
	now := in.Time.Sub(l.start)
	l.End = max(l.End, now)
	switch in.Message {
	case "Serving.":
		l.zones[host] = in.Zone
	case "Cluster state changed.", "Belief changed.": // the latter in logs of earlier builds
		l.applyServerChange(now, in)
	case "Ended.":
		l.addRequest(host, now, in)
	}
}

// applyServerChange updates the backend servers from a state change that a host logged.
func (l *Logs) applyServerChange(now time.Duration, in logLine) {
	switch in.What {
	case "backend server joined", "backend server started again":
		s := l.findOrAddServer(in.Subject, now)
		s.To = 0 // its registration had lapsed and was renewed
		words := strings.Fields(in.Detail)
		if len(words) > 0 {
			s.Service = words[0]
		}
		for _, w := range words {
			if v, ok := strings.CutPrefix(w, "slots="); ok {
				s.Slots, _ = strconv.Atoi(v) // if malformed, zero: the model then uses its default
			}
		}
	case "backend server gone", "backend server drains":
		if s, ok := l.Servers[in.Subject]; ok && s.To == 0 {
			s.To = now
		}
	}
}

func (l *Logs) findOrAddServer(id string, now time.Duration) *Server {
	s, ok := l.Servers[id]
	if !ok {
		s = &Server{ID: id, From: now}
		l.Servers[id] = s
	}
	return s
}

func (l *Logs) addRequest(host string, now time.Duration, in logLine) {
	if in.Route == "" {
		return // no route matched, so no service was responsible for the request
	}
	q := Request{Route: in.Route, Zone: l.zones[host], Server: in.Backend, Took: millis(in.MS), First: millis(in.First),
		Allowed: millis(in.Allowed), Target: millis(in.Target), Prompt: in.Prompt, Output: in.Output, Events: in.Events,
		Outcome: in.Outcome, Late: in.Late, Attempts: in.Tries}
	q.At = max(0, now-q.Took)
	if in.Hint > 0 {
		q.Output = min(q.Output, in.Hint)
	}
	if in.Backend != "" {
		if s := l.findOrAddServer(in.Backend, q.At); s.To > 0 && s.To < q.At {
			s.To = 0
		}
	}
	l.Requests = append(l.Requests, q)
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
