package dispatch

import (
	"math"
	"time"
)

const (
	// sumHalfLife is the half-life of a decayingSum: ln 2 of its time constant.
	sumHalfLife = rateDecayTime * 693_147 / 1_000_000
	// sumUnit is what amounts are rounded to, in tokens. It is a power of two, as is the
	// decay of a half-life, so that floating-point sums of amounts are exact.
	sumUnit = 1.0 / 1024
)

// decayingSum is an exponentially decaying sum of tokens from which an amount can be taken
// back without a rest, however often the sum was read meanwhile. Times are durations since
// one origin. The zero value is an empty sum.
type decayingSum struct {
	// value is the sum at the beginning of the half-life with the given number.
	value    float64
	halfLife int
}

// decayingAmount is an amount that was added to a decayingSum.
type decayingAmount struct {
	value    float64
	halfLife int
}

func (s *decayingSum) add(at time.Duration, tokens float64) decayingAmount {
	s.advance(at)
	units := math.Round(tokens / decaySince(at, s.halfLife) / sumUnit)
	amount := decayingAmount{value: units * sumUnit, halfLife: s.halfLife}
	s.value += amount.value
	return amount
}

// takeBack removes an amount that was added and has decayed since. A sum that was emptied
// meanwhile stays empty.
func (s *decayingSum) takeBack(at time.Duration, amount decayingAmount) {
	s.advance(at)
	s.value = max(s.value-math.Ldexp(amount.value, amount.halfLife-s.halfLife), 0)
}

func (s *decayingSum) at(at time.Duration) float64 {
	return s.value * decaySince(at, s.halfLife)
}

// advance makes the half-life of the given time the sum's own.
func (s *decayingSum) advance(at time.Duration) {
	halfLife := max(int(at/sumHalfLife), s.halfLife)
	s.value = math.Ldexp(s.value, s.halfLife-halfLife)
	s.halfLife = halfLife
}

// decaySince returns what remains at the given time of an amount of 1 at the beginning of a
// half-life.
func decaySince(at time.Duration, halfLife int) float64 {
	elapsed := at - time.Duration(halfLife)*sumHalfLife
	return math.Exp2(-float64(elapsed) / float64(sumHalfLife))
}
