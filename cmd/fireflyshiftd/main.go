// Command fireflyshiftd is the daemon that runs as one process on every entry host. With --settings it serves the
// project's own interface. With --platform it serves the users' platform and reads the settings file named by the
// environment variable platform.SettingsEnv.
package main

import (
	"context"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"
	"google.golang.org/grpc/grpclog"

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

const (
	// exitMargin is what remains of the platform's grace period for the report of lost log lines and the exit.
	exitMargin    = 40 * time.Millisecond
	reportTimeout = 20 * time.Millisecond
)

type options struct {
	Settings string `short:"c" long:"settings" description:"INI file with this host's settings"`
	Platform bool   `long:"platform" description:"serve the users' platform, with the settings file that the environment names"`
	Check    bool   `long:"check-settings" description:"check the settings file, print any errors, and exit"`
	// AdmissionQueue applies to the platform only: the project's own interface has queues of its own.
	AdmissionQueue bool `long:"admission-queue" description:"with --platform: enable admission queues with the defaults, unless the settings file has the object admission-queue"`
	// LoadBalancing applies to the platform only, too.
	LoadBalancing bool `long:"load-balancing" description:"with --platform: enable learned limits and early spill, unless the settings file has the object load-balancing"`
}

func main() {
	var opt options
	if _, err := flags.Parse(&opt); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(exitUsage)
	}
	// A write to a log whose collector has ended must fail, not end the process.
	signal.Ignore(syscall.SIGPIPE)
	switch {
	case opt.AdmissionQueue && !opt.Platform:
		fmt.Fprintln(os.Stderr, "--admission-queue applies to --platform only; give both, or remove it")
		os.Exit(exitUsage)
	case opt.LoadBalancing && !opt.Platform:
		fmt.Fprintln(os.Stderr, "--load-balancing applies to --platform only; give both, or remove it")
		os.Exit(exitUsage)
	case opt.Platform:
		runPlatform(opt)
	case opt.Settings != "":
		runStandalone(opt)
	default:
		fmt.Fprintln(os.Stderr, "give --settings FILE, or --platform")
		os.Exit(exitUsage)
	}
}

func runStandalone(opt options) {
	set, err := settings.Load(opt.Settings)
	exitOnSettingsError(err)
	if opt.Check {
		fmt.Printf("%s: settings are good\n", opt.Settings)
		return
	}
	metrics := telemetry.NewMetrics()
	log, flush := telemetry.NewLogger(os.Stderr, set.Log.Level, set.Log.JSON, metrics)
	captureLibraryMessages(log)
	go ignoreHangups(log, notifyHangup())
	ctx, hard := shutdownContexts()
	exitAfterRun(log, flush, os.Stdout, daemon.Run(ctx, hard, set, log, metrics))
}

func runPlatform(opt options) {
	ctx, _ := shutdownContexts()
	reload := notifyHangup()
	path := os.Getenv(platform.SettingsEnv)
	load := settingsLoader(opt, path)
	set, err := load()
	exitOnSettingsError(err)
	if opt.Check {
		fmt.Printf("%s: settings are good\n", path)
		return
	}
	node.Tune(set)
	metrics := telemetry.NewMetrics()
	log := telemetry.OpenLog(os.Stdout, "info", true, metrics)
	captureLibraryMessages(log.Logger)
	left := graceLeft(ctx, set.Grace)
	store := platform.NewStore(set.Store, upstream.Transport(), telemetry.ComponentLogger(log.Logger, "store"))
	err = node.Run(ctx, set, node.Dependencies{Store: store, HeaderCodec: platform.HeaderCodec{}, Reload: reload,
		Load: load}, log.Logger, metrics)
	flush := func() error { return log.Close(min(telemetry.FlushTimeout, left()-exitMargin)) }
	exitAfterRun(log.Logger, flush, os.Stderr, err)
}

// settingsLoader returns a function that reads the platform's settings file, at the start and for each reload, and applies the flags.
func settingsLoader(opt options, path string) func() (*node.Settings, error) {
	return func() (*node.Settings, error) {
		set, err := platform.LoadSettings(path)
		if err != nil {
			return nil, err
		}
		if opt.AdmissionQueue {
			platform.EnableAdmissionQueue(set)
		}
		if opt.LoadBalancing {
			platform.EnableLoadBalancing(set)
		}
		return set, nil
	}
}

// captureLibraryMessages writes what libraries print to the log: otherwise it goes to standard error, and blocks its goroutine
// while nobody reads there.
func captureLibraryMessages(log zerolog.Logger) {
	w := telemetry.LibraryWriter(log)
	stdlog.SetFlags(0)
	stdlog.SetOutput(w)
	grpclog.SetLoggerV2(grpclog.NewLoggerV2(io.Discard, io.Discard, w))
}

// graceLeft returns a function that returns how much is left of the grace period that begins when ctx is done.
func graceLeft(ctx context.Context, grace time.Duration) func() time.Duration {
	var end atomic.Pointer[time.Time]
	context.AfterFunc(ctx, func() {
		t := time.Now().Add(grace)
		end.Store(&t)
	})
	return func() time.Duration {
		if t := end.Load(); t != nil {
			return time.Until(*t)
		}
		return grace
	}
}

// notifyHangup returns a channel that receives after a SIGHUP, the signal to reload the settings file.
func notifyHangup() <-chan struct{} {
	out := make(chan struct{}, 1)
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	go func() {
		for range ch {
			select {
			case out <- struct{}{}:
			default: // a pending notification will reload the same file
			}
		}
	}()
	return out
}

// ignoreHangups keeps SIGHUP, which is also sent at the end of a terminal session, from ending the process and its
// requests.
func ignoreHangups(log zerolog.Logger, hangups <-chan struct{}) {
	for range hangups {
		log.Info().Msg("SIGHUP is ignored. Replace the host to apply new settings.")
	}
}

func exitOnSettingsError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
}

// exitAfterRun logs err, flushes the log, and exits with exitFailed if err is not nil. Lines that the flush lost are reported to
// fallback.
func exitAfterRun(log zerolog.Logger, flush func() error, fallback io.Writer, err error) {
	if err != nil {
		log.Error().Err(err).Msg("Stopped with an error.")
	}
	if lost := flush(); lost != nil {
		reportLostLines(fallback, lost)
	}
	if err != nil {
		os.Exit(exitFailed)
	}
}

// reportLostLines writes a log line to a stream other than the log's, which may hang as well.
func reportLostLines(w io.Writer, err error) {
	log := telemetry.OpenLog(w, "error", true, telemetry.NewMetrics())
	log.Error().Err(err).Msg("Log lines are lost.")
	_ = log.Close(reportTimeout)
}

// shutdownContexts returns a context that is canceled at the first SIGTERM or SIGINT, and one at the second.
func shutdownContexts() (soft, hard context.Context) {
	soft, cancelSoft := context.WithCancel(context.Background())
	hard, cancelHard := context.WithCancel(context.Background())
	ch := make(chan os.Signal, 2)
	signal.Notify(ch, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-ch
		cancelSoft()
		<-ch
		cancelHard()
	}()
	return soft, hard
}
