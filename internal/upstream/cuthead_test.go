package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The answers that a server begins and cuts inside their heads.
var cutAnswers = map[string]string{
	"with a length":           "HTTP/1.1 200 OK\r\nOwn: 1\r\nContent-Length: 5\r\n\r\n",
	"without a length":        "HTTP/1.1 200 OK\r\nOwn: 1\r\nConnection: close\r\n\r\n",
	"in chunks":               "HTTP/1.1 200 OK\r\nOwn: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
	"after an interim answer": "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nOwn: 1\r\nConnection: close\r\n\r\n",
	"after another's answer":  "HTTP/1.1 200 OK\r\nOwn: 0\r\nContent-Length: 2\r\n\r\nnoHTTP/1.1 200 OK\r\nOwn: 1\r\nConnection: close\r\n\r\n",
	"without a body":          "HTTP/1.1 204 No Content\r\nOwn: 1\r\n\r\n",
}

// cuttingServer answers the requests for /whole, and sends the first bytes of another answer to the others, as many as their path says.
func cuttingServer(t *testing.T, answer string, reset bool) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	serve := func(c *net.TCPConn) {
		defer c.Close()
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if req.URL.Path == "/whole" {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nOwn: 1\r\nContent-Length: 5\r\n\r\nwhole")
				continue
			}
			if req.ContentLength < 1<<20 {
				_, _ = io.Copy(io.Discard, req.Body) // a longer one is still being written
			}
			var cut int
			_, _ = fmt.Sscanf(req.URL.Path, "/%d", &cut)
			_, _ = io.WriteString(c, answer[:cut])
			if reset {
				time.Sleep(time.Millisecond) // until the bytes have arrived
				_ = c.SetLinger(0)
			} else if req.ContentLength >= 1<<20 {
				_ = c.CloseWrite()
				_, _ = io.Copy(io.Discard, req.Body)
			}
			return
		}
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

// Guards against an answer that a server has cut inside its head and that looks complete, on a new or a kept connection, through a relay
// and while a long body is written.
func TestAnswersCutInsideTheirHeadsAreBroken(t *testing.T) {
	for name, answer := range cutAnswers {
		for _, reset := range []bool{false, true} {
			for _, way := range []string{"new connection", "kept connection", "relay", "long body"} {
				t.Run(fmt.Sprintf("%s, %s, reset %t", name, way, reset), func(t *testing.T) {
					t.Parallel()
					addr := cuttingServer(t, answer, reset)
					dials := 0
					pool := NewPool(func() { dials++ })
					pool.UseRelays(countingRelay{})
					call := func(target string) error {
						req := &Request{Method: http.MethodPost, Target: target, Host: "h", Header: http.Header{}, MaxIdle: 1,
							Deadline: time.Now().Add(time.Minute), IsOwn: func(h http.Header) bool { return h.Get("Own") == "1" }}
						if way == "long body" {
							req.Body = make([]byte, 4<<20)
							req.Length = int64(len(req.Body))
						}
						if way == "relay" {
							req.Via = "relay"
						}
						resp, _, err := pool.Do(context.Background(), addr, req)
						if err != nil {
							return err
						}
						defer resp.Close()
						_, err = io.ReadAll(resp)
						return err
					}
					for cut := range len(answer) {
						if way == "long body" && cut%5 > 0 {
							continue // each takes longer
						}
						if way == "kept connection" {
							require.NoError(t, call("/whole"))
						}
						before := dials
						err := call(fmt.Sprintf("/%d", cut))
						require.Error(t, err, "cut after %q", answer[:cut])
						require.False(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
						require.False(t, way == "kept connection" && dials > before, "it was not sent on the kept connection")
					}
				})
			}
		}
	}
}
