//go:build review

package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is a stand-in of a server of a plain service. It runs a request once it has all of it, stops at the request's deadline, and
// answers 421 if it is not the expected instance.
type engine struct {
	id, service string
	listener    net.Listener
	record      *record
	work        time.Duration
	mu          sync.Mutex
	sheds       func() bool
	runs        []execution
}

// execution is a request that an engine has run.
type execution struct {
	id, method, target string
	// path and host are what an HTTP server takes the target for.
	path, host string
	bytes      int
	sum        string
}

const (
	slots       = 6
	notExecuted = "X-Fireflyshift-Not-Executed: 1\r\n"
)

func startEngine(b *bed, id, service, ip string, work time.Duration) *engine {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		notRun("engine: %v", err)
	}
	e := &engine{id: id, service: service, listener: l, record: b.record, work: work}
	go e.accept()
	b.store.Put("servers/"+id, map[string]any{"service": service, "address": l.Addr().String(), "zone": zone, "version": "v1", "slots": slots,
		"state": "ready", "cold-left-ms": 0, "seq-no": 1})
	return e
}

func (e *engine) accept() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(c)
	}
}

func (e *engine) serve(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil || !e.handle(c, r) {
			return
		}
	}
}

func (e *engine) reply(c net.Conn, status, id, extra, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\nX-Fireflyshift-Attempt-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, extra, len(body), body)
	return err == nil
}

// handle processes one request and reports whether the connection stays open.
func (e *engine) handle(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("X-Fireflyshift-Attempt-Id")
	h := sha256.New()
	n, err := io.Copy(h, r.Body)
	if err != nil {
		e.record.printf("server %s: %s arrived in part (%d bytes: %v), not run", e.id, id, n, err)
		return false
	}
	if want := r.Header.Get("X-Fireflyshift-Expect-Instance"); want != "" && want != e.id {
		e.record.printf("server %s: %s is for %s, not run (421)", e.id, id, want)
		return e.reply(c, "421 Misdirected Request", id, notExecuted+"X-Fireflyshift-Instance-Id: "+e.id+"\r\n", "")
	}
	if e.shedsNow() {
		e.record.printf("server %s: %s shed, not run (503), %d bytes read", e.id, id, n)
		return e.reply(c, "503 Service Unavailable", id, notExecuted, "")
	}
	run := execution{id: id, method: r.Method, target: r.RequestURI, path: r.URL.Path, host: r.Host, bytes: int(n), sum: hex.EncodeToString(h.Sum(nil))}
	e.mu.Lock()
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	e.record.printf("server %s: runs %s %s %s, body of %d bytes, sha256 %.16s", e.id, id, r.Method, r.RequestURI, run.bytes, run.sum)
	stamp := "X-Fireflyshift-Server-Stamp: " + e.id + ".stamp\r\n"
	if left := timeLeft(r); left < e.work {
		time.Sleep(left)
		return e.reply(c, "504 Gateway Timeout", id, stamp, "")
	}
	time.Sleep(e.work)
	return e.reply(c, "200 OK", id, stamp, "answer to "+id)
}

// timeLeft is how long the caller of a request waits.
func timeLeft(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get("X-Fireflyshift-Deadline-Ms"))
	if err != nil {
		return time.Hour
	}
	return time.Duration(ms) * time.Millisecond
}

func (e *engine) shedsNow() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sheds != nil && e.sheds()
}

// shed sets which requests are rejected; nil stands for none.
func (e *engine) shed(f func() bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.sheds = f
}

func (e *engine) executions() []execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]execution(nil), e.runs...)
}
