// Command fireflyshiftd is the daemon: one process on every entry host. With --settings it serves the
// project's own interface; on the users' platform it takes the settings file that the platform names.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"fireflyshift/internal/daemon"
	"fireflyshift/internal/node"
	"fireflyshift/internal/settings"
	"fireflyshift/internal/telemetry"
	"fireflyshift/internal/upstream"
	"fireflyshift/platform"
)

// Exit codes.
const (
	exitFailed   = 1
	exitUsage    = 2
	exitSettings = 3
)

type options struct {
	Settings string `short:"c" long:"settings" description:"INI file with this host's settings"`
	Platform bool   `long:"platform" description:"serve the users' platform, with the settings file that the environment names"`
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
	switch {
	case opt.Platform:
		runPlatform(opt)
	case opt.Settings != "":
		runOwn(opt)
	default:
		fmt.Fprintln(os.Stderr, "give --settings FILE, or --platform")
		os.Exit(exitUsage)
	}
}

func runOwn(opt options) {
	set, err := settings.Load(opt.Settings)
	refuse(err)
	if opt.Check {
		fmt.Printf("%s: settings are good\n", opt.Settings)
		return
	}
	metrics := telemetry.NewMetrics()
	log, flush := telemetry.NewLogger(os.Stderr, set.Log.Level, set.Log.JSON, metrics)
	go ignoreHangups(log, hangups())
	ctx, hard := signals()
	stopped(log, flush, daemon.Run(ctx, hard, set, log, metrics))
}

func runPlatform(opt options) {
	ctx, _ := signals()
	reload := hangups()
	path := os.Getenv(platform.SettingsEnv)
	set, err := platform.LoadSettings(path)
	refuse(err)
	if opt.Check {
		fmt.Printf("%s: settings are good\n", path)
		return
	}
	node.Tune(set)
	metrics := telemetry.NewMetrics()
	log, flush := telemetry.NewLogger(os.Stdout, "info", true, metrics)
	store := platform.NewStore(set.Store, upstream.Transport(), telemetry.ComponentLogger(log, "store"))
	err = node.Run(ctx, set, node.Dependencies{Store: store, HeaderCodec: platform.HeaderCodec{}, Reload: reload,
		Load: func() (*node.Settings, error) { return platform.LoadSettings(path) }}, log, metrics)
	stopped(log, flush, err)
}

// hangups passes SIGHUP on, which tells that the settings file has changed.
func hangups() <-chan struct{} {
	out := make(chan struct{}, 1)
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	go func() {
		for range ch {
			select {
			case out <- struct{}{}:
			default: // one is waiting, and will read the same file
			}
		}
	}()
	return out
}

// ignoreHangups guards requests against the end of a terminal or of a session.
func ignoreHangups(log zerolog.Logger, hangups <-chan struct{}) {
	for range hangups {
		log.Info().Msg("SIGHUP is ignored. Replace the host to apply new settings.")
	}
}

func refuse(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
}

// stopped writes the last lines out and ends the process with the code that an error asks for.
func stopped(log zerolog.Logger, flush func(), err error) {
	if err != nil {
		log.Error().Err(err).Msg("Stopped with an error.")
	}
	flush()
	if err != nil {
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
