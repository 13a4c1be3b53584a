package dispatch

import (
	"time"

	"hawthornstream/internal/ports"
)

// SetColdUntil records that the servers of a failure domain may be cold until the given
// time.
func (p *Pool) SetColdUntil(ports.FailureDomain, time.Time) {}
