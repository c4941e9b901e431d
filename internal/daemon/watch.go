package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"fireflyshift/internal/core"
	"fireflyshift/internal/engine"
)

// How often a scheduler hears each of its engines.
const (
	loadEvery   = 500 * time.Millisecond
	eventsEvery = 2 * time.Second
)

// toggle runs the watch of the platform while it is on.
type toggle struct {
	ctx    context.Context
	run    func(ctx context.Context, after uint64)
	mu     sync.Mutex
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func (t *toggle) set(on bool, after uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !on && t.cancel != nil {
		t.cancel()
		t.cancel = nil
	}
	if on && t.cancel == nil {
		ctx, cancel := context.WithCancel(t.ctx)
		t.cancel = cancel
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			t.run(ctx, after)
		}()
	}
}

// again ends the watch and begins it anew, with a read that does not wait.
func (t *toggle) again() {
	t.set(false, 0)
	t.set(true, 0)
}

// engineWatch hears the load and the cache events of the engines that this host schedules.
type engineWatch struct {
	ctx    context.Context
	client *engine.Client
	post   func(core.Event)
	mu     sync.Mutex
	active map[core.WatchedEngine]context.CancelFunc
	wg     sync.WaitGroup
}

func newEngineWatch(ctx context.Context, post func(core.Event)) *engineWatch {
	return &engineWatch{ctx: ctx, client: engine.NewClient(), post: post, active: map[core.WatchedEngine]context.CancelFunc{}}
}

// set starts and ends watches so that exactly these engines are heard.
func (w *engineWatch) set(engines []core.WatchedEngine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for e, cancel := range w.active {
		if !slices.Contains(engines, e) {
			cancel()
			delete(w.active, e)
		}
	}
	for _, e := range engines {
		if _, ok := w.active[e]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(w.ctx)
		w.active[e] = cancel
		w.repeat(ctx, eventsEvery, w.events(e))
		if e.Load {
			w.repeat(ctx, loadEvery, w.load(e))
		}
	}
}

// repeat calls f at once and then at every interval until ctx ends.
func (w *engineWatch) repeat(ctx context.Context, every time.Duration, f func(context.Context)) {
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for {
			f(ctx)
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	}()
}

func (w *engineWatch) load(e core.WatchedEngine) func(context.Context) {
	return func(ctx context.Context) {
		if l, err := w.client.Load(ctx, e.Addr); err == nil {
			w.post(core.LoadReport{Backend: e.Name, Outstanding: l.Running + l.Waiting})
		}
	}
}

func (w *engineWatch) events(e core.WatchedEngine) func(context.Context) {
	after := uint64(0)
	return func(ctx context.Context) {
		ev, err := w.client.Evictions(ctx, e.Addr, after)
		if err != nil {
			return
		}
		after = ev.Next
		if len(ev.Evicted) > 0 {
			w.post(core.CacheEvicted{Backend: e.Name, Hashes: engine.ShortHashes(ev.Evicted)})
		}
	}
}
