package liveconfig

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

// emptyFeed is a feed without any revision. Its reads return at once, its watches
// wait.
type emptyFeed struct {
	reads atomic.Int64
	// err is returned by reads.
	err error
}

func (f *emptyFeed) Newest(context.Context) (ports.RevisionUpdate, error) {
	return ports.RevisionUpdate{Version: ports.StoreVersion{Revision: uint64(f.reads.Add(1))}}, f.err
}

func (f *emptyFeed) Await(ctx context.Context, _ ports.StoreVersion) (ports.RevisionUpdate, error) {
	<-ctx.Done()
	return ports.RevisionUpdate{}, ctx.Err()
}

// No operator has written a configuration yet, or the stored one is corrupt, while
// other objects of the store change. A daemon that does not watch must pause between
// its reads.
func TestUnconfiguredDaemonPausesBetweenReads(t *testing.T) {
	const observed = 500 * time.Millisecond
	for name, err := range map[string]error{"none": nil, "corrupt": &configuration.CorruptChainError{}} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 1, 4)
			var feeds []*emptyFeed
			for _, m := range f.managers {
				feed := &emptyFeed{err: err}
				m.feed = feed
				feeds = append(feeds, feed)
				m.Run()
				t.Cleanup(m.Stop)
			}
			time.Sleep(observed)
			mostReads := int64(observed/minRetryDelay) * 2
			readers := 0
			for i, feed := range feeds {
				reads := feed.reads.Load()
				if reads > mostReads {
					t.Errorf("daemon %d read %d times within %s, want at most %d", i, reads, observed, mostReads)
				}
				if reads > 0 {
					readers++
				}
			}
			if readers == 0 {
				t.Error("no daemon read the configuration")
			}
		})
	}
}
