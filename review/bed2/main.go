// Command bed2 plays the scripted cases of the second review: daemons as separate processes on loopback addresses, with stand-ins for
// the platform, the backend servers and the callers in this process. The first argument names the case.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each reports whether the rule was broken. trouble is false for the run without the disruption.
var cases = map[string]func(b *bed, trouble bool) (broken bool, err error){
	"lost-answers": playLostAnswers,
	"taken-up":     playTakenUp,
	"foreign":      playForeign,
	"grace":        playGrace,
	"in-place":     playInPlace,
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: bed2 CASE PATH-OF-DAEMON RECORD-FILE")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	b, err := newBed(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer b.close()
	broken, err := cases[os.Args[1]](b, trouble)
	switch {
	case err != nil:
		b.record("not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case broken:
		b.record("result: the rule was broken")
		return exitBroken
	default:
		b.record("result: the rule held")
		return exitHeld
	}
}
