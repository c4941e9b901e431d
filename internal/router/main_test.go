package router

import (
	"flag"
	"os"
	"testing"
)

// Requests is how many requests are in the host's hands.
func (r *Router) Requests() int { return len(r.requests) }

// The verdict of the randomised tests is the same every run, unless a seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("1")
		_ = flag.Set("rapid.checks", "30")
	}
	os.Exit(m.Run())
}
