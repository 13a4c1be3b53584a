package dispatch

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of one more measurement in a moving average.
	sampleWeight = 0.15
	// longQueueTokens is the number of pending prompt tokens from which a
	// measurement updates the time per token. Below half of it, a measurement
	// updates the base time.
	longQueueTokens = 2000
	// modelDecayDelay is the age of the last measurement from which a model decays to
	// the times that are typical of its service, and modelDecayTime the time constant of
	// the decay, so that a server that was measured as too slow is tried again.
	modelDecayDelay = 2 * time.Second
	modelDecayTime  = 3 * time.Second
	// typicalSampleWeight is the weight of one more measurement in the typical times, which
	// are those of all servers of the service.
	typicalSampleWeight = 0.02
	// minPerToken and maxPerToken bound the time per prompt token.
	minPerToken = 2 * time.Microsecond
	maxPerToken = 400 * time.Microsecond
)

// Defaults of a server without measurements: the times of a middling engine and
// of a plain service when idle. The first measurements replace them.
const (
	defaultEngineBase     = 40 * time.Millisecond
	defaultEnginePerToken = 16 * time.Microsecond
	defaultPlainBase      = 50 * time.Millisecond
	defaultEngineRun      = 4 * time.Second
	defaultPlainRun       = 60 * time.Millisecond
)

// latencyModel predicts the time to the first byte from the prompt tokens that
// are pending on a server. It also holds the mean duration of a run.
type latencyModel struct {
	baseSeconds, perTokenSeconds, runSeconds float64
	sampledAt                                time.Time
	// typical are the times of a server that was not measured for long.
	typical *typicalTimes
}

// typicalTimes are what the servers of a service show to this daemon.
//
// Load pattern: a daemon sends a server no calls while others fill its queue. With constants
// in place of old measurements, it takes the engines for slower than they are and their queues
// for longer than other daemons do, finds no room there, and never measures them again.
type typicalTimes struct {
	baseSeconds, perTokenSeconds float64
}

func newTypicalTimes(isEngine bool) *typicalTimes {
	if isEngine {
		return &typicalTimes{baseSeconds: defaultEngineBase.Seconds(), perTokenSeconds: defaultEnginePerToken.Seconds()}
	}
	return &typicalTimes{baseSeconds: defaultPlainBase.Seconds()}
}

func newLatencyModel(isEngine bool, typical *typicalTimes) latencyModel {
	m := latencyModel{
		baseSeconds: typical.baseSeconds, perTokenSeconds: typical.perTokenSeconds,
		runSeconds: defaultPlainRun.Seconds(), typical: typical,
	}
	if isEngine {
		m.runSeconds = defaultEngineRun.Seconds()
	}
	return m
}

// predictFirstByte returns the predicted time to the first byte behind the
// given number of prompt tokens.
func (m *latencyModel) predictFirstByte(now time.Time, pendingTokens int) time.Duration {
	base, perToken := m.decayed(now)
	return secondsToDuration(base + perToken*float64(pendingTokens))
}

// decayed returns the base time and the time per token in seconds, with old
// measurements decayed toward the typical ones.
func (m *latencyModel) decayed(now time.Time) (base, perToken float64) {
	age := now.Sub(m.sampledAt) - modelDecayDelay
	if m.sampledAt.IsZero() {
		return m.typical.baseSeconds, m.typical.perTokenSeconds
	}
	if age <= 0 {
		return m.baseSeconds, m.perTokenSeconds
	}
	remaining := math.Exp(-age.Seconds() / modelDecayTime.Seconds())
	return m.typical.baseSeconds + remaining*(m.baseSeconds-m.typical.baseSeconds),
		m.typical.perTokenSeconds + remaining*(m.perTokenSeconds-m.typical.perTokenSeconds)
}

// observeFirstByte records the time to the first byte of a call behind the
// given number of prompt tokens, its own included.
func (m *latencyModel) observeFirstByte(now time.Time, pendingTokens int, elapsed time.Duration) {
	m.baseSeconds, m.perTokenSeconds = m.decayed(now)
	m.sampledAt = now
	switch {
	case m.typical.perTokenSeconds == 0:
		m.observeBase(elapsed.Seconds())
	case pendingTokens >= longQueueTokens:
		perToken := (elapsed.Seconds() - m.baseSeconds) / float64(pendingTokens)
		perToken = min(max(perToken, minPerToken.Seconds()), maxPerToken.Seconds())
		m.perTokenSeconds = movingAverage(m.perTokenSeconds, perToken)
		m.typical.perTokenSeconds += typicalSampleWeight * (perToken - m.typical.perTokenSeconds)
	case pendingTokens < longQueueTokens/2:
		m.observeBase(max(elapsed.Seconds()-m.perTokenSeconds*float64(pendingTokens), 0))
	}
}

func (m *latencyModel) observeBase(seconds float64) {
	m.baseSeconds = movingAverage(m.baseSeconds, seconds)
	m.typical.baseSeconds += typicalSampleWeight * (seconds - m.typical.baseSeconds)
}

// assumeSlow raises the times to those of a cold server, until measurements replace them
// or they decay.
func (m *latencyModel) assumeSlow(now time.Time) {
	base, perToken := m.decayed(now)
	m.baseSeconds = max(base, coldSlowdown*m.typical.baseSeconds)
	m.perTokenSeconds = max(perToken, coldSlowdown*m.typical.perTokenSeconds)
	m.sampledAt = now
}

// observeRun records the duration of a whole call.
func (m *latencyModel) observeRun(elapsed time.Duration) {
	m.runSeconds = movingAverage(m.runSeconds, elapsed.Seconds())
}

func movingAverage(mean, sample float64) float64 {
	return mean + sampleWeight*(sample-mean)
}

func secondsToDuration(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
