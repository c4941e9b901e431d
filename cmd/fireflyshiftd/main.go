// Command fireflyshiftd is the daemon: one process on every entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"fireflyshift/internal/daemon"
	"fireflyshift/internal/settings"
	"fireflyshift/internal/telemetry"
)

// Exit codes.
const (
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
)

type options struct {
	Settings string `short:"c" long:"settings" description:"INI file with this host's settings" required:"true"`
	Check    bool   `long:"check-settings" description:"check the file, print what is wrong, and end"`
}

func main() {
	var opt options
	if _, err := flags.Parse(&opt); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	set, err := settings.Load(opt.Settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if opt.Check {
		fmt.Printf("%s: settings are good\n", opt.Settings)
		return
	}
	log := telemetry.NewLogger(os.Stderr, set.Log.Level, set.Log.JSON)
	ctx, hard := signals()
	if err := daemon.Run(ctx, hard, set, log); err != nil {
		log.Error().Err(err).Msg("Stopped with an error.")
		os.Exit(exitFailed)
	}
}

// signals returns a context that ends at the first SIGTERM or SIGINT, and one at the second.
func signals() (soft, hard context.Context) {
	soft, endSoft := context.WithCancel(context.Background())
	hard, endHard := context.WithCancel(context.Background())
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ch
		endSoft()
		<-ch
		endHard()
	}()
	return soft, hard
}
