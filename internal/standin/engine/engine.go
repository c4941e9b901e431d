// Package engine is a small stand-in for a model engine: continuous batching with a step time, a
// bounded prefix cache whose events come late and with gaps, a lagging load report, cancel, resume
// at an offset, and export and import of KV cache. It can slow down, freeze or cut its answers on
// command. It is not part of the product.
package engine

import (
	"container/list"
	"hash/fnv"
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"

	product "fireflyshift/internal/engine"
)

// Options describe an engine.
type Options struct {
	Model string
	// Batch is how many requests run at once; more wait inside, in order of arrival.
	Batch int
	// Step is the time of one step with one request; each further one adds StepPerSeq.
	Step       time.Duration
	StepPerSeq time.Duration
	// PrefillPerStep is how many prompt tokens one step can take in.
	PrefillPerStep int
	// CacheEntries bounds the prefix cache.
	CacheEntries int
	// ReportLag is how old the load report and the cache events are.
	ReportLag time.Duration
	// EventGap drops every n-th cache event; zero drops none.
	EventGap int
	// StreamGrace is how long a stream goes on after its reader is gone.
	StreamGrace time.Duration
}

// DefaultOptions are those of a middling engine.
func DefaultOptions() Options {
	return Options{Model: "m", Batch: 8, Step: 5 * time.Millisecond, StepPerSeq: 100 * time.Microsecond, PrefillPerStep: 512,
		CacheEntries: 512, ReportLag: 300 * time.Millisecond, EventGap: 7, StreamGrace: 3 * time.Second}
}

// sequence is one request inside the engine.
type sequence struct {
	id        string
	seed      uint64
	prompt    int // tokens
	cached    int // prompt tokens found in the cache
	prefilled int
	want      int // tokens of the whole answer
	produced  int
	imported  bool
	ended     bool
	suspended bool
	readers   int
	lastRead  time.Time
	hashes    []uint64
	changed   chan struct{}
	started   time.Time
	delivered int
}

func (s *sequence) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Stats count what the engine did.
type Stats struct {
	Runs map[string]int `json:"runs"` // by request id
	// Begun is when each request was first begun, by request id.
	Begun           map[string]time.Time `json:"begun"`
	PrefillComputed int64                `json:"prefill_computed"`
	PrefillWasted   int64                `json:"prefill_wasted"`
	TokensProduced  int64                `json:"tokens_produced"`
	TokensWasted    int64                `json:"tokens_wasted"`
	Suspended       int                  `json:"suspended"`
	Crashes         int                  `json:"crashes"`
	Imported        int                  `json:"imported"`
	Running         int                  `json:"running"`
	Waiting         int                  `json:"waiting"`
	MaxRunning      int                  `json:"max_running"`
}

func newStats() Stats { return Stats{Runs: map[string]int{}, Begun: map[string]time.Time{}} }

// Mode is how the engine misbehaves.
type Mode struct {
	Slow     float64 `json:"slow"`      // factor on the step time; zero means 1
	Frozen   bool    `json:"frozen"`    // no step, no answer to new calls
	CutEvery int     `json:"cut_every"` // cuts the connection after this many tokens
	Short    bool    `json:"short"`     // ends answers early without an end mark, once each
	Crossed  bool    `json:"crossed"`   // sends one chunk under another request's id
	Gap      bool    `json:"gap"`       // leaves one token out on each connection
	EarlyEnd bool    `json:"early_end"` // sends [DONE] early, once each
	Deadly   string  `json:"deadly"`    // a prompt with this text ends the engine, which starts again at once
}

// Engine is the stand-in. Its methods are safe for concurrent use.
type Engine struct {
	opt     Options
	mu      sync.Mutex
	seqs    map[string]*sequence
	batch   []*sequence
	waiting []*sequence
	stats   Stats
	mode    Mode
	cache   *list.List
	cached  map[uint64]*list.Element
	evicted []eviction
	nextEv  uint64
	reports []report
	stop    chan struct{}
	done    chan struct{}
	kick    chan struct{}
}

type eviction struct {
	seq  uint64
	at   time.Time
	hash uint64
}

type report struct {
	at               time.Time
	running, waiting int
}

// New starts an engine; Close ends it.
func New(opt Options) *Engine {
	e := &Engine{opt: opt, seqs: map[string]*sequence{}, stats: newStats(), cache: list.New(),
		cached: map[uint64]*list.Element{}, stop: make(chan struct{}), done: make(chan struct{}), kick: make(chan struct{}, 1)}
	go e.loop()
	return e
}

// Close stops the steps.
func (e *Engine) Close() {
	close(e.stop)
	<-e.done
}

// SetMode makes the engine misbehave, or behave again.
func (e *Engine) SetMode(m Mode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode = m
}

// Stats copies the counts.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Runs, s.Begun = maps.Clone(e.stats.Runs), maps.Clone(e.stats.Begun)
	s.Running, s.Waiting = len(e.batch), len(e.waiting)
	return s
}

// ResetStats begins a new count.
func (e *Engine) ResetStats() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats = newStats()
}

func (e *Engine) loop() {
	defer close(e.done)
	next := time.Now()
	for {
		d := e.step()
		now := time.Now()
		next = next.Add(d)
		if next.Before(now) {
			next = now
		}
		select {
		case <-e.stop:
			return
		case <-time.After(time.Until(next)):
		}
	}
}

