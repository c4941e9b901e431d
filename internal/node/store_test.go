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

// returning is a store that comes back from an older copy while a watch waits, and answers the watch all the same.
type returning struct {
	lists, watches int
	stop           context.CancelFunc
}

// List implements Store.
func (s *returning) List(context.Context, bool) (Listing, error) {
	s.lists++
	return Listing{AsOf: routing.Revision{Era: uint64(s.lists), Number: 100}}, nil
}

// Watch implements Store.
func (s *returning) Watch(context.Context, uint64, time.Duration) (Listing, error) {
	if s.watches++; s.lists == 1 && s.watches < 5 {
		return Listing{AsOf: routing.Revision{Era: 2, Number: 120}}, nil
	}
	s.stop()
	return Listing{}, errors.New("stopped")
}

// Compacted implements Store.
func (s *returning) Compacted(error) bool { return false }

// A watch is answered in another era than its listing: the answer has the changes since a revision of something else, and lacks
// what the store has lost. It is not taken; all is read anew, at once and once, and the store counts as one that answers.
func TestWatchOfAnotherEraLeadsToAListing(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	s := &returning{stop: stop}
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

// lagging is a store whose listing is some seconds old and whose watch fails.
type lagging struct {
	compacted bool
	fresh     []bool
	stop      context.CancelFunc
}

// List implements Store.
func (s *lagging) List(_ context.Context, fresh bool) (Listing, error) {
	if s.fresh = append(s.fresh, fresh); len(s.fresh) == 2 {
		s.stop()
		return Listing{}, errors.New("stopped")
	}
	return Listing{AsOf: routing.Revision{Number: 100}, Old: true}, nil
}

// Watch implements Store.
func (s *lagging) Watch(context.Context, uint64, time.Duration) (Listing, error) {
	return Listing{}, errors.New("failed")
}

// Compacted implements Store.
func (s *lagging) Compacted(error) bool { return s.compacted }

// Guards against a host that knows nothing as the store fails right after an old listing, and against one that goes by such a listing
// though the store says that too much has changed since.
func TestOldListingIsUsedOnlyWhereTheStoreIsAway(t *testing.T) {
	for _, compacted := range []bool{false, true} {
		ctx, stop := context.WithCancel(t.Context())
		s := &lagging{compacted: compacted, stop: stop}
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
