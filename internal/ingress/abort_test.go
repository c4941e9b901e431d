package ingress

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against half an answer that looks complete to a caller of HTTP/1.0, to which only the end of the connection marks the end of
// an answer without a length. A whole one must still end in order.
func TestAbortedAnswersAreResetForOldCallers(t *testing.T) {
	certified := httptest.NewTLSServer(nil)
	defer certified.Close()
	for _, secure := range []bool{false, true} {
		for _, end := range []string{"complete", "abort", "server closes"} {
			t.Run(fmt.Sprintf("%s, TLS %t", end, secure), func(t *testing.T) {
				l, err := net.Listen("tcp", "127.0.0.1:0")
				require.NoError(t, err)
				dial := func() (net.Conn, error) { return net.Dial("tcp", l.Addr().String()) }
				served := net.Listener(l)
				if secure {
					served = tls.NewListener(l, &tls.Config{Certificates: certified.TLS.Certificates})
					dial = func() (net.Conn, error) {
						return tls.Dial("tcp", l.Addr().String(), &tls.Config{InsecureSkipVerify: true})
					}
				}
				c := New()
				halfRead := make(chan struct{})
				srv := &http.Server{}
				srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					_, _ = io.WriteString(w, "half")
					_ = http.NewResponseController(w).Flush()
					<-halfRead
					switch end {
					case "abort":
						panic(http.ErrAbortHandler)
					case "server closes":
						_ = srv.Close()
					}
				})
				c.Guard(srv, http.NotFoundHandler())
				go func() { _ = srv.Serve(c.Listener(served)) }()
				defer srv.Close()
				conn, err := dial()
				require.NoError(t, err)
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(testTimeout))
				_, err = io.WriteString(conn, "GET / HTTP/1.0\r\n\r\n")
				require.NoError(t, err)
				got := make([]byte, 0, 1<<10)
				for len(got) < 4 || string(got[len(got)-4:]) != "half" {
					piece := make([]byte, 1<<10)
					n, err := conn.Read(piece)
					require.NoError(t, err)
					got = append(got, piece[:n]...)
				}
				close(halfRead)
				_, err = io.ReadAll(conn)
				require.Equal(t, end == "complete", err == nil, "%v", err)
			})
		}
	}
}
