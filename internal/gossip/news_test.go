package gossip

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"fireflyshift/internal/router"
	"fireflyshift/internal/routing"
)

// fakeSource counts the calls that reach the control thread.
type fakeSource struct {
	calls       int
	revision    uint64
	unavailable bool
}

func (s *fakeSource) Snapshot(router.Since) (router.Update, bool) {
	s.calls++
	return router.Update{Revision: routing.Revision{Number: s.revision}}, !s.unavailable
}

func revisionIn(t *testing.T, zipped []byte) uint64 {
	z, err := gzip.NewReader(bytes.NewReader(zipped))
	require.NoError(t, err)
	var n router.Update
	require.NoError(t, json.NewDecoder(z).Decode(&n))
	return n.Revision.Number
}

// All hosts of a fleet start at once and request everything from the few that have the configuration. Guards against a small
// host that encodes the same response a hundred times, which took seconds during which callers were refused. It must
// encode it once; later and different requests must get a new one.
func TestSameQuestionIsEncodedOnce(t *testing.T) {
	src, cache, at := &fakeSource{revision: 7}, &responseCache{}, time.Unix(100, 0)
	for range 100 {
		body, err := cache.body(router.Since{}, at, src)
		require.NoError(t, err)
		require.EqualValues(t, 7, revisionIn(t, body))
	}
	require.Equal(t, 1, src.calls)
	src.revision = 8
	body, err := cache.body(router.Since{Revision: routing.Revision{Number: 3}}, at, src)
	require.NoError(t, err)
	require.EqualValues(t, 8, revisionIn(t, body), "another request")
	src.revision = 9
	body, err = cache.body(router.Since{Revision: routing.Revision{Number: 3}}, at.Add(responseTTL), src)
	require.NoError(t, err)
	require.EqualValues(t, 9, revisionIn(t, body), "expired")
}

// The control thread does not respond in time. The client must get an error, not an empty update.
func TestSilentControlThreadIsAnError(t *testing.T) {
	h := Handler(&fakeSource{unavailable: true})
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, updatesPath+"?revision=0&version=0", nil))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
}

// A client that does not accept compressed responses must get uncompressed ones.
func TestUpdatesAreSentUncompressedWhereNeeded(t *testing.T) {
	h := Handler(&fakeSource{revision: 5})
	for _, encoding := range []string{"", gzipEncoding} {
		req := httptest.NewRequest(http.MethodGet, updatesPath+"?revision=0&version=0", nil)
		req.Header.Set("Accept-Encoding", encoding)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, req)
		require.Equal(t, http.StatusOK, w.Code)
		if encoding == gzipEncoding {
			require.EqualValues(t, 5, revisionIn(t, w.Body.Bytes()))
			continue
		}
		var n router.Update
		require.NoError(t, json.Unmarshal(w.Body.Bytes(), &n))
		require.EqualValues(t, 5, n.Revision.Number)
	}
}
