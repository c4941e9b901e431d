package telemetry

import (
	"bytes"
	"io"
	"sync"
	"time"

	"github.com/gravitational/trace"
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

	mu sync.Mutex // held for operations in memory only
	// unsettled is the number of lines that are neither written nor dropped yet.
	unsettled int64
	closed    bool // no line is accepted any more
	abandoned bool // the remaining lines have been counted as dropped
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
	q.unsettled++
	select {
	case q.lines <- line:
		return len(p), nil
	default:
	}
	select {
	case oldest := <-q.lines:
		q.unsettled--
		q.dropped.Inc(1)
		recycle(oldest)
	default: // run has made room in the meantime
	}
	q.lines <- line // does not block: lines are added under the mutex only
	return len(p), nil
}

// run writes queued lines until the queue is closed and empty, or abandoned.
func (q *lineQueue) run() {
	defer close(q.ended)
	for line := range q.lines {
		_, err := q.out.Write(line.Bytes())
		if !q.settle(err) {
			return
		}
		recycle(line)
	}
}

// settle records the result of a write. It returns false if the queue has been abandoned.
func (q *lineQueue) settle(err error) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.abandoned {
		if err == nil {
			q.dropped.Dec(1) // abandon counted the line while it was being written
		}
		return false
	}
	q.unsettled--
	if err != nil {
		q.dropped.Inc(1)
	}
	return true
}

// Close accepts no more lines and returns when those queued are written, at the latest after limit. It returns an error
// if it gave up the remaining ones, which then count as dropped. The one that is being written counts as dropped until its
// write has succeeded.
func (q *lineQueue) Close(limit time.Duration) error {
	q.mu.Lock()
	if !q.closed {
		q.closed = true
		close(q.lines)
	}
	q.mu.Unlock()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-q.ended:
		return nil
	case <-timer.C:
		return q.abandon(limit)
	}
}

func (q *lineQueue) abandon(limit time.Duration) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	lost := q.unsettled
	q.abandoned, q.unsettled = true, 0
	q.dropped.Inc(lost)
	if lost == 0 {
		return nil
	}
	return trace.LimitExceeded("%d log lines were not read within %s and are lost; check the program that reads the log", lost, limit)
}

// recycle returns a line's buffer to the pool.
func recycle(line *bytes.Buffer) {
	if line.Cap() > maxPooledLine {
		return
	}
	line.Reset()
	linePool.Put(line)
}
