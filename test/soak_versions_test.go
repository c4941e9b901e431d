package test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/platform/platformtest"
)

// In this profile, releases leave backend servers of two software versions side by side. Callers lose the connection in the middle of a
// stream, or close it, and take the stream up at any host. Hosts are killed in series, also all at once, and paused.

const (
	versionedService = "versioned"
	versionedEvents  = 40
	// versionedAttempts limits a caller's attempts at one stream.
	versionedAttempts = 6
)

// versionCounts counts streams: those that began, that were taken up, and the attempts to take one up that went on.
type versionCounts struct{ begun, takenUp, wentOn atomic.Int64 }

// softwareVersion returns the version of the next server of versionedService: mostly the newest, or the one before.
func (s *soak) softwareVersion() string {
	return fmt.Sprintf("v%d", s.release-min(1, s.rng.IntN(3)/2))
}

// callVersioned makes one caller's attempts at a stream, until it is complete or the caller gives up.
func (s *soak) callVersioned(rng *rand.Rand, conns map[string]*soakConn) {
	if rng.IntN(4) == 0 {
		s.call(rng, conns)
		return
	}
	origin, text, last := "", "", 0
	for range versionedAttempts {
		id := fmt.Sprintf("versioned-%d", s.attempts.Add(1))
		s.recordCall(id, soakCall{kind: "versioned"})
		cutAfter := versionedEvents
		if rng.IntN(2) == 0 {
			cutAfter = 1 + rng.IntN(versionedEvents)
		}
		part := s.readVersioned(s.hosts[rng.IntN(len(s.hosts))], id, origin, last, cutAfter)
		if part == "" {
			time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
			continue
		}
		if origin == "" {
			origin = id
			s.versions.begun.Add(1)
		} else {
			s.versions.wentOn.Add(1)
		}
		text += part
		last += strings.Count(part, "\n\n")
		if last >= versionedEvents {
			s.answered.Add(1)
			break
		}
		s.versions.takenUp.Add(1)
	}
	if found := platformtest.VersionsOf(text); len(found) > 1 {
		s.addFailure("stream %s has events of %v", origin, found)
	}
	for i, event := range strings.SplitAfter(text, "\n\n") {
		if event != "" && !strings.HasPrefix(event, fmt.Sprintf("id: %d\n", i+1)) {
			s.addFailure("stream %s has a gap or a repeat at event %d: %q", origin, i+1, event)
			break
		}
	}
}

// readVersioned makes one attempt and returns the events that it brings, at most so many.
func (s *soak) readVersioned(h *soakHost, id, origin string, last, events int) string {
	conn, err := net.DialTimeout("tcp", h.ip+platformtest.CallersPort, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(soakAnswerTimeout))
	resumes := ""
	if origin != "" {
		resumes = fmt.Sprintf("Resumes: %s\r\nLast-Event-Id: %d\r\n", origin, last)
	}
	fmt.Fprintf(conn, "POST /versioned/%s HTTP/1.1\r\nHost: %s\r\nX-Fireflyshift-Attempt-Id: %s\r\nX-Fireflyshift-Credential: %s\r\nX-Fireflyshift-Deadline-Ms: 4000\r\n%sContent-Length: 4\r\n\r\nbody",
		id, soakDomain, id, soakKey, resumes)
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodPost})
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return ""
	}
	var text strings.Builder
	lines := bufio.NewReader(resp.Body)
	for n := 0; n < events; {
		line, err := lines.ReadString('\n')
		if err != nil && err != io.EOF {
			break
		}
		text.WriteString(line)
		if line == "\n" {
			n++
		}
		if err != nil {
			break
		}
	}
	out := text.String()
	return out[:strings.LastIndex(out, "\n\n")+2*min(1, strings.Count(out, "\n\n"))]
}

// mixVersions releases software versions and kills hosts in series, beside the other faults.
func (s *soak) mixVersions() {
	switch s.rng.IntN(6) {
	case 0:
		s.releaseVersion()
	case 1, 2:
		for _, i := range s.rng.Perm(soakHosts)[:1+s.rng.IntN(soakHosts)] {
			s.restartHost(s.hosts[i], syscall.SIGKILL, time.Duration(s.rng.IntN(300))*time.Millisecond)
			time.Sleep(time.Duration(s.rng.IntN(200)) * time.Millisecond)
		}
	case 3:
		s.pauseHost(s.hosts[s.rng.IntN(soakHosts)], time.Duration(100+s.rng.IntN(1500))*time.Millisecond)
	default:
		s.injectFault()
	}
}

// releaseVersion starts two servers of a new version. Those of versions before the previous one drain.
func (s *soak) releaseVersion() {
	s.release++
	s.addBackend(versionedService)
	s.addBackend(versionedService)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, b := range s.backends {
		var number int
		if _, err := fmt.Sscanf(b.Version, "v%d", &number); err != nil || number >= s.release-1 || s.removed[b.ID] {
			continue
		}
		s.removed[b.ID] = true
		s.store.Put(b.Key(), b.Registration("draining"))
		time.AfterFunc(time.Second, func() { s.store.Remove(b.Key()) })
	}
}

// TestSoakVersions guards against streams that go on at another software version than the one that began them.
func TestSoakVersions(t *testing.T) {
	forSeeds(t, []uint64{1, 2, 3}, func(t *testing.T, seed uint64, duration time.Duration) {
		s := newSoak(t, seed)
		for s.release = 1; s.release <= 2; s.release++ {
			s.addBackend(versionedService)
			s.addBackend(versionedService)
		}
		s.release = 2
		runSoakOn(s, seed, duration, (*soak).mixVersions, (*soak).callVersioned)
		require.Positive(t, s.versions.wentOn.Load())
		t.Logf("seed %d: %d streams began, %d were taken up, %d times one went on", seed, s.versions.begun.Load(), s.versions.takenUp.Load(), s.versions.wentOn.Load())
	})
}
