package liveconfig

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

const (
	// smallFleet is the largest fleet in which each daemon may watch: a watch is a
	// call that counts.
	smallFleet = 12
	// startFor is how long the other daemons may be unknown after the start; the
	// configuration is read once meanwhile.
	startFor = 5 * time.Second
	// roleCheckPeriod is the longest time until a daemon that does not watch
	// looks whether it should.
	roleCheckPeriod = time.Second
	// firstRetry and lastRetry bound the wait after a failed call.
	firstRetry = 100 * time.Millisecond
	lastRetry  = 2 * time.Second
)

// followPlatform watches the accepted revisions while this daemon is a watcher,
// and reads the newest while the daemon has no configuration.
func (m *Manager) followPlatform(ctx context.Context) {
	retry := newRetry()
	var seen ports.ObjectVersion
	for ctx.Err() == nil {
		update, asked, err := m.askPlatform(ctx, seen)
		var corrupt *configuration.CorruptChainError
		switch {
		case ctx.Err() != nil:
			return
		case !asked:
			m.wait(ctx, roleCheckPeriod)
		case errors.As(err, &corrupt):
			m.countIgnored(ignoredCorrupt, sourcePlatform)
			m.logger.Error().Str("event", "configuration-corrupt").Uint64("version", uint64(update.Version)).
				Err(err).Msg("")
			seen = update.Version
			m.setPlatformFault("")
		case err != nil:
			m.setPlatformFault(err.Error())
			m.wait(ctx, retry.NextBackOff())
		default:
			retry.Reset()
			m.setPlatformFault("")
			m.adoptUpdate(update)
			seen = update.Version
		}
	}
}

func newRetry() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = firstRetry
	retry.MaxInterval = lastRetry
	return retry
}

// askPlatform watches as a watcher, reads as a daemon without configuration,
// and else does not ask.
func (m *Manager) askPlatform(ctx context.Context, seen ports.ObjectVersion) (ports.RevisionUpdate, bool, error) {
	self := m.directory.Self()
	order := domainOrder(m.directory.Daemons(), self.Domain)
	switch {
	case m.Current() != nil && m.everyoneWatches && time.Since(m.started) < startFor:
		return ports.RevisionUpdate{}, false, nil
	case m.everyoneWatches && len(m.directory.Daemons()) <= smallFleet || isWatcher(order, self.Name):
		update, err := m.feed.Await(ctx, seen)
		return update, true, err
	case m.Current() == nil:
		update, err := m.feed.Newest(ctx)
		return update, true, err
	default:
		return ports.RevisionUpdate{}, false, nil
	}
}

// adoptUpdate puts a revision of the platform in force and spreads it.
func (m *Manager) adoptUpdate(update ports.RevisionUpdate) {
	if update.Revision == nil {
		return
	}
	previous, taken := m.adopt(update.Revision, sourcePlatform)
	switch {
	case taken && m.everyoneWatches:
		m.announce(update.Revision.Number)
	case taken:
		m.spread(previous, update.Revision)
	}
}

func (m *Manager) wait(ctx context.Context, limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-m.changed:
	case <-timer.C:
	}
}

// notFound says whether the configuration's object does not exist.
func notFound(err error) bool {
	var missing *ports.ObjectNotFoundError
	return errors.As(err, &missing)
}

// isUnavailable says whether the platform gave no usable answer.
func isUnavailable(err error) bool {
	var unavailable *ports.PlatformUnavailableError
	return errors.As(err, &unavailable)
}
