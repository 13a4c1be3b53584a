package settings

import (
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/fieldcheck"
	"hawthornstream/internal/core/retry"
)

// InvalidSettingsError reports all faults of the settings.
type InvalidSettingsError struct {
	Faults []fieldcheck.Fault
}

// Error implements error.
func (e *InvalidSettingsError) Error() string {
	return "invalid settings: " + fieldcheck.Join(e.Faults)
}

// UnreadableSettingsError reports that the settings file could not be read.
type UnreadableSettingsError struct {
	Path  string
	Cause error
}

// Error implements error.
func (e *UnreadableSettingsError) Error() string {
	return fmt.Sprintf("settings %s can't be read: %v", e.Path, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreadableSettingsError) Unwrap() error {
	return e.Cause
}

// Load reads a JSON settings file. It fails with *UnreadableSettingsError or a
// wrapped *InvalidSettingsError.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &UnreadableSettingsError{Path: path, Cause: err}
	}
	s, err := Parse(data)
	if err != nil {
		return nil, eris.Wrap(err, path)
	}
	return s, nil
}

// Parse decodes settings from JSON, with defaults for omitted fields. It fails
// with *InvalidSettingsError, which reports all faults at once.
func Parse(data []byte) (*Settings, error) {
	s := Default()
	faults := fieldcheck.Decode(data, s)
	faults = fieldcheck.Merge(faults, fieldcheck.Validate(s))
	faults = fieldcheck.Merge(faults, checkPlatformInterface(s))
	if len(faults) > 0 {
		return nil, &InvalidSettingsError{Faults: faults}
	}
	return s, nil
}

// checkPlatformInterface checks the fields that only the selected platform
// interface requires.
func checkPlatformInterface(s *Settings) []fieldcheck.Fault {
	const required = "a value (required)"
	var faults []fieldcheck.Fault
	if s.Platform.Interface == InterfaceOwn && len(s.Operators.KeyDigests) == 0 {
		faults = append(faults, fieldcheck.NewFault("operators.keyDigests", "null", required))
	}
	if s.Platform.Interface == InterfaceObjects && s.Listen.Readiness == "" {
		faults = append(faults, fieldcheck.NewFault("listen.readiness", `""`, required))
	}
	if s.Platform.Interface != InterfaceObjects && s.Listen.Handover != "" {
		faults = append(faults, fieldcheck.NewFault("listen.handover", strconv.Quote(s.Listen.Handover), `no value, except with the interface "objects"`))
	}
	return faults
}

// Default returns settings with all defaults set and the required fields empty.
func Default() *Settings {
	return &Settings{
		Platform: Platform{Interface: InterfaceOwn, VMListPeriod: configuration.Duration(time.Second)},
		Limits: Limits{
			MaxHeaderSize:         16 * kibibyte,
			MaxBodySize:           1 * mebibyte,
			MaxReplayedAnswerSize: 16 * kibibyte,
			QueueMemory:           64 * mebibyte,
			WorkspaceQueueMemory:  16 * mebibyte,
			MaxConnections:        4096,
			IdleTimeout:           configuration.Duration(2 * time.Minute),
			ReceiveTimeout:        configuration.Duration(10 * time.Second),
			MaxProcessorWait:      configuration.Duration(200 * time.Millisecond),
		},
		Stop: Stop{
			Timeout:        configuration.Duration(15 * time.Minute),
			AnnouncePeriod: configuration.Duration(2 * time.Second),
		},
		Retries:      Retries{Ratio: retry.DefaultPolicy().RetryRatio},
		WarmUp:       WarmUp{Tolerance: 1},
		Log:          Log{Level: "info"},
		Experimental: Experimental{ExchangePeriod: configuration.Duration(time.Second)},
	}
}
