package engine

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	product "fireflyshift/internal/engine"
)

// A host that is short of processor time lags behind an engine whose connections break every seven tokens. Each
// time it takes the stream up, seven tokens or more are ready. They were counted as sent and dropped with the
// connection, unflushed, so that no try got further, and the caller's answer ended as cut.
func TestCutDeliversWhatCameBefore(t *testing.T) {
	e := New(DefaultOptions())
	defer e.Close()
	s := &sequence{id: "late", seed: Seed("late"), want: 60, produced: 60, ended: true, changed: make(chan struct{}), lastRead: time.Now()}
	e.mu.Lock()
	e.seqs[s.id] = s
	e.mu.Unlock()
	e.SetMode(Mode{CutEvery: 7})
	srv := httptest.NewServer(e.Handler())
	defer srv.Close()
	client := product.NewClient()
	for offset := 0; offset < 56; offset += 7 {
		st, err := client.Reattach(t.Context(), srv.Listener.Addr().String(), s.id, offset)
		require.NoError(t, err, "at %d", offset)
		for i := range 7 {
			c, err := st.Next()
			require.NoError(t, err, fmt.Sprint(offset, "+", i))
			require.Equal(t, offset+i, c.Offset)
		}
		_, err = st.Next()
		require.Error(t, err, "cut")
		st.Close()
	}
}
