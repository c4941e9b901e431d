package upstream

import (
	"bytes"
	"io"
	"strings"
)

// schemePrefix is what net/http writes before a request target that begins with two slashes. A server takes that for an absolute
// URL, whose first segment is the name of a host.
const schemePrefix = "http:"

// targetWriter returns a writer for a request whose target is sent unchanged.
func targetWriter(w io.Writer, req *Request) io.Writer {
	if !strings.HasPrefix(req.Target, "//") {
		return w
	}
	return &schemeCutter{w: w, method: req.Method}
}

// schemeCutter removes schemePrefix from the request line, which is at the beginning of the first write.
type schemeCutter struct {
	w       io.Writer
	method  string
	written bool
}

// Write implements io.Writer.
func (s *schemeCutter) Write(p []byte) (int, error) {
	if s.written {
		return s.w.Write(p)
	}
	s.written = true
	method := s.method + " "
	rest, found := bytes.CutPrefix(p, []byte(method+schemePrefix))
	if !found {
		return s.w.Write(p)
	}
	if _, err := s.w.Write(append([]byte(method), rest...)); err != nil {
		return 0, err
	}
	return len(p), nil
}
