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

// asked counts the questions that reach the control thread.
type asked struct {
	times    int
	revision uint64
	silent   bool
}

func (a *asked) Snapshot(router.Since) (router.Update, bool) {
	a.times++
	return router.Update{Revision: routing.Revision{Number: a.revision}}, !a.silent
}

func revisionIn(t *testing.T, zipped []byte) uint64 {
	z, err := gzip.NewReader(bytes.NewReader(zipped))
	require.NoError(t, err)
	var n router.Update
	require.NoError(t, json.NewDecoder(z).Decode(&n))
	return n.Revision.Number
}

// All hosts of a fleet start at once and ask the few that know the configuration for everything. A small
// host that encoded the same answer a hundred times took seconds, while callers were refused. It is encoded
// once; later questions, and other ones, get a fresh one.
func TestSameQuestionIsEncodedOnce(t *testing.T) {
	src, last, at := &asked{revision: 7}, &lastNews{}, time.Unix(100, 0)
	for range 100 {
		body, err := last.body(router.Since{}, at, src)
		require.NoError(t, err)
		require.EqualValues(t, 7, revisionIn(t, body))
	}
	require.Equal(t, 1, src.times)
	src.revision = 8
	body, err := last.body(router.Since{Revision: routing.Revision{Number: 3}}, at, src)
	require.NoError(t, err)
	require.EqualValues(t, 8, revisionIn(t, body), "another question")
	src.revision = 9
	body, err = last.body(router.Since{Revision: routing.Revision{Number: 3}}, at.Add(lastFor), src)
	require.NoError(t, err)
	require.EqualValues(t, 9, revisionIn(t, body), "too old")
}

// The control thread does not answer in time. The asker must not take an empty answer for news.
func TestSilentControlThreadIsNoNews(t *testing.T) {
	h := Handler(&asked{silent: true})
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, newsPath+"?revision=0&version=0", nil))
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
}

// An asker that takes no compressed answers gets plain ones.
func TestNewsAreReadableEitherWay(t *testing.T) {
	h := Handler(&asked{revision: 5})
	for _, encoding := range []string{"", gzipEncoding} {
		req := httptest.NewRequest(http.MethodGet, newsPath+"?revision=0&version=0", nil)
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
