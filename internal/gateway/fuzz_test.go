package gateway

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// An engine may break its stream off anywhere and send any bytes. Callers must get complete events only, byte for byte
// and in order, however the bytes are split into reads, and an end within an event must be reported as one.
func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), uint8(1))
	f.Add([]byte("id: 1\r\ndata: a\r\n\r\nid: 2"), uint8(3))
	f.Add([]byte("\n\n\n\r\n\r\n"), uint8(2))
	f.Fuzz(func(t *testing.T, data []byte, cut uint8) {
		var src io.Reader = bytes.NewReader(data)
		if cut%2 == 1 {
			src = iotest.OneByteReader(src)
		}
		r := newEventReader(src)
		var got []byte
		for {
			chunk, err := r.next()
			if err != nil {
				require.True(t, bytes.HasPrefix(data, got))
				if err == io.EOF {
					require.Equal(t, len(data), len(got))
				} else {
					require.ErrorIs(t, err, io.ErrUnexpectedEOF)
					require.Less(t, len(got), len(data))
				}
				return
			}
			var parts []byte
			splitEvents(chunk, func(event []byte, _ int64) {
				blank := len(bytes.Trim(event, "\r\n")) == 0 // lines between events
				require.True(t, blank || bytes.HasSuffix(event, []byte("\n\n")) || bytes.HasSuffix(event, []byte("\r\n\r\n")))
				parts = append(parts, event...)
			})
			require.Equal(t, chunk, parts)
			got = append(got, chunk...)
		}
	})
}
