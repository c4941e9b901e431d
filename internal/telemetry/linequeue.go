package telemetry

import (
	"bytes"
	"io"
	"sync"

	"github.com/rcrowley/go-metrics"
)

const (
	// logBuffer is the number of lines that are queued for a slow collector. Later lines displace the oldest.
	logBuffer = 4096
	// maxPooledLine is the capacity in bytes above which a line's buffer is not reused, so that a few long lines do not stay in
	// memory.
	maxPooledLine = 64 << 10
)

var linePool = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// lineQueue queues lines and writes them to out on its own goroutine, so that Write never waits for out. Each line that
// Write takes ends either as written or as one count of dropped.
type lineQueue struct {
	out     io.Writer
	dropped metrics.Counter
	lines   chan *bytes.Buffer
	ended   chan struct{} // closed when the last line has been written

	mu     sync.Mutex // held for operations in memory only
	closed bool       // no line is accepted any more
}

func newLineQueue(out io.Writer, dropped metrics.Counter) *lineQueue {
	q := &lineQueue{out: out, dropped: dropped, lines: make(chan *bytes.Buffer, logBuffer), ended: make(chan struct{})}
	go q.run()
	return q
}

// Write queues a copy of one line. It never fails: a line that cannot be queued is dropped.
func (q *lineQueue) Write(p []byte) (int, error) {
	line := linePool.Get().(*bytes.Buffer)
	line.Write(p)
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed {
		q.dropped.Inc(1)
		recycle(line)
		return len(p), nil
	}
	select {
	case q.lines <- line:
		return len(p), nil
	default:
	}
	select {
	case oldest := <-q.lines:
		q.dropped.Inc(1)
		recycle(oldest)
	default: // run has made room in the meantime
	}
	q.lines <- line // does not block: lines are added under the mutex only
	return len(p), nil
}

// run writes queued lines until the queue is closed and empty.
func (q *lineQueue) run() {
	defer close(q.ended)
	for line := range q.lines {
		if _, err := q.out.Write(line.Bytes()); err != nil {
			q.dropped.Inc(1)
		}
		recycle(line)
	}
}

// Close accepts no more lines and returns when those queued are written.
func (q *lineQueue) Close() {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	<-q.ended
}

// recycle returns a line's buffer to the pool.
func recycle(line *bytes.Buffer) {
	if line.Cap() > maxPooledLine {
		return
	}
	line.Reset()
	linePool.Put(line)
}
