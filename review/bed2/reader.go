package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// takers is a number of callers.
	takers = 24
	// streamDeadline is that of commit-hint on the site's sheet.
	streamDeadline = 15 * time.Second
	// longStreamEvents with hintPause between them last 12 s.
	longStreamEvents, hintPause = 120, 100 * time.Millisecond
)

// reader reads the events of a stream in the background.
type reader struct {
	mu     sync.Mutex
	status int
	last   int // number of the last event
	first  int // number of the first event; zero before
	// versions are the software versions whose events came, in order of their first.
	versions []string
	done     chan struct{}
}

// startReading sends a streaming request and reads its events.
func startReading(c *clientConn, attempt string, deadline time.Duration, lines ...string) (*reader, error) {
	if err := c.send("POST", "/hint/x", attempt, deadline, lines...); err != nil {
		return nil, err
	}
	r := &reader{done: make(chan struct{})}
	go func() {
		defer close(r.done)
		defer c.Close()
		_ = c.SetReadDeadline(time.Now().Add(deadline))
		for {
			line, err := c.r.ReadString('\n')
			if err != nil {
				return
			}
			r.mu.Lock()
			var n int
			var version string
			if _, err := fmt.Sscanf(line, "data: piece %d of %s", &n, &version); err == nil && !slices.Contains(r.versions, version) {
				r.versions = append(r.versions, version)
			}
			if strings.HasPrefix(line, "HTTP/1.1 ") {
				_, _ = fmt.Sscanf(line, "HTTP/1.1 %d", &r.status)
			} else if _, err := fmt.Sscanf(line, "id: %d", &n); err == nil {
				r.last = n
				if r.first == 0 {
					r.first = n
				}
			}
			refused := r.status >= 300
			r.mu.Unlock()
			if refused {
				return
			}
		}
	}()
	return r, nil
}

// state returns the status and the numbers of the first and the last event so far.
func (r *reader) state() (status, first, last int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status, r.first, r.last
}

// seen returns the software versions whose events came so far.
func (r *reader) seen() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.versions)
}
