package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// server is a backend server: a plain service, or one that streams.
type server struct {
	id, service, zone, addr string
	work                    time.Duration
	// events is the number of events of an answer, work the time before each; zero for a plain answer.
	events int
	bed    *bed
	mu     sync.Mutex
	runs   []run
}

// run is one request that a backend server has begun to work on.
type run struct {
	attempt, service string
	at               time.Time
}

// addServer starts a backend server and registers it.
func (b *bed) addServer(id, service, zone string, work time.Duration, events int) (*server, error) {
	s := &server{id: id, service: service, zone: zone, work: work, events: events, bed: b}
	var err error
	if s.addr, err = b.serve(200, s); err != nil {
		return nil, err
	}
	b.store.Put("servers/"+id, s.registration(0))
	return s, nil
}

// registration returns the server's entry in the store.
func (s *server) registration(coldLeftMS int) map[string]any {
	r := map[string]any{"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "slots": 40, "state": "ready",
		"cold-left-ms": coldLeftMS, "seq-no": time.Now().UnixMilli() % (1 << 30)}
	if s.events > 0 {
		r["stage"], r["models"] = "colocated", []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	return r
}

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
	for i := 1; i <= s.events; i++ {
		time.Sleep(s.work)
		if r.Context().Err() != nil {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
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
