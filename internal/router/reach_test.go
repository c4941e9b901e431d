package router

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// maxRecognitionTime is how soon a cut host must serve its callers through others, as required by the operators.
const maxRecognitionTime = 3 * time.Second

// maxReturnTime is how soon after the end of a cut hosts must send to the backend servers themselves again.
const maxReturnTime = 2 * time.Second

// Hosts that are cut off from all backend servers kept on trying each of them. They must find out soon, name only hosts that
// reach the servers, and return soon after the end; the other hosts must not take themselves for cut off.
func TestCutHostsFindOut(t *testing.T) {
	for _, to := range []path{refuses, hangs, refusesNew} {
		t.Run(pathNames[to], func(t *testing.T) {
			z := newCutWorld(t)
			cut, others := z.hosts[:6], z.hosts[6:]
			z.cut(6, to, anyEngine)
			took := z.runUntil(maxRecognitionTime, cutWorldRate, z.allCutOff(cut, true))
			t.Logf("recognised after %v", took)
			require.Less(t, took, maxRecognitionTime)
			z.onStep = func() {
				require.True(t, z.allCutOff(cut, true)())
				require.True(t, z.allCutOff(others, false)())
			}
			z.run(time.Second, cutWorldRate)
			for _, h := range cut {
				require.Equal(t, []string{"10.0.2.1", "10.0.2.2", "10.0.2.3"}, h.r.relayCandidates("m"))
			}
			z.probed = map[string]int{}
			z.run(6*time.Second, cutWorldRate)
			for _, h := range cut {
				require.LessOrEqual(t, z.probed[h.ip], 6*2*recoveryProbes)
			}
			z.onStep = nil
			z.heal()
			took = z.runUntil(maxReturnTime, cutWorldRate, z.allCutOff(cut, false))
			t.Logf("returned after %v", took)
			require.Less(t, took, maxReturnTime)
		})
	}
}

// A host that has lost only some of the backend servers reaches others itself.
func TestHostThatLostSomeServersIsNotCutOff(t *testing.T) {
	for _, to := range []path{refuses, hangs} {
		z := newCutWorld(t)
		z.cut(6, to, func(e string) bool { return engineNumber(e) < 6 })
		z.onStep = func() { require.True(t, z.allCutOff(z.hosts, false)()) }
		z.run(5*time.Second, cutWorldRate)
	}
}

// The backend servers themselves are down. No host reaches them, and none may hand over its requests.
func TestNoHostIsCutOffFromServersThatAreDown(t *testing.T) {
	for _, to := range []path{refuses, hangs} {
		z := newCutWorld(t)
		z.cut(9, to, anyEngine)
		z.onStep = func() { require.True(t, z.allCutOff(z.hosts, false)()) }
		z.run(5*time.Second, cutWorldRate)
	}
}

// Most backend servers of a service end, one after the other. The fault is not this host's, as the others fail to reach them too.
func TestServersThatEndInTurnCutOffNoHost(t *testing.T) {
	z := newCutWorld(t)
	down := 0
	z.cut(9, refuses, func(e string) bool { return engineNumber(e) < down })
	z.onStep = func() { require.True(t, z.allCutOff(z.hosts, false)()) }
	for down = range 11 {
		z.run(time.Second, cutWorldRate)
	}
}
