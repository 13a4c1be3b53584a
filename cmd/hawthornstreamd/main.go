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

// reloadOnHangup reloads the settings at each SIGHUP. Only the log level takes
// effect; other changes need a restart.
func reloadOnHangup(s *settings.Settings, path string, hangups <-chan os.Signal, logger *log.Logger) {
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

// logCloseTimeout bounds the time for writing the last log lines at exit.
const logCloseTimeout = 200 * time.Millisecond

// signalBuffer is the capacity of a signal channel: signals that arrive while one is
// handled.
const signalBuffer = 16

// signalChannels receive the signals that the process handles.
type signalChannels struct {
	// stop receives SIGTERM and interrupts: the first begins a graceful stop, an
	// interrupt during the stop ends it at once.
	stop chan os.Signal
	// hangup receives SIGHUP, which reloads the settings.
	hangup chan os.Signal
}

// main subscribes to the signals first, since a SIGHUP during the start would
// otherwise end the process.
func main() {
	received := signalChannels{stop: make(chan os.Signal, signalBuffer), hangup: make(chan os.Signal, signalBuffer)}
	signal.Notify(received.hangup, syscall.SIGHUP)
	signal.Notify(received.stop, syscall.SIGTERM, os.Interrupt)
	os.Exit(run(os.Args[1:], received, os.Stdout, os.Stderr))
}

func run(arguments []string, received signalChannels, stdout, stderr io.Writer) int {
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
	return serve(s, *path, received, stdout)
}

func serve(s *settings.Settings, path string, received signalChannels, stdout io.Writer) int {
	lines := logging.NewAsyncWriter(stdout)
	defer lines.Close(logCloseTimeout)
	logger := logging.New(lines, s.Log.Level)
	logging.RedirectStandardLog(logger)
	go reloadOnHangup(s, path, received.hangup, logger)
	daemon, err := app.New(s, logger)
	if err != nil {
		logger.Error().Str("event", "daemon-not-composed").Err(err).Msg("")
		return exitFailure
	}
	if err := daemon.Run(received.stop); err != nil {
		logger.Error().Str("event", "daemon-failed").Err(err).Msg("")
		return exitFailure
	}
	return exitOK
}
