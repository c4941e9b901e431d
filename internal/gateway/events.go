package gateway

import (
	"bytes"
	"io"
	"strconv"

	"github.com/gravitational/trace"
)

// maxEvent bounds one event of a stream, in bytes; engines send a few dozen. A server that sends one without an end must not
// take more of the host's memory.
const maxEvent = 256 << 10

// eventReader splits an event stream into complete events. Only complete events are passed on: a stream that breaks off
// within an event can then be resumed at another engine without a partial event in the middle.
type eventReader struct {
	src    io.Reader
	buf    []byte
	end    int // bytes of buf that hold data
	unread int // start of the data that has not been returned
	// searched is the end of the data in which no event ends, but for its last bytes.
	searched int
}

func newEventReader(src io.Reader) *eventReader {
	return &eventReader{src: src, buf: make([]byte, 4<<10)}
}

// next returns the complete events received so far, at least one. At the end of the stream it returns io.EOF, or
// io.ErrUnexpectedEOF if the stream ends within an event.
func (e *eventReader) next() ([]byte, error) {
	for {
		from := max(e.unread, e.searched-(maxBoundary-1))
		if n := lastBoundary(e.buf[from:e.end]); n > 0 {
			out := e.buf[e.unread : from+n]
			e.unread = from + n
			return out, nil
		}
		e.searched = e.end
		if err := e.fill(); err != nil {
			if err == io.EOF && e.unread < e.end {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

func (e *eventReader) fill() error {
	if e.unread > 0 {
		copy(e.buf, e.buf[e.unread:e.end])
		e.end -= e.unread
		e.searched -= e.unread
		e.unread = 0
	}
	if e.end == len(e.buf) {
		if len(e.buf) >= maxEvent {
			return trace.LimitExceeded("an event has more than %d bytes", maxEvent)
		}
		e.buf = append(e.buf, make([]byte, len(e.buf))...)
	}
	n, err := e.src.Read(e.buf[e.end:])
	e.end += n
	if n > 0 {
		return nil
	}
	return err
}

// maxBoundary is the length of the longest boundary between events.
const maxBoundary = len("\r\n\r\n")

// lastBoundary returns the end of the last complete event in b, or zero.
func lastBoundary(b []byte) int {
	end := 0
	for _, sep := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(b, sep); i >= 0 {
			end = max(end, i+len(sep))
		}
	}
	return end
}

// splitEvents calls f for each of the complete events in b with the event's ID, or -1 if it has none.
func splitEvents(b []byte, f func(event []byte, id int64)) {
	for len(b) > 0 {
		n := firstBoundary(b)
		f(b[:n], eventID(b[:n]))
		b = b[n:]
	}
}

func firstBoundary(b []byte) int {
	n := len(b)
	for _, sep := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.Index(b, sep); i >= 0 {
			n = min(n, i+len(sep))
		}
	}
	return n
}

func eventID(event []byte) int64 {
	for _, line := range bytes.Split(event, []byte("\n")) {
		v, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		if id, err := strconv.ParseInt(string(bytes.TrimSpace(v)), 10, 64); err == nil {
			return id
		}
	}
	return -1
}
