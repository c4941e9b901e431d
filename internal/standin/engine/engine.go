// Package engine is a stand-in for a model engine, for tests. It simulates continuous batching with a step time, a
// bounded prefix cache whose events are delayed and have gaps, a delayed load report, cancellation, reattaching to a
// stream at an offset, and export and import of the KV cache. On command it slows down, freezes, crashes or returns
// faulty responses.
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

// Options configure an engine.
type Options struct {
	Model string
	// Batch is the number of requests that run at once. Further ones wait inside the engine in order of arrival.
	Batch int
	// Step is the duration of a step with one request; each further request adds StepPerSeq.
	Step       time.Duration
	StepPerSeq time.Duration
	// PrefillPerStep is the number of prompt tokens that one step can prefill.
	PrefillPerStep int
	// CacheEntries is the capacity of the prefix cache, in prefixes.
	CacheEntries int
	// ReportLag is the delay of the load report and of the cache events.
	ReportLag time.Duration
	// EventGap, if not zero, drops every n-th cache event.
	EventGap int
	// StreamGrace is how long a stream continues after its client has disconnected.
	StreamGrace time.Duration
}

// DefaultOptions returns the options of an engine of medium speed.
func DefaultOptions() Options {
	return Options{Model: "m", Batch: 8, Step: 5 * time.Millisecond, StepPerSeq: 100 * time.Microsecond, PrefillPerStep: 512,
		CacheEntries: 512, ReportLag: 300 * time.Millisecond, EventGap: 7, StreamGrace: 3 * time.Second}
}

// sequence is one request in the engine.
type sequence struct {
	id           string
	seed         uint64
	prompt       int // tokens
	cachedPrompt int // prompt tokens found in the cache
	prefilled    int
	wantTokens   int // tokens of the complete response
	produced     int
	imported     bool
	ended        bool
	suspended    bool
	readers      int
	lastRead     time.Time
	hashes       []uint64
	changed      chan struct{}
	started      time.Time
	delivered    int
}

func (s *sequence) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Stats are the engine's counters.
type Stats struct {
	Runs map[string]int `json:"runs"` // by request ID
	// StartedAt is when each request started for the first time, by request ID.
	StartedAt       map[string]time.Time `json:"begun"`
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

func newStats() Stats { return Stats{Runs: map[string]int{}, StartedAt: map[string]time.Time{}} }

// Mode selects the engine's faults. The zero value has none.
type Mode struct {
	SlowFactor     float64 `json:"slow"`      // factor on the step time; values up to 1 have no effect
	Frozen         bool    `json:"frozen"`    // runs no steps, and does not respond to reattaching
	CutEvery       int     `json:"cut_every"` // cuts the connection after this many tokens
	Truncate       bool    `json:"short"`     // ends each response early once, without an end mark
	WrongRequestID bool    `json:"crossed"`   // sends one chunk with another request's ID on each connection
	SkipToken      bool    `json:"gap"`       // omits one token on each connection
	EarlyDone      bool    `json:"early_end"` // sends [DONE] early, once per request
	CrashText      string  `json:"deadly"`    // a prompt that contains this text crashes the engine, which restarts at once
}

// Engine is a stand-in for a model engine. Its methods are safe for concurrent use.
type Engine struct {
	opt          Options
	mu           sync.Mutex
	sequences    map[string]*sequence
	batch        []*sequence
	waiting      []*sequence
	stats        Stats
	mode         Mode
	cache        *list.List
	cacheIndex   map[uint64]*list.Element
	evicted      []eviction
	lastEviction uint64
	reports      []loadReport
	stop         chan struct{}
	done         chan struct{}
	kick         chan struct{}
}

type eviction struct {
	seq  uint64
	at   time.Time
	hash uint64
}

type loadReport struct {
	at               time.Time
	running, waiting int
}

// New returns a running engine. Close stops it.
func New(opt Options) *Engine {
	e := &Engine{opt: opt, sequences: map[string]*sequence{}, stats: newStats(), cache: list.New(),
		cacheIndex: map[uint64]*list.Element{}, stop: make(chan struct{}), done: make(chan struct{}), kick: make(chan struct{}, 1)}
	go e.loop()
	return e
}

// Close stops the engine's steps and waits until the current one has ended.
func (e *Engine) Close() {
	close(e.stop)
	<-e.done
}

// SetMode replaces the active faults.
func (e *Engine) SetMode(m Mode) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mode = m
}

// Stats returns a copy of the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats
	s.Runs, s.StartedAt = maps.Clone(e.stats.Runs), maps.Clone(e.stats.StartedAt)
	s.Running, s.Waiting = len(e.batch), len(e.waiting)
	return s
}

// ResetStats sets all counters to zero.
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

// step runs one step, which advances every request in the batch by one token or by a part of its prefill. It returns
// the step's duration.
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
	e.removeFinished()
	e.recordLoad()
	d := e.opt.Step + time.Duration(max(0, len(e.batch)-1))*e.opt.StepPerSeq
	if e.mode.SlowFactor > 1 {
		d = time.Duration(float64(d) * e.mode.SlowFactor)
	}
	return d
}

