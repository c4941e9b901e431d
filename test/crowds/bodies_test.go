package crowds

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// bodyCrowd is the number of callers of the tests of bodies. Each of their bodies is legal; together they exceed the host's memory.
const bodyCrowd = 200

// Guards against a host that ends because many callers have sent a body up to its last byte.
func TestCrowdOfBodiesShortOfTheirEnd(t *testing.T) {
	for name, piece := range map[string]int{"whole": 524287, "piece by piece": 8 << 10} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, defaultLimits())
			b.endure(bodyCrowd, false, b.bodyShortOfItsEnd(524287, piece))
		})
	}
}

// Guards against a host that ends because many callers send chunks and no last one.
func TestCrowdOfChunkedBodiesShortOfTheirEnd(t *testing.T) {
	b := newBed(t, defaultLimits())
	b.endure(bodyCrowd, false, b.chunksShortOfTheEnd(524287, 32<<10))
}

// Guards against a crowd that takes all memory again as soon as some of it has been turned away.
func TestCrowdOfBodiesThatComesBack(t *testing.T) {
	b := newBed(t, defaultLimits())
	b.endure(bodyCrowd, true, b.bodyShortOfItsEnd(524287, 64<<10))
}

// Guards against bodies that are passed through as they come: they take memory, and places at backend servers.
func TestCrowdOfLongBodiesShortOfTheirEnd(t *testing.T) {
	for name, send := range map[string]func(b *bed) sender{
		"with a length": func(b *bed) sender { return b.bodyShortOfItsEnd(4<<20, 64<<10) },
		"in chunks":     func(b *bed) sender { return b.chunksShortOfTheEnd(4<<20-1, 32<<10) },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, defaultLimits())
			b.endure(bodyCrowd, false, send(b))
		})
	}
}

// Guards against very small chunks that take all of the processor.
func TestCrowdOfVerySmallChunks(t *testing.T) {
	b := newBed(t, defaultLimits())
	b.endure(bodyCrowd, false, b.chunksShortOfTheEnd(200_000, 1))
}

// Guards against callers that send request after request and read no answer.
func TestCrowdThatReadsNoAnswers(t *testing.T) {
	b := newBed(t, defaultLimits())
	body := strings.Repeat("b", 500_000)
	b.endure(bodyCrowd, false, func(_ int, c net.Conn) error {
		for range 20 {
			if _, err := io.WriteString(c, b.head(fmt.Sprintf("Content-Length: %d", len(body)), "")+body); err != nil {
				return err
			}
		}
		return errUnread
	})
}

// Guards against bodies that stop short of their end and hold the places of backend servers until their deadlines.
func TestStalledBodiesHoldNoPlaces(t *testing.T) {
	l := defaultLimits()
	l.memoryMB = 284
	b := newBed(t, l)
	b.endure(60, false, b.bodyShortOfItsEnd(600_000, 64<<10))
}

// Guards against logs and histories that keep what callers send in their heads.
func TestLongIDsAreNotKept(t *testing.T) {
	l := defaultLimits()
	l.memoryMB = 48
	b := newBed(t, l)
	const callers, requests = 4, 1000
	c := b.gather(b.callers(), callers, false, func(i int, c net.Conn) error {
		r := bufio.NewReader(c)
		for k := range requests {
			id := fmt.Sprintf("%d-%d-%s", i, k, strings.Repeat("x", 15_000))
			text := "POST /check/x HTTP/1.1\r\nHost: " + domain + "\r\nX-Fireflyshift-Attempt-Id: " + id + "\r\nX-Fireflyshift-Credential: " + key + "\r\nContent-Length: 0\r\n\r\n"
			if _, err := io.WriteString(c, text); err != nil {
				return err
			}
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				return err
			}
			_, _ = io.Copy(io.Discard, resp.Body)
		}
		return nil
	})
	c.awaitSent(waitTimeout)
	c.leave()
	b.requireServes("afterwards")
	b.requireWithinLimits()
}
