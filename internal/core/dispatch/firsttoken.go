package dispatch

import (
	"math"
	"time"
)

const (
	// sampleWeight is the weight of one more measurement in a moving average.
	sampleWeight = 0.15
	// longWait is the number of waiting prompt tokens from which a measurement
	// tells the time for each token, and below half of which it tells the time
	// without any.
	longWait = 2000
	// forgetAfter is the age of the last measurement from which a model drifts
	// back to its defaults, and forgetWithin the time constant of that: a server
	// that seemed too slow is tried again.
	forgetAfter  = 2 * time.Second
	forgetWithin = 3 * time.Second
	// minPerToken and maxPerToken bound the time for one prompt token.
	minPerToken = 2 * time.Microsecond
	maxPerToken = 400 * time.Microsecond
)

// The defaults of a server that was not measured yet: what a middling engine or
// plain service takes when idle. The first measurements replace them.
const (
	defaultEngineBase = 40 * time.Millisecond
	defaultPerToken   = 16 * time.Microsecond
	defaultPlainBase  = 50 * time.Millisecond
	defaultEngineRun  = 4 * time.Second
	defaultPlainRun   = 60 * time.Millisecond
)

// model predicts the time to the first byte from what waits at a server. Its
// durations are in seconds.
type model struct {
	base, perToken, run          float64
	defaultBase, defaultPerToken float64
	sampled                      time.Time
}

func newModel(engine bool) model {
	m := model{base: defaultPlainBase.Seconds(), run: defaultPlainRun.Seconds()}
	if engine {
		m.base = defaultEngineBase.Seconds()
		m.perToken = defaultPerToken.Seconds()
		m.run = defaultEngineRun.Seconds()
	}
	m.defaultBase, m.defaultPerToken = m.base, m.perToken
	return m
}

// expect returns the time to the first byte behind a number of prompt tokens.
func (m *model) expect(now time.Time, tokens int) time.Duration {
	base, perToken := m.current(now)
	return seconds(base + perToken*float64(tokens))
}

// current returns the model as it holds now: old measurements fade.
func (m *model) current(now time.Time) (base, perToken float64) {
	age := now.Sub(m.sampled) - forgetAfter
	if age <= 0 || m.sampled.IsZero() {
		return m.base, m.perToken
	}
	kept := math.Exp(-age.Seconds() / forgetWithin.Seconds())
	return m.defaultBase + kept*(m.base-m.defaultBase), m.defaultPerToken + kept*(m.perToken-m.defaultPerToken)
}

// measured takes the time to the first byte of a call behind a number of prompt
// tokens, its own included.
func (m *model) measured(now time.Time, tokens int, took time.Duration) {
	m.base, m.perToken = m.current(now)
	m.sampled = now
	switch {
	case m.defaultPerToken == 0:
		m.base = blend(m.base, took.Seconds())
	case tokens >= longWait:
		perToken := (took.Seconds() - m.base) / float64(tokens)
		perToken = min(max(perToken, minPerToken.Seconds()), maxPerToken.Seconds())
		m.perToken = blend(m.perToken, perToken)
	case tokens < longWait/2:
		m.base = blend(m.base, max(took.Seconds()-m.perToken*float64(tokens), 0))
	}
}

// ran takes the time that a whole call took.
func (m *model) ran(took time.Duration) {
	m.run = blend(m.run, took.Seconds())
}

func blend(before, sample float64) float64 {
	return before + sampleWeight*(sample-before)
}

func seconds(value float64) time.Duration {
	return time.Duration(value * float64(time.Second))
}
