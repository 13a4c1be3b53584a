// Command hawthornstreamd is the daemon that runs on every entry VM.
//
// Usage:
//
//	hawthornstreamd -settings FILE [-check]
//
// It exits with 0 after a graceful stop or a successful check, 1 after a failure
// (also when a stop cut off calls), and 2 for settings that can't be used.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/phuslu/log"

	"hawthornstream/internal/adapters/logging"
	"hawthornstream/internal/app"
	"hawthornstream/internal/settings"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailure     = 1
	exitBadSettings = 2
)

// reload reads the settings again at each hangup. The level of the log follows;
// what else has changed holds from the next start.
func reload(s *settings.Settings, path string, hangups <-chan os.Signal, logger *log.Logger) {
	for range hangups {
		next, err := settings.Load(path)
		if err != nil {
			logger.Error().Str("event", "settings-not-reloaded").Err(err).Msg("")
			continue
		}
		logger.SetLevel(log.ParseLevel(next.Log.Level))
		next.Log = s.Log
		logger.Info().Str("event", "settings-reloaded").Bool("restartNeeded", !reflect.DeepEqual(s, next)).Msg("")
	}
}

// logCloseWithin bounds the wait for the last lines of the log to be written.
const logCloseWithin = 200 * time.Millisecond

// signalBuffer holds the signal that begins a stop and the one that ends it.
const signalBuffer = 2

// signals are the ways in which the platform tells the process something.
type signals struct {
	// stop begins a stop, or ends one.
	stop chan os.Signal
	// hangup asks to read the settings again.
	hangup chan os.Signal
}

// main takes over the signals before all else: a hangup that meets the process
// while it starts would end it.
func main() {
	told := signals{stop: make(chan os.Signal, signalBuffer), hangup: make(chan os.Signal, signalBuffer)}
	signal.Notify(told.hangup, syscall.SIGHUP)
	signal.Notify(told.stop, syscall.SIGTERM, os.Interrupt)
	os.Exit(run(os.Args[1:], told, os.Stdout, os.Stderr))
}

func run(arguments []string, told signals, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("hawthornstreamd", flag.ContinueOnError)
	flags.SetOutput(stderr)
	path := flags.String("settings", "", "`FILE` with the start-up settings (JSON)")
	check := flags.Bool("check", false, "check the settings and exit")
	if err := flags.Parse(arguments); err != nil {
		return exitBadSettings
	}
	s, err := settings.Load(*path)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitBadSettings
	}
	if *check {
		fmt.Fprintln(stdout, "settings are valid")
		return exitOK
	}
	return serve(s, *path, told, stdout)
}

func serve(s *settings.Settings, path string, told signals, stdout io.Writer) int {
	lines := logging.NewAsyncWriter(stdout)
	defer lines.Close(logCloseWithin)
	logger := logging.New(lines, s.Log.Level)
	logging.RedirectStandardLog(logger)
	go reload(s, path, told.hangup, logger)
	daemon, err := app.New(s, logger)
	if err != nil {
		logger.Error().Str("event", "daemon-not-composed").Err(err).Msg("")
		return exitFailure
	}
	if err := daemon.Run(told.stop); err != nil {
		logger.Error().Str("event", "daemon-failed").Err(err).Msg("")
		return exitFailure
	}
	return exitOK
}
