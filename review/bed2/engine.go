package main

import (
	"cmp"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// server is a backend server: a plain service, or one that streams.
type server struct {
	id, service, zone, addr string
	work                    time.Duration
	// events is the number of events of an answer, work the time before each; zero for a plain answer.
	events int
	// born is its start in Unix milliseconds; zero if it does not state it.
	born int64
	// version is that of its software.
	version string
	bed     *bed
	mu      sync.Mutex
	runs    []run
	// foreign is set while another program's entry stands under its key.
	foreign bool
}

// run is one request that a backend server has begun to work on.
type run struct {
	attempt, service string
	at               time.Time
}

// addServer starts a backend server and registers it.
func (b *bed) addServer(id, service, zone string, work time.Duration, events int) (*server, error) {
	s := &server{id: id, service: service, zone: zone, work: work, events: events}
	return s, b.startServer(s)
}

// startServer does so for a server that is described already.
func (b *bed) startServer(s *server) error {
	var err error
	s.bed = b
	if s.addr, err = b.serve(200, s); err != nil {
		return err
	}
	b.store.Put("servers/"+s.id, s.registration(0))
	return nil
}

// registration returns the server's entry in the store.
func (s *server) registration(coldLeftMS int) map[string]any {
	r := map[string]any{"service": s.service, "address": s.addr, "zone": s.zone, "version": s.software(), "slots": 40, "state": "ready",
		"cold-left-ms": coldLeftMS, "seq-no": time.Now().UnixMilli() % (1 << 30)}
	if s.born > 0 {
		r["born"] = s.born
	}
	if s.events > 0 {
		r["stage"], r["models"] = "colocated", []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	return r
}

// software returns the version of the server's software.
func (s *server) software() string { return cmp.Or(s.version, "v1") }

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Fireflyshift-Instance-Id", s.id)
		return
	}
	attempt := r.Header.Get("X-Fireflyshift-Attempt-Id")
	w.Header().Set("X-Fireflyshift-Attempt-Id", attempt)
	if want := r.Header.Get("X-Fireflyshift-Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	began := run{attempt: attempt, service: s.service, at: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, began)
	s.mu.Unlock()
	s.bed.recordAt(began.at, "server %s (%s) runs %s", s.id, s.service, attempt)
	w.Header().Set("X-Fireflyshift-Server-Stamp", s.id+".1")
	if s.events == 0 {
		time.Sleep(s.work)
		body := "answer to " + attempt
		w.Header().Set("Content-Length", fmt.Sprint(len(body)))
		_, _ = io.WriteString(w, body)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // absent on a new stream
	for i := last + 1; i <= s.events; i++ {
		time.Sleep(s.work)
		if r.Context().Err() != nil {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, s.software())
		_ = http.NewResponseController(w).Flush()
	}
}

// runsOf returns the requests that the server has run so far, by attempt.
func (s *server) runsOf() map[string]run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]run{}
	for _, r := range s.runs {
		out[r.attempt] = r
	}
	return out
}
