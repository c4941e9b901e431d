package wire

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an answer that a server has cut inside its head and that looks complete, and against a second call in its place.
func TestAnswersCutInsideTheirHeadsAreBroken(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
	for _, answer := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
	} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprintf("%.20q, reset %t", answer, reset), func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				defer l.Close()
				var cut, calls atomic.Int64
				go func() {
					for {
						c, err := l.Accept()
						if err != nil {
							return
						}
						go func() {
							defer c.Close()
							for r := bufio.NewReader(c); ; {
								req, err := http.ReadRequest(r)
								if err != nil {
									return
								}
								_, _ = io.Copy(io.Discard, req.Body)
								if req.URL.Path == "/whole" {
									_, _ = io.WriteString(c, whole)
									continue
								}
								calls.Add(1)
								_, _ = io.WriteString(c, answer[:cut.Load()])
								if reset {
									time.Sleep(time.Millisecond) // until the bytes have arrived
									_ = c.(*net.TCPConn).SetLinger(0)
								}
								return
							}
						}()
					}
				}()
				transport := NewTransport()
				defer transport.CloseIdleConnections()
				client := &http.Client{Transport: transport}
				call := func(path string) error {
					req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+l.Addr().String()+path, strings.NewReader("body"))
					require.NoError(t, err)
					resp, _, err := Do(client, req)
					if err != nil {
						return err
					}
					defer resp.Body.Close()
					_, err = io.ReadAll(resp.Body)
					return err
				}
				for i := range len(answer) {
					require.NoError(t, call("/whole")) // its connection is kept
					cut.Store(int64(i))
					calls.Store(0)
					require.Error(t, call("/cut"), "cut after %q", answer[:i])
					require.EqualValues(t, 1, calls.Load())
				}
			})
		}
	}
}
