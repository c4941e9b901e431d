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

// Listing is the content of the platform's store, or the changes since a revision.
type Listing struct {
	routing.Changes
	// AsOf is the store's revision, from which a watch can continue.
	AsOf routing.Revision
	// Stale reports that the store has changed since AsOf, so that a watch from there returns at once.
	Stale bool
}

// Store reads the platform's metadata store.
type Store interface {
	// List reads everything. Unless fresh is set, backend servers may be some seconds stale, which costs less. A watch from AsOf
	// returns what has changed since.
	List(ctx context.Context, fresh bool) (Listing, error)
	// Watch waits for changes after a revision number. The result may belong to another era.
	Watch(ctx context.Context, after uint64, wait time.Duration) (Listing, error)
	// Compacted reports whether a watch failed because the store has compacted the history.
	Compacted(err error) bool
}

const (
	// watchWait is how long a watch stays open; watchSpread is a random addition. A watch whose response was lost
	// returns nothing more. Since hosts watch at different times, they still get from each other what one of
	// them missed.
	watchWait   = 2 * time.Second
	watchSpread = 1 * time.Second
	// sharedWait, sharedSpread and sharedPause apply if few hosts read the store for many: the others depend on
	// their contact with the store, so that its loss must be noticed soon.
	sharedWait   = 1200 * time.Millisecond
	sharedSpread = 300 * time.Millisecond
	sharedPause  = 600 * time.Millisecond
	// minRetryDelay and maxRetryDelay limit the back-off between calls to a failing store.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// watchPause is the pause between the calls of a busy watch, since each call is charged.
	watchPause = 40 * time.Millisecond
)

// errEraChanged reports that the store was restored from an older copy while a watch was open. The changes that it returns since
// a revision of the previous era do not include the lost writes.
var errEraChanged = errors.New("the store is in another era than the listing")

// storeReader reads the store and posts its changes to the reducer.
type storeReader struct {
	store   Store
	post    func(router.Event)
	log     zerolog.Logger
	metrics telemetry.Metrics
}

// toggle starts and stops a background reader.
type toggle struct {
	ctx context.Context
	run func(ctx context.Context, shared *atomic.Bool)
	// shared informs a running reader whether other hosts depend on it.
	shared atomic.Bool
	cancel context.CancelFunc
}

// set must only be called by the control thread. It does not restart a running reader, as the listing is its most expensive part.
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

// run lists and then watches the store, until ctx is done.
func (s *storeReader) run(ctx context.Context, shared *atomic.Bool) {
	pause, fresh := minRetryDelay, false
	for ctx.Err() == nil {
		err := s.listAndWatch(ctx, shared, fresh, func() { pause = minRetryDelay })
		if ctx.Err() != nil {
			return
		}
		s.metrics.Count("store.failures", 1)
		s.log.Warn().Err(err).Dur("pause", pause).Msg("Reading the store failed.")
		again := s.needsRelist(err)
		s.post(router.StoreStatus{OK: again})
		fresh = again // a listing that is some seconds stale may be older than the remaining history
		if again {
			continue
		}
		timing.Sleep(ctx, pause/2+time.Duration(rand.Int64N(int64(pause))))
		pause = min(maxRetryDelay, pause*2)
	}
}

// listAndWatch lists once and watches from there until a call fails. A failed watch requires a new listing, since
// the store may have changed in a way that a later watch does not report.
func (s *storeReader) listAndWatch(ctx context.Context, shared *atomic.Bool, fresh bool, onListed func()) error {
	s.metrics.Count("store.calls", 2)
	listing, err := s.store.List(ctx, fresh)
	if err != nil {
		return err
	}
	onListed()
	pending := listing.Stale
	if !pending {
		s.postListing(listing)
	}
	after := listing.AsOf
	for first := true; ctx.Err() == nil; first = false {
		s.metrics.Count("store.calls", 1)
		minWait, spread, pause := watchWait, watchSpread, watchPause
		if first || shared.Load() { // other hosts may soon depend on a host that has just started
			minWait, spread, pause = sharedWait, sharedSpread, sharedPause
		}
		wait := minWait + time.Duration(rand.Int64N(int64(spread)))
		l, err := s.store.Watch(ctx, after.Number, wait)
		if err == nil && l.AsOf.Era != after.Era {
			err = errEraChanged
		}
		if err != nil {
			if pending && ctx.Err() == nil && !s.needsRelist(err) {
				s.postListing(listing) // the store is unavailable, and a stale listing is better than none
			}
			return err
		}
		if pending {
			pending = false
			s.postListing(mergeListing(listing, l))
		} else {
			s.post(router.Update{Changes: l.Changes, After: after, AsOf: l.AsOf, Revision: latestRevision(l.Changes), FromStore: true})
		}
		after = routing.Latest(after, l.AsOf)
		if len(l.Backends) > 0 || len(l.Evacuations) > 0 || l.Config != nil {
			timing.Sleep(ctx, pause)
		}
	}
	return nil
}

func (s *storeReader) postListing(l Listing) {
	s.post(router.Update{Changes: l.Changes, Full: true, AsOf: l.AsOf, Revision: latestRevision(l.Changes), FromStore: true})
}

// needsRelist reports whether a watch failed because the previous listing is of no use any more.
func (s *storeReader) needsRelist(err error) bool {
	return s.store.Compacted(err) || errors.Is(err, errEraChanged)
}

// mergeListing appends later changes to a listing, in the order of the changes.
func mergeListing(listing, changes Listing) Listing {
	listing.Backends = append(listing.Backends, changes.Backends...)
	listing.Evacuations = append(listing.Evacuations, changes.Evacuations...)
	if changes.Config != nil {
		listing.Config = changes.Config
	}
	listing.AsOf, listing.Stale = changes.AsOf, false
	return listing
}

// latestRevision returns the highest revision among changes. The store's own revision also grows with keys that
// hosts do not read, so hosts with the same data would differ in it.
func latestRevision(c routing.Changes) routing.Revision {
	var rev routing.Revision
	for _, b := range c.Backends {
		rev = routing.Latest(rev, b.Revision)
	}
	for _, e := range c.Evacuations {
		rev = routing.Latest(rev, e.Revision)
	}
	return rev
}
