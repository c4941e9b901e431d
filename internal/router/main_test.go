package router

import (
	"flag"
	"os"
	"testing"
)

// Requests returns the number of open requests at the host.
func (r *Router) Requests() int { return len(r.requests) }

// TestMain fixes the seed of the randomised tests, unless one is given, so that each run gives the same result.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("1")
		_ = flag.Set("rapid.checks", "30")
	}
	os.Exit(m.Run())
}
