package crowds

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Guards against limits that turn away a single legal request while nothing else is going on.
func TestSingleLegalRequestsAreServedInCalm(t *testing.T) {
	b := newBed(t, defaultLimits())
	for _, length := range []int{1, 100_000, 524_287, 524_288, 4 << 20} {
		for _, chunk := range []int{0, 1000, 32 << 10} {
			b.requireAnswered(fmt.Sprintf("%d bytes in chunks of %d", length, chunk), b.wholeBody(length, chunk, 0))
		}
	}
	b.requireAnswered("100 KB in chunks of one byte", b.wholeBody(100_000, 1, 0))
	b.requireAnswered("2 MB within four seconds", b.wholeBody(2<<20, 0, 4*time.Second))
	b.requireAnswered("100 KB in chunks within four seconds", b.wholeBody(100_000, 1000, 4*time.Second))
	for _, length := range []int{100_000, 2 << 20} {
		b.requireAnswered("a pause of four seconds in the middle", func(_ int, c net.Conn) error {
			body := strings.Repeat("b", length)
			if _, err := io.WriteString(c, b.head(fmt.Sprintf("Content-Length: %d", length), "")+body[:length/2]); err != nil {
				return err
			}
			time.Sleep(4 * time.Second)
			_, err := io.WriteString(c, body[length/2:])
			return err
		})
	}
	b.requireAnswered("a head of 15 KB", sends(func() string { return b.head("h: "+strings.Repeat("x", 15_000), "Content-Length: 0", "") }))
	b.requireAnswered("a head of 15 KB in very short lines", sends(func() string { return b.manyNames(15_000) + "Content-Length: 0\r\n\r\n" }))
	b.requireWithinLimits()
}

// wholeBody sends a body, in chunks unless chunk is zero, evenly over the given time.
func (b *bed) wholeBody(length, chunk int, over time.Duration) sender {
	return func(_ int, c net.Conn) error {
		framing, body := fmt.Sprintf("Content-Length: %d", length), strings.Repeat("b", length)
		if chunk > 0 {
			var sb strings.Builder
			for rest := body; len(rest) > 0; {
				n := min(chunk, len(rest))
				fmt.Fprintf(&sb, "%x\r\n%s\r\n", n, rest[:n])
				rest = rest[n:]
			}
			framing, body = "Transfer-Encoding: chunked", sb.String()+"0\r\n\r\n"
		}
		if _, err := io.WriteString(c, b.head(framing, "")); err != nil {
			return err
		}
		const pieces = 40
		for i := range pieces {
			if _, err := io.WriteString(c, body[len(body)*i/pieces:len(body)*(i+1)/pieces]); err != nil {
				return err
			}
			time.Sleep(over / pieces)
		}
		return nil
	}
}