func (e *Engine) advance(s *sequence, budget int) int {
	if remaining := s.prompt - s.cachedPrompt - s.prefilled; remaining > 0 {
		n := min(budget, remaining)
		s.prefilled += n
		e.stats.PrefillComputed += int64(n)
		if s.prefilled+s.cachedPrompt >= s.prompt {
			e.cachePrefixes(s.hashes)
		}
		return budget - n
	}
	if s.produced < s.wantTokens {
		s.produced++
		e.stats.TokensProduced++
	}
	if s.produced >= s.wantTokens {
		s.ended = true
	}
	s.notify()
	return budget
}

// removeFinished removes finished and suspended requests from the batch.
func (e *Engine) removeFinished() {
	kept := e.batch[:0]
	for _, s := range e.batch {
		if !s.ended && !s.suspended {
			kept = append(kept, s)
		}
	}
	e.batch = kept
}

// expire removes requests that have had no client for StreamGrace, and cancels those still running.
func (e *Engine) expire() {
	for id, s := range e.sequences {
		if s.readers > 0 || time.Since(s.lastRead) < e.opt.StreamGrace {
			continue
		}
		e.discard(s)
		delete(e.sequences, id)
	}
}

// discard ends a request. Its work counts as wasted unless the response was delivered or the request suspended.
func (e *Engine) discard(s *sequence) {
	if !s.ended && !s.suspended || s.delivered < s.wantTokens && !s.suspended {
		e.stats.PrefillWasted += int64(s.prefilled)
		e.stats.TokensWasted += int64(s.produced)
	}
	s.ended = true
	e.batch = remove(e.batch, s)
	e.waiting = remove(e.waiting, s)
	s.notify()
}

func remove(list []*sequence, s *sequence) []*sequence {
	out := list[:0]
	for _, v := range list {
		if v != s {
			out = append(out, v)
		}
	}
	return out
}

func (e *Engine) recordLoad() {
	e.reports = append(e.reports, loadReport{time.Now(), len(e.batch), len(e.waiting)})
	for len(e.reports) > 1 && time.Since(e.reports[1].at) > e.opt.ReportLag {
		e.reports = e.reports[1:]
	}
}

// cachePrefixes adds prefixes to the cache and evicts the least recently used ones.
func (e *Engine) cachePrefixes(hashes []uint64) {
	for _, h := range hashes {
		if el, ok := e.cacheIndex[h]; ok {
			e.cache.MoveToBack(el)
			continue
		}
		e.cacheIndex[h] = e.cache.PushBack(h)
		if e.cache.Len() > e.opt.CacheEntries {
			old := e.cache.Remove(e.cache.Front()).(uint64)
			delete(e.cacheIndex, old)
			e.lastEviction++
			if e.opt.EventGap == 0 || e.lastEviction%uint64(e.opt.EventGap) != 0 {
				e.evicted = append(e.evicted, eviction{e.lastEviction, time.Now(), old})
			}
			if len(e.evicted) > 4096 {
				e.evicted = e.evicted[1:]
			}
		}
	}
}

// cachedTokens returns the number of prompt tokens whose prefix is cached.
func (e *Engine) cachedTokens(hashes []uint64, prompt int) int {
	const firstBlock = 64
	for i := len(hashes) - 1; i >= 0; i-- {
		if _, ok := e.cacheIndex[hashes[i]]; ok {
			return min(prompt, firstBlock<<i)
		}
	}
	return 0
}

// admit adds a request to the queue. It returns false, with the existing request, if the ID is already known.
func (e *Engine) admit(id, prompt string, want int) (*sequence, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Runs[id]++
	if e.stats.Runs[id] == 1 {
		e.stats.StartedAt[id] = time.Now()
	}
	if s, ok := e.sequences[id]; ok {
		return s, false
	}
	tokens := len(prompt)/product.BytesPerToken + 1
	s := &sequence{id: id, seed: Seed(prompt), prompt: tokens, wantTokens: want, hashes: product.PrefixHashes(prompt),
		changed: make(chan struct{}), started: time.Now(), lastRead: time.Now()}
	s.cachedPrompt = e.cachedTokens(s.hashes, tokens)
	e.sequences[id] = s
	e.waiting = append(e.waiting, s)
	if e.mode.CrashText != "" && strings.Contains(prompt, e.mode.CrashText) {
		time.AfterFunc(crashDelay, e.crash)
	}
	return s, true
}

// crashDelay is how long a prompt with Mode.CrashText runs before the engine crashes.
const crashDelay = 20 * time.Millisecond

// crash simulates a crash of the process with an immediate restart: all streams are cut and unknown afterwards.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Crashes++
	for id, s := range e.sequences {
		e.discard(s)
		delete(e.sequences, id)
	}
}

// Seed derives the seed of a response from its prompt, so that a test can check which prompt a response belongs to.
func Seed(prompt string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(prompt))
	return h.Sum64()
}

// Token returns the i-th token of the response with this seed.
func Token(seed uint64, i int) string {
	return strconv.FormatUint((seed>>(uint(i)%32))%9973, 36) + "-" + strconv.Itoa(i) + " "
}

// Answer returns the complete response to a prompt.
func Answer(prompt string, tokens int) string {
	seed := Seed(prompt)
	out := ""
	for i := 0; i < tokens; i++ {
		out += Token(seed, i)
	}
	return out
}
