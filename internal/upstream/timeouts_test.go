package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pausingServer answers each request after a pause in which its receive window is closed: it reads the head, and the
// body only afterwards.
func pausingServer(t *testing.T, pause time.Duration) (addr string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go servePausing(c, pause)
		}
	}()
	return l.Addr().String()
}

func servePausing(c net.Conn, pause time.Duration) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		time.Sleep(pause)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"); err != nil {
			return
		}
	}
}

// largeBody is more than a receive window that is not read.
var largeBody = bytes.Repeat([]byte("b"), 4<<20)

func postLarge(pool *Pool, addr string, deadline time.Time) (string, error) {
	resp, _, err := pool.Do(context.Background(), addr, &Request{Method: http.MethodPost, Target: "/x", Host: "h", Header: http.Header{},
		Body: largeBody, Length: int64(len(largeBody)), Deadline: deadline, MaxIdle: 1, IsOwn: func(http.Header) bool { return true }})
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp)
	return string(body), err
}

// Guards against ending an exchange with a sound server that takes nothing for seconds and then goes on.
func TestServerThatPausesForSecondsAnswers(t *testing.T) {
	for _, pause := range []time.Duration{1300 * time.Millisecond, 1600 * time.Millisecond, 2500 * time.Millisecond} {
		t.Run(pause.String(), func(t *testing.T) {
			t.Parallel()
			body, err := postLarge(NewPool(func() {}), pausingServer(t, pause), time.Now().Add(time.Minute))
			require.NoError(t, err)
			require.Equal(t, "whole", body)
		})
	}
}
