package daemon

import (
	"context"
	"slices"
	"sync"
	"time"

	"fireflyshift/internal/core"
	"fireflyshift/internal/engine"
)

// How often a scheduler polls each of its engines.
const (
	loadInterval      = 500 * time.Millisecond
	evictionsInterval = 2 * time.Second
)

// toggle starts and stops a watch of the platform.
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

// restart stops the watch and starts it again, with a first read that does not wait.
func (t *toggle) restart() {
	t.set(false, 0)
	t.set(true, 0)
}

// engineWatch polls the load and the cache evictions of the engines that this host schedules.
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

// set starts and stops watches so that exactly the given engines are polled.
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
		w.repeat(ctx, evictionsInterval, w.evictions(e))
		if e.Load {
			w.repeat(ctx, loadInterval, w.load(e))
		}
	}
}

// repeat calls f immediately and then once per interval until ctx is done.
func (w *engineWatch) repeat(ctx context.Context, interval time.Duration, f func(context.Context)) {
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		ticker := time.NewTicker(interval)
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

func (w *engineWatch) evictions(e core.WatchedEngine) func(context.Context) {
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
