package gateway

import (
	"bytes"
	"io"
	"strconv"

	"github.com/gravitational/trace"
)

// maxEvent bounds one event of a stream; engines send some dozens of bytes.
const maxEvent = 1 << 20

// eventReader cuts an event stream into whole events. Only whole events are passed on: a stream
// that breaks inside one can then go on at another engine without a torn event in the middle.
type eventReader struct {
	src io.Reader
	buf []byte
	end int // bytes of buf that hold data
	at  int // start of what has not been returned
}

func newEventReader(src io.Reader) *eventReader {
	return &eventReader{src: src, buf: make([]byte, 4<<10)}
}

// next returns the whole events that are there, at least one. At the end of the stream it returns
// io.EOF, and io.ErrUnexpectedEOF where the stream ends inside an event.
func (e *eventReader) next() ([]byte, error) {
	for {
		if n := lastBoundary(e.buf[e.at:e.end]); n > 0 {
			out := e.buf[e.at : e.at+n]
			e.at += n
			return out, nil
		}
		if err := e.fill(); err != nil {
			if err == io.EOF && e.at < e.end {
				return nil, io.ErrUnexpectedEOF
			}
			return nil, err
		}
	}
}

func (e *eventReader) fill() error {
	if e.at > 0 {
		copy(e.buf, e.buf[e.at:e.end])
		e.end -= e.at
		e.at = 0
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

// lastBoundary is the end of the last whole event in b; zero if there is none.
func lastBoundary(b []byte) int {
	end := 0
	for _, sep := range [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")} {
		if i := bytes.LastIndex(b, sep); i >= 0 {
			end = max(end, i+len(sep))
		}
	}
	return end
}

// cutEvents splits whole events into single ones and calls f with each and its id; id is negative
// where an event has none.
func cutEvents(b []byte, f func(event []byte, id int64)) {
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
