package metrics

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// Counters gives the counters of one name by the values of their tags. Unlike
// tally.Scope.Tagged it costs one look-up. It is safe for concurrent use.
type Counters struct {
	scope tally.Scope
	name  string
	tags  []string

	counters sync.Map
}

// maxTags is the most tags of one counter.
const maxTags = 3

// NewCounters returns the counters of a name with the given tags, three at most.
func NewCounters(scope tally.Scope, name string, tags ...string) *Counters {
	return &Counters{scope: scope, name: name, tags: tags[:min(len(tags), maxTags)]}
}

// Inc adds one to the counter with the values of the tags.
func (c *Counters) Inc(values ...string) {
	var key [maxTags]string
	copy(key[:], values)
	if found, ok := c.counters.Load(key); ok {
		found.(tally.Counter).Inc(1)
		return
	}
	tags := make(map[string]string, len(c.tags))
	for i, tag := range c.tags {
		tags[tag] = key[i]
	}
	counter := c.scope.Tagged(tags).Counter(c.name)
	c.counters.Store(key, counter)
	counter.Inc(1)
}
