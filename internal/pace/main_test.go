package pace

import (
	"flag"
	"os"
	"testing"
)

// The randomised tests run with a fixed seed, so that their outcome is the same each time, unless a seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = f.Value.Set("1")
		_ = flag.Set("rapid.checks", "100")
	}
	os.Exit(m.Run())
}