// step advances every request in the batch by one token, or by a piece of its prompt.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.mode.Frozen {
		return e.opt.Step
	}
	e.expire()
	for len(e.batch) < e.opt.Batch && len(e.waiting) > 0 {
		e.batch = append(e.batch, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	e.stats.MaxRunning = max(e.stats.MaxRunning, len(e.batch))
	budget := e.opt.PrefillPerStep
	for _, s := range e.batch {
		budget = e.advance(s, budget)
	}
	e.sweep()
	e.report()
	d := e.opt.Step + time.Duration(max(0, len(e.batch)-1))*e.opt.StepPerSeq
	if e.mode.Slow > 1 {
		d = time.Duration(float64(d) * e.mode.Slow)
	}
	return d
}

func (e *Engine) advance(s *sequence, budget int) int {
	if missing := s.prompt - s.cached - s.prefilled; missing > 0 {
		n := min(budget, missing)
		s.prefilled += n
		e.stats.PrefillComputed += int64(n)
		if s.prefilled+s.cached >= s.prompt {
			e.remember(s.hashes)
		}
		return budget - n
	}
	if s.produced < s.want {
		s.produced++
		e.stats.TokensProduced++
	}
	if s.produced >= s.want {
		s.ended = true
	}
	s.wake()
	return budget
}

// sweep takes finished requests out of the batch.
func (e *Engine) sweep() {
	kept := e.batch[:0]
	for _, s := range e.batch {
		if !s.ended && !s.suspended {
			kept = append(kept, s)
		}
	}
	e.batch = kept
}

// expire cancels what nobody reads any more, and forgets old answers.
func (e *Engine) expire() {
	for id, s := range e.seqs {
		if s.readers > 0 || time.Since(s.lastRead) < e.opt.StreamGrace {
			continue
		}
		e.drop(s)
		delete(e.seqs, id)
	}
}

// drop ends a request; what it computed and nobody got is wasted.
func (e *Engine) drop(s *sequence) {
	if !s.ended && !s.suspended || s.delivered < s.want && !s.suspended {
		e.stats.PrefillWasted += int64(s.prefilled)
		e.stats.TokensWasted += int64(s.produced)
	}
	s.ended = true
	e.batch = without(e.batch, s)
	e.waiting = without(e.waiting, s)
	s.wake()
}

func without(list []*sequence, s *sequence) []*sequence {
	out := list[:0]
	for _, v := range list {
		if v != s {
			out = append(out, v)
		}
	}
	return out
}

func (e *Engine) report() {
	e.reports = append(e.reports, report{time.Now(), len(e.batch), len(e.waiting)})
	for len(e.reports) > 1 && time.Since(e.reports[1].at) > e.opt.ReportLag {
		e.reports = e.reports[1:]
	}
}

// remember puts prefixes into the cache and evicts the least recently used.
func (e *Engine) remember(hashes []uint64) {
	for _, h := range hashes {
		if el, ok := e.cached[h]; ok {
			e.cache.MoveToBack(el)
			continue
		}
		e.cached[h] = e.cache.PushBack(h)
		if e.cache.Len() > e.opt.CacheEntries {
			old := e.cache.Remove(e.cache.Front()).(uint64)
			delete(e.cached, old)
			e.nextEv++
			if e.opt.EventGap == 0 || e.nextEv%uint64(e.opt.EventGap) != 0 {
				e.evicted = append(e.evicted, eviction{e.nextEv, time.Now(), old})
			}
			if len(e.evicted) > 4096 {
				e.evicted = e.evicted[1:]
			}
		}
	}
}

// lookup is how many prompt tokens the cache holds.
func (e *Engine) lookup(hashes []uint64, prompt int) int {
	const firstBlock = 64
	for i := len(hashes) - 1; i >= 0; i-- {
		if _, ok := e.cached[hashes[i]]; ok {
			return min(prompt, firstBlock<<i)
		}
	}
	return 0
}

// begin admits a request; it reports false if the id runs already.
func (e *Engine) begin(id, prompt string, want int) (*sequence, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Runs[id]++
	if e.stats.Runs[id] == 1 {
		e.stats.Begun[id] = time.Now()
	}
	if s, ok := e.seqs[id]; ok {
		return s, false
	}
	tokens := len(prompt)/product.BytesPerToken + 1
	s := &sequence{id: id, seed: Seed(prompt), prompt: tokens, want: want, hashes: product.PrefixHashes(prompt),
		changed: make(chan struct{}), started: time.Now(), lastRead: time.Now()}
	s.cached = e.lookup(s.hashes, tokens)
	e.seqs[id] = s
	e.waiting = append(e.waiting, s)
	if e.mode.Deadly != "" && strings.Contains(prompt, e.mode.Deadly) {
		time.AfterFunc(deadlyAfter, e.crash)
	}
	return s, true
}

// deadlyAfter is how long a deadly prompt runs before it ends the engine.
const deadlyAfter = 20 * time.Millisecond

// crash ends all that runs, as an end of the process does from which the next start follows at once: the streams are cut and
// unknown afterwards.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Crashes++
	for id, s := range e.seqs {
		e.drop(s)
		delete(e.seqs, id)
	}
}

// Seed makes an answer a function of its prompt, so that a test can tell whose answer it is.
func Seed(prompt string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt))
	return h.Sum64()
}

// Token is the i-th token of the answer to a prompt with this seed.
func Token(seed uint64, i int) string {
	return strconv.FormatUint((seed>>(uint(i)%32))%9973, 36) + "-" + strconv.Itoa(i) + " "
}

// Answer is the whole answer to a prompt.
func Answer(prompt string, tokens int) string {
	seed := Seed(prompt)
	out := ""
	for i := 0; i < tokens; i++ {
		out += Token(seed, i)
	}
	return out
}
