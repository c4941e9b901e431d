package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"fireflyshift/internal/router"
	"fireflyshift/internal/routing"
	"fireflyshift/internal/telemetry"
	"fireflyshift/internal/timing"
)

// Listing is what the platform's store says: everything at once, or what has changed.
type Listing struct {
	routing.Changes
	// AsOf is the store's revision; a watch goes on from it.
	AsOf routing.Revision
	// Old tells that the store has changed since, so that a watch from there answers at once.
	Old bool
}

// Store is the platform's metadata store, which can only be read.
type Store interface {
	// List reads all. Unless fresh, backend servers may be some seconds old, as AsOf tells, which costs less; a watch from there
	// tells what has changed since.
	List(ctx context.Context, fresh bool) (Listing, error)
	// Watch waits for changes after a revision's number. The answer may be of another era.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Listing, error)
	// Compacted tells that a watch failed because its history is gone.
	Compacted(err error) bool
}

const (
	// watchWait is how long a watch stays open, and watchSpread the random part: a watch whose
	// answer was lost hears nothing more, and hosts that watch at unlike times still hear of each
	// other what one of them missed.
	watchWait   = 2 * time.Second
	watchSpread = 1 * time.Second
	// sharedWait, sharedSpread and sharedPause hold where few hosts read for many: the others rely on
	// their being in contact, so that silence must show soon.
	sharedWait   = 1200 * time.Millisecond
	sharedSpread = 300 * time.Millisecond
	sharedPause  = 600 * time.Millisecond
	// retryFirst to retryMost pace the calls to a store that fails.
	retryFirst = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// watchPause spaces the calls of a busy watch: each is paid for.
	watchPause = 40 * time.Millisecond
)

// errOtherEra tells that the store has come back from an older copy while a watch waited: what it says of changes since a
// revision of before leaves out what was lost.
var errOtherEra = errors.New("the store is in another era than the listing")

// storeReader keeps the reducer told of what the store says.
type storeReader struct {
	store   Store
	post    func(router.Event)
	log     zerolog.Logger
	metrics telemetry.Metrics
}

// toggle starts and stops the reading.
type toggle struct {
	ctx context.Context
	run func(ctx context.Context, shared *atomic.Bool)
	// shared tells a reading that goes on whether other hosts rely on it.
	shared atomic.Bool
	cancel context.CancelFunc
}

// set is called by the control thread only. A reading that goes on is not begun anew: its listing is the dearest part of it.
func (t *toggle) set(on, shared bool) {
	t.shared.Store(shared)
	if on == (t.cancel != nil) {
		return
	}
	if !on {
		t.cancel()
		t.cancel = nil
		return
	}
	ctx, cancel := context.WithCancel(t.ctx)
	t.cancel = cancel
	go t.run(ctx, &t.shared)
}

// run lists and then watches, until ctx ends.
func (s *storeReader) run(ctx context.Context, shared *atomic.Bool) {
	pause, fresh := retryFirst, false
	for ctx.Err() == nil {
		err := s.follow(ctx, shared, fresh, func() { pause = retryFirst })
		if ctx.Err() != nil {
			return
		}
		s.metrics.Count("store.failures", 1)
		s.log.Warn().Err(err).Dur("pause", pause).Msg("The store gave no news.")
		again := s.outdated(err)
		s.post(router.StoreStatus{OK: again})
		fresh = again // what is some seconds old may be older than the history that is left
		if again {
			continue
		}
		timing.Sleep(ctx, pause/2+time.Duration(rand.Int64N(int64(pause))))
		pause = min(retryMost, pause*2)
	}
}

// follow lists once and watches from there until a call fails. A failed watch leads to a new
// listing: the store may have changed meanwhile in a way that a watch no longer tells.
func (s *storeReader) follow(ctx context.Context, shared *atomic.Bool, fresh bool, worked func()) error {
	s.metrics.Count("store.calls", 2)
	all, err := s.store.List(ctx, fresh)
	if err != nil {
		return err
	}
	worked()
	held := all.Old
	if !held {
		s.postListing(all)
	}
	after := all.AsOf
	for first := true; ctx.Err() == nil; first = false {
		s.metrics.Count("store.calls", 1)
		atLeast, spread, between := watchWait, watchSpread, watchPause
		if first || shared.Load() { // others may begin to rely on a host that has just started
			atLeast, spread, between = sharedWait, sharedSpread, sharedPause
		}
		wait := atLeast + time.Duration(rand.Int64N(int64(spread)))
		l, err := s.store.Watch(ctx, after.Number, wait)
		if err == nil && l.AsOf.Era != after.Era {
			err = errOtherEra
		}
		if err != nil {
			if held && ctx.Err() == nil && !s.outdated(err) {
				s.postListing(all) // the store is away: an old listing serves better than none
			}
			return err
		}
		if held {
			held = false
			s.postListing(upToDate(all, l))
		} else {
			s.post(router.Update{Changes: l.Changes, After: after, AsOf: l.AsOf, Revision: revisionOf(l.Changes), FromStore: true})
		}
		after = routing.Latest(after, l.AsOf)
		if len(l.Backends) > 0 || len(l.Evacuations) > 0 || l.Config != nil {
			timing.Sleep(ctx, between)
		}
	}
	return nil
}

func (s *storeReader) postListing(l Listing) {
	s.post(router.Update{Changes: l.Changes, Full: true, AsOf: l.AsOf, Revision: revisionOf(l.Changes), FromStore: true})
}

// outdated tells that a watch failed because what was listed before says too little of the store as it is now.
func (s *storeReader) outdated(err error) bool {
	return s.store.Compacted(err) || errors.Is(err, errOtherEra)
}

// upToDate is a listing with what has changed since, in the order of the changes.
func upToDate(all, since Listing) Listing {
	all.Backends = append(all.Backends, since.Backends...)
	all.Evacuations = append(all.Evacuations, since.Evacuations...)
	if since.Config != nil {
		all.Config = since.Config
	}
	all.AsOf, all.Old = since.AsOf, false
	return all
}

// revisionOf is the highest revision among changes. The store's own revision also moves for keys
// that hosts do not follow, and would make hosts look unlike that know the same.
func revisionOf(c routing.Changes) routing.Revision {
	var rev routing.Revision
	for _, b := range c.Backends {
		rev = routing.Latest(rev, b.Revision)
	}
	for _, e := range c.Evacuations {
		rev = routing.Latest(rev, e.Revision)
	}
	return rev
}
