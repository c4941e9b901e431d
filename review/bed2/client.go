package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// clientConn is a caller's connection, which carries one request at a time.
type clientConn struct {
	net.Conn
	r *bufio.Reader
}

// dialHost opens a caller's connection.
func dialHost(h *host) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", h.front(), time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{c, bufio.NewReader(c)}, nil
}

// answer is what a caller received.
type answer struct {
	status int
	stamp  string
	body   string
	// closing is set if the host has said that it closes the connection.
	closing bool
	// err is why there is no complete answer.
	err error
}

// send sends a request with a short body and further header lines, each "Name: value".
func (c *clientConn) send(method, path, attempt string, deadline time.Duration, lines ...string) error {
	const body = "body"
	more := ""
	for _, line := range lines {
		more += line + "\r\n"
	}
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Fireflyshift-Attempt-Id: %s\r\nX-Fireflyshift-Deadline-Ms: %d\r\nX-Fireflyshift-Credential: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		method, path, domain, attempt, deadline.Milliseconds(), apiKey, more, len(body), body)
	return err
}

// receive reads the answer to the last request.
func (c *clientConn) receive(timeout time.Duration) answer {
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, stamp: resp.Header.Get("X-Fireflyshift-Server-Stamp"), body: string(body), closing: resp.Close, err: err}
}
