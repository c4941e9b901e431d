//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"fireflyshift/platform/platformtest"
)

func init() { cases["longbody"] = longBody }

const (
	fileRoute    = "/file/"
	fileService  = "git-web"
	fileServers  = 7
	fileWork     = 15 * time.Millisecond
	fileBody     = 1 << 20 // a quarter of max-body-bytes
	fileDeadline = 4 * time.Second
	fileClients  = 8
	// One of seven servers sheds two of five requests, for six and a half seconds.
	shedShare = 0.4
	shedFor   = 6500 * time.Millisecond
	fileTime  = 6 * time.Second
)

// longBody sends bodies of 1 MiB in chunks to a non-idempotent route while one server sheds a part of its requests. It checks that
// each body that a server runs is the one that the client sent.
func longBody(b *bed) bool {
	b.store.Put("op/config", platformtest.Config(3, []platformtest.Route{
		{Host: domain, Prefix: fileRoute, Kind: "non_idempotent", Service: fileService, TimeoutMS: int(fileDeadline.Milliseconds()), TargetMS: 300, Attempts: 1},
	}, []platformtest.Workspace{{Name: tenant, Keys: []string{key}}}))
	var engines []*engine
	for i := range fileServers {
		engines = append(engines, startEngine(b, fmt.Sprintf("i-%04x", 0x7f30+i), fileService, fmt.Sprintf("%s%d", b.prefix, 200+i), fileWork))
	}
	b.startHosts(2)
	if b.trouble {
		rng := rand.New(rand.NewPCG(3, 3))
		engines[0].shed(func() bool { return rng.Float64() < shedShare })
		stop := time.AfterFunc(shedFor, func() { engines[0].shed(nil) })
		defer stop.Stop()
	}
	all := make([][]*sent, fileClients)
	var wg sync.WaitGroup
	for k := range fileClients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			all[k] = sendFiles(b, k)
		}()
	}
	wg.Wait()
	return checkFiles(b, all, engines)
}

// sendFiles sends files one after the other over a kept connection.
func sendFiles(b *bed, k int) []*sent {
	c := &client{addr: b.hosts[k%len(b.hosts)].front()}
	defer c.close()
	rng := rand.New(rand.NewPCG(uint64(k), 7))
	var out []*sent
	for i, end := 0, time.Now().Add(fileTime); time.Now().Before(end); i++ {
		body := make([]byte, fileBody)
		for j := range body {
			body[j] = byte('a' + rng.IntN(26))
		}
		s := &sent{id: fmt.Sprintf("%04x%012x", k+1, i+1), method: http.MethodPost, target: path(fileRoute, i), body: body, chunked: true, deadline: fileDeadline}
		c.do(s)
		b.record.printf("client %d: sent %s %s %s, body of %d bytes in chunks, sha256 %.16s; got %d %q after %d ms, error %v", k, s.id, s.method, s.target,
			len(s.body), s.sum, s.status, s.answer, s.took.Milliseconds(), s.err)
		s.body = nil
		out = append(out, s)
	}
	return out
}

// checkFiles reports whether a server ran a body that the client has not sent.
func checkFiles(b *bed, all [][]*sent, engines []*engine) bool {
	bySent := map[string]*sent{}
	for _, list := range all {
		for _, s := range list {
			bySent[s.id] = s
		}
	}
	runs, changed, told := 0, 0, 0
	for _, e := range engines {
		for _, r := range e.executions() {
			runs++
			s := bySent[r.id]
			if s != nil && r.sum == s.sum && r.method == s.method && r.target == s.target {
				continue
			}
			changed++
			if s == nil {
				b.record.say("%s was run and not sent", r.id)
				continue
			}
			if s.status == http.StatusOK {
				told++
			}
			b.record.say("%s: the client sent %d bytes, sha256 %.16s; server %s ran %d bytes, sha256 %.16s; the client got %d", s.id, fileBody, s.sum, e.id, r.bytes, r.sum, s.status)
		}
	}
	if runs == 0 {
		notRun("no request was run")
	}
	b.record.say("%d requests sent, %d run, %d of these with another body than the client's (UNASKED), %d of them answered with success", len(bySent), runs, changed, told)
	return changed > 0
}
