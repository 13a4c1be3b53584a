package liveconfig

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/core/membership"
	"hawthornstream/internal/ports"
)

const (
	// maxSmallFleet is the largest number of daemons in a fleet whose daemons may
	// all watch the platform. Every watch counts as a call to the platform.
	maxSmallFleet = 12
	// watcherCheckPeriod is the maximum time until a daemon that does not watch
	// checks again whether it should.
	watcherCheckPeriod = 500 * time.Millisecond
	// minRetryDelay and maxRetryDelay limit the backoff after failed calls to the
	// platform.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

// watchPlatform watches for accepted revisions while this daemon is a watcher,
// and reads the newest revision while the daemon has no configuration. It skips
// a corrupt chain and waits for the next version.
func (m *Manager) watchPlatform(ctx context.Context) {
	retry := newRetryBackoff()
	var seen ports.StoreVersion
	for ctx.Err() == nil {
		update, method, err := m.fetchUpdate(ctx, seen)
		var corrupt *configuration.CorruptChainError
		switch {
		case ctx.Err() != nil:
			return
		case method == fetchNone:
			m.waitForDirectoryChange(ctx, watcherCheckPeriod)
		case errors.As(err, &corrupt):
			m.countIgnored(ignoredCorrupt, sourcePlatform)
			m.logger.Error().Str("event", "configuration-corrupt").Uint64("version", update.Version.Revision).
				Err(err).Msg("")
			m.setPlatformError("")
			seen = update.Version
			m.waitAfterRead(ctx, method, retry)
		case err != nil:
			m.setPlatformError(err.Error())
			m.waitForDirectoryChange(ctx, retry.NextBackOff())
		default:
			m.setPlatformError("")
			m.adoptUpdate(update)
			if m.Current() != nil {
				retry.Reset()
			}
			seen = update.Version
			m.waitAfterRead(ctx, method, retry)
		}
	}
}

// waitAfterRead pauses after a read that brought no configuration. Unlike a watch,
// the next read would return at once.
func (m *Manager) waitAfterRead(ctx context.Context, method fetchMethod, retry *backoff.ExponentialBackOff) {
	if method == fetchRead && m.Current() == nil {
		m.waitForDirectoryChange(ctx, retry.NextBackOff())
	}
}

func newRetryBackoff() *backoff.ExponentialBackOff {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = minRetryDelay
	retry.MaxInterval = maxRetryDelay
	return retry
}

// fetchMethod says how an update was fetched from the platform.
type fetchMethod uint8

const (
	// fetchNone means that no call was made.
	fetchNone fetchMethod = iota
	// fetchWatch means that the call waited for a change.
	fetchWatch
	// fetchRead means that the call returned the newest revision at once.
	fetchRead
)

// fetchUpdate waits for the next revision if this daemon is a watcher, or reads
// the newest revision if it has no configuration. Otherwise it makes no call.
func (m *Manager) fetchUpdate(ctx context.Context, seen ports.StoreVersion) (ports.RevisionUpdate, fetchMethod, error) {
	self := m.directory.Self()
	daemons := m.directory.Daemons()
	switch {
	case m.shouldWatch(daemons, rankDaemons(daemons, self.Domain), self.Name):
		update, err := m.feed.Await(ctx, seen)
		return update, fetchWatch, err
	case m.Current() == nil:
		update, err := m.feed.Newest(ctx)
		return update, fetchRead, err
	default:
		return ports.RevisionUpdate{}, fetchNone, nil
	}
}

// shouldWatch reports whether this daemon watches the platform. While it has no
// configuration in a small fleet, its first watch returns the newest revision at once.
func (m *Manager) shouldWatch(daemons []ports.VM, ranked []ports.DaemonID, self ports.DaemonID) bool {
	if !m.allMayWatch {
		return isWatcher(ranked, self)
	}
	if m.Current() == nil && len(daemons) <= maxSmallFleet {
		return true
	}
	policy := membership.WatchPolicy{MaxAllWatching: maxSmallFleet, PerDomain: watchersPerDomain}
	rank := slices.Index(ranked, self)
	return rank >= 0 && policy.IsWatcher(time.Since(m.startedAt), len(daemons), rank)
}

// adoptUpdate adopts a revision from the platform and informs peers of it.
func (m *Manager) adoptUpdate(update ports.RevisionUpdate) {
	if update.Revision == nil {
		return
	}
	previous, adopted := m.adopt(update.Revision, sourcePlatform)
	switch {
	case adopted && m.allMayWatch:
		m.announce(update.Revision.Number)
	case adopted:
		m.propagate(previous, update.Revision)
	}
}

// waitForDirectoryChange returns after a change of the directory, after maxWait
// or when the context ends.
func (m *Manager) waitForDirectoryChange(ctx context.Context, maxWait time.Duration) {
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-m.directoryChanged:
	case <-timer.C:
	}
}

// isNotFound returns whether an error means that the object does not exist.
func isNotFound(err error) bool {
	var missing *ports.ObjectNotFoundError
	return errors.As(err, &missing)
}

// isUnavailable returns whether an error means that the platform gave no usable
// answer.
func isUnavailable(err error) bool {
	var unavailable *ports.PlatformUnavailableError
	return errors.As(err, &unavailable)
}
