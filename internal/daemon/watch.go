package daemon

import (
	"context"
	"sync"
	"time"

	"fireflyshift/internal/core"
	"fireflyshift/internal/engine"
	"fireflyshift/internal/record"
)

// engineEvery is how often a scheduler hears each of its engines.
const engineEvery = time.Second

// toggle runs a function while it is on.
type toggle struct {
	ctx    context.Context
	run    func(context.Context)
	mu     sync.Mutex
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

func (t *toggle) set(on bool) {
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
			t.run(ctx)
		}()
	}
}

// engineWatch hears the load and the cache events of the engines that this host schedules.
type engineWatch struct {
	ctx    context.Context
	client *engine.Client
	post   func(core.Event)
	mu     sync.Mutex
	active map[string]watched // by backend server name
	wg     sync.WaitGroup
}

type watched struct {
	addr   string
	cancel context.CancelFunc
}

func newEngineWatch(ctx context.Context, post func(core.Event)) *engineWatch {
	return &engineWatch{ctx: ctx, client: engine.NewClient(), post: post, active: map[string]watched{}}
}

// set starts and ends watches so that exactly these engines are heard.
func (w *engineWatch) set(backends []record.Backend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	want := map[string]string{}
	for _, b := range backends {
		want[b.Name] = b.Addr
	}
	for name, a := range w.active {
		if want[name] != a.addr {
			a.cancel()
			delete(w.active, name)
		}
	}
	for name, addr := range want {
		if _, ok := w.active[name]; ok {
			continue
		}
		ctx, cancel := context.WithCancel(w.ctx)
		w.active[name] = watched{addr, cancel}
		w.wg.Add(1)
		go func() {
			defer w.wg.Done()
			w.follow(ctx, name, addr)
		}()
	}
}

func (w *engineWatch) follow(ctx context.Context, name, addr string) {
	ticker := time.NewTicker(engineEvery)
	defer ticker.Stop()
	after := uint64(0)
	for {
		if load, err := w.client.Load(ctx, addr); err == nil {
			w.post(core.LoadReport{Backend: name, Outstanding: load.Running + load.Waiting})
		}
		if ev, err := w.client.Evictions(ctx, addr, after); err == nil {
			after = ev.Next
			if len(ev.Evicted) > 0 {
				w.post(core.CacheEvicted{Backend: name, Hashes: engine.Short(ev.Evicted)})
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
