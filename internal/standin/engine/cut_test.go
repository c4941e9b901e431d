package engine

import (
	"fmt"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	product "fireflyshift/internal/engine"
)

// Guards against a stand-in engine that loses the tokens before a cut. A host short of CPU lags behind an engine whose
// connections break every seven tokens, so seven or more tokens are ready whenever it reattaches. Those tokens were
// counted as sent but dropped unflushed with the connection, so no attempt made progress and the caller's response
// was cut.
func TestCutDeliversWhatCameBefore(t *testing.T) {
	e := New(DefaultOptions())
	defer e.Close()
	s := &sequence{id: "late", seed: Seed("late"), wantTokens: 60, produced: 60, ended: true, changed: make(chan struct{}), lastRead: time.Now()}
	e.mu.Lock()
	e.sequences[s.id] = s
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
