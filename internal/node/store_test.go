package node

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"fireflyshift/internal/router"
	"fireflyshift/internal/routing"
	"fireflyshift/internal/telemetry"
)

// restoredStore is a store that is restored from an older copy while a watch is open, and returns changes all the same.
type restoredStore struct {
	lists, watches int
	stop           context.CancelFunc
}

// List implements Store.
func (s *restoredStore) List(context.Context, bool) (Listing, error) {
	s.lists++
	return Listing{AsOf: routing.Revision{Era: uint64(s.lists), Number: 100}}, nil
}

// Watch implements Store.
func (s *restoredStore) Watch(context.Context, uint64, time.Duration) (Listing, error) {
	if s.watches++; s.lists == 1 && s.watches < 5 {
		return Listing{AsOf: routing.Revision{Era: 2, Number: 120}}, nil
	}
	s.stop()
	return Listing{}, errors.New("stopped")
}

// Compacted implements Store.
func (s *restoredStore) Compacted(error) bool { return false }

// A watch returns changes of another era than its listing, which do not include the writes that the store has lost. They must not
// be applied; the store must be listed again once without delay, and must count as available.
func TestWatchOfAnotherEraLeadsToAListing(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	s := &restoredStore{stop: stop}
	var posted []router.Event
	reader := &storeReader{store: s, post: func(e router.Event) { posted = append(posted, e) }, log: zerolog.Nop(), metrics: telemetry.NewMetrics()}
	reader.run(ctx, new(atomic.Bool))
	require.Equal(t, 2, s.lists)
	var asOf []routing.Revision
	for _, e := range posted {
		switch e := e.(type) {
		case router.Update:
			asOf = append(asOf, e.AsOf)
		case router.StoreStatus:
			require.True(t, e.OK)
		}
	}
	require.Equal(t, []routing.Revision{{Era: 1, Number: 100}, {Era: 2, Number: 100}}, asOf)
}

// staleStore is a store whose listing is some seconds stale and whose watch fails.
type staleStore struct {
	compacted bool
	fresh     []bool
	stop      context.CancelFunc
}

// List implements Store.
func (s *staleStore) List(_ context.Context, fresh bool) (Listing, error) {
	if s.fresh = append(s.fresh, fresh); len(s.fresh) == 2 {
		s.stop()
		return Listing{}, errors.New("stopped")
	}
	return Listing{AsOf: routing.Revision{Number: 100}, Stale: true}, nil
}

// Watch implements Store.
func (s *staleStore) Watch(context.Context, uint64, time.Duration) (Listing, error) {
	return Listing{}, errors.New("failed")
}

// Compacted implements Store.
func (s *staleStore) Compacted(error) bool { return s.compacted }

// Guards against a host that discards a stale listing although the store fails right after it, and against one that uses it although
// the store has compacted the history since.
func TestOldListingIsUsedOnlyWhereTheStoreIsAway(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		ctx, stop := context.WithCancel(t.Context())
		s := &staleStore{compacted: compacted, stop: stop}
		listed := 0
		reader := &storeReader{store: s, log: zerolog.Nop(), metrics: telemetry.NewMetrics(), post: func(e router.Event) {
			if _, ok := e.(router.Update); ok {
				listed++
			}
		}}
		reader.run(ctx, new(atomic.Bool))
		require.Equal(t, !compacted, listed == 1)
		require.Equal(t, []bool{false, compacted}, s.fresh)
	}
}
