//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"fireflyshift/platform/platformtest"
)

func init() { cases["broken"] = brokenAnswers }

const (
	earlyServers  = 6
	earlyBody     = 4_000_000 // max-body-bytes is 4,194,304
	earlyClients  = 8
	readPiece     = 16 << 10
	readPause     = 50 * time.Microsecond
	halfAnswer    = 1000
	breakAfter    = 3 * time.Millisecond
	breakShare    = 0.05
	episodes      = 12
	episode       = 5 * time.Second
	episodePause  = 2 * time.Second
	earlyDeadline = 4 * time.Second
)

// earlyEngine is a stand-in of a server that begins its answers before it has read a long body, and sends them without a length: they
// end with the connection. Now and then one is broken off: the connection is reset in the middle of the answer.
type earlyEngine struct {
	id     string
	record *record
	mu     sync.Mutex
	breaks bool
	rng    *rand.Rand
	// broken are the requests whose answers were broken off.
	broken map[string]bool
}

// half returns the first or the second half of the answer to a request.
func half(id string, n int) string {
	return strings.Repeat(fmt.Sprintf("%s.%d ", id, n), halfAnswer/(len(id)+3))
}

func startEarlyEngine(b *bed, i int) *earlyEngine {
	l, err := net.Listen("tcp", fmt.Sprintf("%s%d:0", b.prefix, 200+i))
	if err != nil {
		notRun("engine: %v", err)
	}
	e := &earlyEngine{id: fmt.Sprintf("i-%04x", 0x7f30+i), record: b.record, rng: rand.New(rand.NewPCG(uint64(i), 3)), broken: map[string]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c.(*net.TCPConn))
		}
	}()
	b.store.Put("servers/"+e.id, map[string]any{"service": fileService, "address": l.Addr().String(), "zone": zone, "version": "v1", "slots": slots,
		"state": "ready", "cold-left-ms": 0, "seq-no": 1})
	return e
}

// serve answers one request and closes the connection.
func (e *earlyEngine) serve(c *net.TCPConn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReaderSize(c, readPiece))
	if err != nil {
		return
	}
	id := r.Header.Get("X-Fireflyshift-Attempt-Id")
	if r.Header.Get("X-Fireflyshift-Expect-Instance") != e.id {
		fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Fireflyshift-Attempt-Id: %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", id, notExecuted)
		return
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Fireflyshift-Attempt-Id: %s\r\nX-Fireflyshift-Server-Stamp: %s.stamp\r\nConnection: close\r\n\r\n%s", id, e.id, half(id, 1))
	if e.breaksOff(id) {
		time.AfterFunc(breakAfter, func() {
			e.record.printf("server %s: resets the connection in the middle of the answer to %s", e.id, id)
			_ = c.SetLinger(0)
			_ = c.Close()
		})
	}
	piece := make([]byte, readPiece)
	for {
		_, err := r.Body.Read(piece)
		if err == io.EOF {
			break
		}
		if err != nil {
			return
		}
		time.Sleep(readPause)
	}
	_, _ = io.WriteString(c, half(id, 2))
}

func (e *earlyEngine) breaksOff(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.breaks || e.rng.Float64() >= breakShare {
		return false
	}
	e.broken[id] = true
	return true
}

func (e *earlyEngine) setBreaks(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.breaks = on
}

// brokenAnswers sends long bodies while half of the servers break off a twentieth of their answers (garble, unframed). It checks that
// no client takes half an answer for a whole one.
func brokenAnswers(b *bed) bool {
	b.store.Put("op/config", platformtest.Config(3, []platformtest.Route{
		{Host: domain, Prefix: fileRoute, Kind: "non_idempotent", Service: fileService, TimeoutMS: int(earlyDeadline.Milliseconds()), TargetMS: 300, Attempts: 1},
	}, []platformtest.Workspace{{Name: tenant, Keys: []string{key}}}))
	var engines []*earlyEngine
	for i := range earlyServers {
		engines = append(engines, startEarlyEngine(b, i))
	}
	b.startHosts(2)
	end := time.Now().Add(episodes * (episode + episodePause))
	go func() {
		for range episodes {
			time.Sleep(episodePause)
			for _, e := range engines[:earlyServers/2] {
				e.setBreaks(b.trouble)
			}
			time.Sleep(episode)
			for _, e := range engines {
				e.setBreaks(false)
			}
		}
	}()
	all := make([][]*sent, earlyClients)
	body := []byte(strings.Repeat("0123456789", earlyBody/10))
	var wg sync.WaitGroup
	for k := range earlyClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{addr: b.hosts[k%len(b.hosts)].front()}
			defer c.close()
			for i := 0; time.Now().Before(end); i++ {
				s := &sent{id: fmt.Sprintf("%04x%012x", k+1, i+1), method: http.MethodPost, target: path(fileRoute, i), body: body, deadline: earlyDeadline}
				c.do(s)
				b.record.printf("client %d: sent %s, body of %d bytes; got %d and %d bytes after %d ms, error %v", k, s.id, len(s.body), s.status, len(s.answer), s.took.Milliseconds(), s.err)
				all[k] = append(all[k], s)
			}
		}()
	}
	wg.Wait()
	return checkAnswers(b, all, engines)
}

// checkAnswers reports whether a success without an error was not the server's whole answer.
func checkAnswers(b *bed, all [][]*sent, engines []*earlyEngine) bool {
	broken := map[string]bool{}
	for _, e := range engines {
		e.mu.Lock()
		for id := range e.broken {
			broken[id] = true
		}
		e.mu.Unlock()
	}
	total, whole, torn := 0, 0, 0
	for _, list := range all {
		for _, s := range list {
			total++
			switch {
			case s.status != http.StatusOK || s.err != nil:
			case s.answer == half(s.id, 1)+half(s.id, 2):
				whole++
			default:
				torn++
				b.record.say("%s: broken off by its server: %t; the client got a complete 200 with %d of %d bytes", s.id, broken[s.id], len(s.answer), 2*len(half(s.id, 1)))
			}
		}
	}
	if whole == 0 {
		notRun("no request was answered in full")
	}
	b.record.say("%d requests sent, %d answered in full, %d answers broken off by servers, %d of these given to clients as complete (MIXED)", total, whole, len(broken), torn)
	return torn > 0
}
