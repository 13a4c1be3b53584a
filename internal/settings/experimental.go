package settings

import "hawthornstream/internal/core/configuration"

// Experimental disables single mechanisms of fair sharing, so that their effect
// can be measured. Leave it out in production.
type Experimental struct {
	// NoLift leaves a workspace that becomes backlogged at its old level, in
	// place of raising it to the level of the others.
	NoLift bool `json:"noLift,omitempty"`
	// NoEstimate charges no estimated cost when a slot is granted.
	NoEstimate bool `json:"noEstimate,omitempty"`
	// NoWidening requests slots from the nearest shard owners only.
	NoWidening bool `json:"noWidening,omitempty"`
	// NoExtrapolation assumes that other shard owners charge nothing between
	// two exchanges.
	NoExtrapolation bool `json:"noExtrapolation,omitempty"`
	// ExchangePeriod is the time between two exchanges of cost sums between
	// daemons. Default: 1s; 10ms to 1m.
	ExchangePeriod configuration.Duration `json:"exchangePeriod,omitempty" validate:"between=10ms 1m"`
}
