//go:build review

package main

import (
	"bufio"
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// sent is a request that a client has sent, and its answer.
type sent struct {
	id, method, target string
	body               []byte
	chunked            bool
	deadline           time.Duration
	// The answer; status is zero if there is none.
	status  int
	header  http.Header
	answer  string
	err     error
	took    time.Duration
	sum     string
	written bool // the whole request was written
}

// client is a caller with one kept connection.
type client struct {
	addr string
	conn net.Conn
	r    *bufio.Reader
	// piece and pause pace the body.
	piece int
	pause time.Duration
}

func (c *client) connect() error {
	if c.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp", c.addr, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.r = conn, bufio.NewReader(conn)
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// do sends a request and reads its answer, as clients do: an answer may arrive before the whole body is sent.
func (c *client) do(s *sent) {
	sum := sha256.Sum256(s.body)
	s.sum = hex.EncodeToString(sum[:])
	if s.err = c.connect(); s.err != nil {
		return
	}
	began := time.Now()
	_ = c.conn.SetDeadline(began.Add(s.deadline + 2*time.Second))
	wrote := make(chan error, 1)
	go func(conn net.Conn) { wrote <- c.write(conn, s) }(c.conn)
	resp, err := http.ReadResponse(c.r, &http.Request{Method: s.method})
	if err == nil {
		var data []byte
		data, err = io.ReadAll(resp.Body)
		s.status, s.header, s.answer = resp.StatusCode, resp.Header, string(data)
	}
	s.took, s.err = time.Since(began), err
	keep := err == nil && !resp.Close
	select {
	case e := <-wrote:
		s.written = e == nil
	case <-time.After(50 * time.Millisecond):
	}
	if !keep || !s.written {
		c.close()
		if !s.written {
			<-wrote
		}
	}
}

func (c *client) write(conn net.Conn, s *sent) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Fireflyshift-Attempt-Id: %s\r\nX-Fireflyshift-Credential: %s\r\nX-Fireflyshift-Deadline-Ms: %d\r\n",
		s.method, s.target, domain, s.id, key, s.deadline.Milliseconds())
	if s.chunked {
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(s.body))
	}
	if _, err := conn.Write(b.Bytes()); err != nil {
		return err
	}
	piece := c.piece
	if piece == 0 {
		piece = 64 << 10
	}
	for rest := s.body; len(rest) > 0; {
		n := min(piece, len(rest))
		b.Reset()
		if s.chunked {
			fmt.Fprintf(&b, "%x\r\n", n)
		}
		b.Write(rest[:n])
		if s.chunked {
			b.WriteString("\r\n")
		}
		if _, err := conn.Write(b.Bytes()); err != nil {
			return err
		}
		rest = rest[n:]
		time.Sleep(c.pause)
	}
	if s.chunked {
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err
	}
	return nil
}
