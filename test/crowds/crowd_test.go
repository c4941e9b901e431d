package crowds

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crowd is a number of connections that send at once and then stay open, until leave is called or the host closes them.
type crowd struct {
	left chan struct{}
	wg   sync.WaitGroup
	// sent has one entry for each connection that has written what it wanted, or was closed.
	sent chan struct{}
	size int
}

// sender writes what one member of a crowd sends.
type sender func(i int, c net.Conn) error

// errUnread is returned by a sender whose member stays and reads nothing.
var errUnread = errors.New("the answers stay unread")

// comeBackPause is how soon a member whose connection was closed opens another one.
const comeBackPause = 250 * time.Millisecond

// gather starts a crowd. With comesBack, a member whose connection the host has closed opens another one.
func (b *bed) gather(addr string, size int, comesBack bool, send sender) *crowd {
	return gatherAt(b.t, addr, size, comesBack, send)
}

func gatherAt(t *testing.T, addr string, size int, comesBack bool, send sender) *crowd {
	c := &crowd{left: make(chan struct{}), sent: make(chan struct{}, size), size: size}
	for i := range size {
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			for first := true; first || comesBack; first = false {
				if !c.member(addr, i, first, send) {
					return
				}
			}
		}()
	}
	t.Cleanup(c.leave)
	return c
}

// member opens one connection and stays until it is closed. It reports whether the crowd is still there.
func (c *crowd) member(addr string, i int, first bool, send sender) bool {
	conn, err := net.DialTimeout("tcp", addr, waitTimeout)
	if err == nil {
		stop := make(chan struct{})
		go func() {
			select {
			case <-c.left:
			case <-stop:
			}
			_ = conn.Close()
		}()
		if err = send(i, conn); first {
			c.sent <- struct{}{}
		}
		switch {
		case errors.Is(err, errUnread):
			<-c.left
		case err == nil:
			_, _ = io.Copy(io.Discard, conn)
		}
		close(stop)
	} else if first {
		c.sent <- struct{}{}
	}
	select {
	case <-c.left:
		return false
	case <-time.After(comeBackPause):
		return true
	}
}

// awaitSent waits until each member has sent all or was closed, or until time is up: a host need not read all.
func (c *crowd) awaitSent(limit time.Duration) {
	end := time.After(limit)
	for range c.size {
		select {
		case <-c.sent:
		case <-end:
			return
		}
	}
}

func (c *crowd) leave() {
	select {
	case <-c.left:
	default:
		close(c.left)
	}
	c.wg.Wait()
}

// settle is how long a crowd has for what it sends.
const settle = 5 * time.Second

// endure runs a crowd at the callers' port and checks the host beside it and after it.
func (b *bed) endure(size int, comesBack bool, send sender) {
	b.t.Helper()
	b.endureAt(b.callers(), size, comesBack, send)
}

func (b *bed) endureAt(addr string, size int, comesBack bool, send sender) {
	b.t.Helper()
	c := b.gather(addr, size, comesBack, send)
	c.awaitSent(settle)
	b.requireServesBeside()
	c.leave()
	b.requireServes("after the crowd has gone")
	b.requireWithinLimits()
}

// besideCrowd is the number of ordinary requests that are sent while a crowd stays, over several returns of its members.
const besideCrowd = 10

// requireServesBeside checks that ordinary callers are answered while a crowd stays.
func (b *bed) requireServesBeside() {
	b.t.Helper()
	for range besideCrowd {
		b.requireServes("while the crowd stays")
		time.Sleep(comeBackPause / 2)
	}
}

// head returns the head of a request without its last empty line.
func (b *bed) head(lines ...string) string {
	return "POST /browse/x HTTP/1.1\r\nHost: " + domain + "\r\nX-Fireflyshift-Attempt-Id: " + b.nextID() + "\r\nX-Fireflyshift-Credential: " + key + "\r\n" +
		strings.Join(append(lines, ""), "\r\n")
}

// sends writes text at once.
func sends(text func() string) sender {
	return func(_ int, c net.Conn) error {
		_, err := io.WriteString(c, text())
		return err
	}
}

// repeats writes a piece again and again, up to a number of bytes.
func repeats(begin func() string, piece string, total int) sender {
	block := []byte(strings.Repeat(piece, max(1, (32<<10)/len(piece))))
	return func(_ int, c net.Conn) error {
		if _, err := io.WriteString(c, begin()); err != nil {
			return err
		}
		for n := 0; n < total; n += len(block) {
			if _, err := c.Write(block); err != nil {
				return err
			}
		}
		return nil
	}
}

func nothing() string { return "" }

// bodyShortOfItsEnd sends a body with a length but for its last byte, in pieces of the given size.
func (b *bed) bodyShortOfItsEnd(length, piece int) sender {
	block := bytes.Repeat([]byte{'b'}, piece)
	return func(_ int, c net.Conn) error {
		if _, err := io.WriteString(c, b.head(fmt.Sprintf("Content-Length: %d", length), "")); err != nil {
			return err
		}
		for left := length - 1; left > 0; left -= len(block) {
			if _, err := c.Write(block[:min(len(block), left)]); err != nil {
				return err
			}
		}
		return nil
	}
}

// chunksShortOfTheEnd sends a body in chunks of the given size, without the last chunk.
func (b *bed) chunksShortOfTheEnd(length, size int) sender {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, strings.Repeat("c", size))
	block := []byte(strings.Repeat(chunk, max(1, (32<<10)/len(chunk))))
	perBlock := len(block) / len(chunk) * size
	return func(_ int, c net.Conn) error {
		if _, err := io.WriteString(c, b.head("Transfer-Encoding: chunked", "")); err != nil {
			return err
		}
		for sent := 0; sent+perBlock <= length; sent += perBlock {
			if _, err := c.Write(block); err != nil {
				return err
			}
		}
		return nil
	}
}

// manyNames is a head of very short lines with different names, without its end.
func (b *bed) manyNames(total int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var sb strings.Builder
	sb.WriteString(b.head())
	for i := 0; sb.Len() < total; i++ {
		n := i
		for range 3 {
			sb.WriteByte(letters[n%len(letters)])
			n /= len(letters)
		}
		sb.WriteString(":\r\n")
	}
	return sb.String()
}

// requireAnswered checks that a single request is served.
func (b *bed) requireAnswered(what string, send sender) {
	b.t.Helper()
	c, err := net.Dial("tcp", b.callers())
	require.NoError(b.t, err)
	defer c.Close()
	require.NoError(b.t, c.SetDeadline(time.Now().Add(2*waitTimeout)))
	require.NoError(b.t, send(0, c), what)
	line := make([]byte, len("HTTP/1.1 200"))
	_, err = io.ReadFull(c, line)
	require.NoError(b.t, err, what)
	require.Equal(b.t, "HTTP/1.1 200", string(line), what)
}
