// Package bound answers an operator's question after a bad hour: what could this fleet have served? It
// reads the hosts' logs, fits a model of the backend servers to them, and computes what somebody who knew
// every arrival, length and speed beforehand could have served on them at most, beside what was served and
// why the rest was not.
//
// The model (model.go) pools the backend servers of a service: work may be split over them and over time at
// will. So the bound is above what any scheduler reaches; what is missing to it is an upper limit of what
// better decisions could bring.
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

// Request is one request of a caller as a host's log tells it.
type Request struct {
	Route, Zone, Server string
	// At is when it arrived, since the first line of the logs.
	At time.Duration
	// Took is how long it was in the host's hands, First until its first event, Allowed how long its
	// caller would wait.
	Took, First, Allowed time.Duration
	// Target is its latency objective; zero where it has none.
	Target time.Duration
	// Prompt and Output are tokens; Output is the caller's estimate. Events came of its stream.
	Prompt, Output, Events int
	Outcome, Late          string
	// Attempts is how many backend servers it was sent to.
	Attempts int
}

// Server is a backend server.
type Server struct {
	ID, Service string
	Slots       int
	// From and To are when the first host knew it and the first said that it is gone.
	From, To time.Duration
}

// Logs is what was read.
type Logs struct {
	Requests []Request
	Servers  map[string]*Server
	// End is the moment of the last line.
	End time.Duration
	// Unread counts lines that are no JSON objects.
	Unread int

	began time.Time
	zones map[string]string
}

// NewLogs returns logs of which nothing is read yet.
func NewLogs() *Logs {
	return &Logs{Servers: map[string]*Server{}, zones: map[string]string{}}
}

// line is what the tool needs of a host's log line.
type line struct {
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

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

// Read adds the log of one host, or several merged ones whose lines begin with the host's name. Hosts that
// started first are to be read first, as times count from the first line of all.
func (l *Logs) Read(name string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		at := bytes.IndexByte(s.Bytes(), '{')
		if at < 0 {
			l.Unread++
			continue
		}
		var in line
		if json.Unmarshal(s.Bytes()[at:], &in) != nil || in.Time.IsZero() {
			l.Unread++
			continue
		}
		l.take(source(name, string(s.Bytes()[:at])), in)
	}
	return trace.Wrap(s.Err(), "reading %s; give the hosts' logs as they wrote them", name)
}

// source is the host that wrote a line: the last word before its JSON, or the file.
func source(file, prefix string) string {
	if words := strings.Fields(prefix); len(words) > 0 {
		return words[len(words)-1]
	}
	return file
}

func (l *Logs) take(host string, in line) {
	if l.began.IsZero() {
		l.began = in.Time
	}
	now := in.Time.Sub(l.began)
	l.End = max(l.End, now)
	switch in.Message {
	case "Serving.":
		l.zones[host] = in.Zone
	case "Cluster state changed.", "Belief changed.": // the latter in logs of earlier builds
		l.believe(now, in)
	case "Ended.":
		l.ended(host, now, in)
	}
}

// believe takes what a host heard of backend servers.
func (l *Logs) believe(now time.Duration, in line) {
	switch in.What {
	case "backend server joined", "backend server started again":
		s := l.server(in.Subject, now)
		s.To = 0 // it lapsed and is back
		words := strings.Fields(in.Detail)
		if len(words) > 0 {
			s.Service = words[0]
		}
		for _, w := range words {
			if v, ok := strings.CutPrefix(w, "slots="); ok {
				s.Slots, _ = strconv.Atoi(v) // zero, and then the model's default, where it is none
			}
		}
	case "backend server gone", "backend server drains":
		if s, ok := l.Servers[in.Subject]; ok && s.To == 0 {
			s.To = now
		}
	}
}

func (l *Logs) server(id string, now time.Duration) *Server {
	s, ok := l.Servers[id]
	if !ok {
		s = &Server{ID: id, From: now}
		l.Servers[id] = s
	}
	return s
}

func (l *Logs) ended(host string, now time.Duration, in line) {
	if in.Route == "" {
		return // no route: nobody's to serve
	}
	q := Request{Route: in.Route, Zone: l.zones[host], Server: in.Backend, Took: millis(in.MS), First: millis(in.First),
		Allowed: millis(in.Allowed), Target: millis(in.Target), Prompt: in.Prompt, Output: in.Output, Events: in.Events,
		Outcome: in.Outcome, Late: in.Late, Attempts: in.Tries}
	q.At = max(0, now-q.Took)
	if in.Hint > 0 {
		q.Output = min(q.Output, in.Hint)
	}
	if in.Backend != "" {
		if s := l.server(in.Backend, q.At); s.To > 0 && s.To < q.At {
			s.To = 0
		}
	}
	l.Requests = append(l.Requests, q)
}

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
