package configuration

import "time"

// Spillover makes each failure domain decide which part of its calls runs in other domains,
// by what its callers lose and gain and by the links between domains. Without it the choice
// is made for each call alone.
type Spillover struct {
	// SameRegion are the links between the failure domains of a region.
	SameRegion Link `json:"sameRegion,omitzero"`
	// CrossRegion are the links between regions.
	CrossRegion Link `json:"crossRegion,omitzero"`
}

// Link is what a link between two failure domains costs.
type Link struct {
	// Delay is the one-way delay. Default: 1ms in a region, 15ms between regions; up to 10s.
	Delay Duration `json:"delay,omitempty" validate:"omitempty,between=1us 10s" fieldcheck:"notzero"`
	// PricePerMegabyte is the number of calls that may miss their target to save 1,000,000
	// bytes on the link. Default: 0, for a link that isn't billed; up to 1000.
	PricePerMegabyte float64 `json:"pricePerMegabyte,omitempty" validate:"omitempty,between=0 1000" fieldcheck:"notzero"`
}

// The defaults of Spillover.
const (
	defaultSameRegionDelay  = Duration(time.Millisecond)
	defaultCrossRegionDelay = Duration(15 * time.Millisecond)
)

// WithDefaults returns the section with the defaults in place of absent values.
func (s Spillover) WithDefaults() Spillover {
	s.SameRegion = s.SameRegion.withDefaults(defaultSameRegionDelay)
	s.CrossRegion = s.CrossRegion.withDefaults(defaultCrossRegionDelay)
	return s
}

func (l Link) withDefaults(delay Duration) Link {
	if l.Delay == 0 {
		l.Delay = delay
	}
	return l
}
