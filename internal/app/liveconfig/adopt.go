package liveconfig

import (
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
)

// maxRecentRevisions is the number of latest revisions, including the one in
// force, that are kept as bases of patches for peers.
const maxRecentRevisions = 16

// source is the origin of a revision, as named in metrics and logs.
type source string

const (
	sourcePlatform source = "platform"
	sourcePeer     source = "peer"
	sourceOperator source = "operator"
)

// ignoreReason is the reason for not adopting a revision, as named in metrics and
// logs.
type ignoreReason string

const (
	ignoredNotHigher   ignoreReason = "not-higher"
	ignoredOtherDigest ignoreReason = "same-number-other-digest"
	ignoredInvalid     ignoreReason = "invalid"
	ignoredCorrupt     ignoreReason = "corrupt-chain"
)

// adopt puts a validated revision in force if its number is higher than that of
// the revision in force, and then calls the callbacks. It returns the revision
// that was in force before, nil for none, and whether the new one was adopted.
func (m *Manager) adopt(revision *ports.Configuration, from source) (*ports.Configuration, bool) {
	previous, adopted := m.replaceCurrent(revision)
	if !adopted {
		m.reportIgnored(revision, previous, from)
		return previous, false
	}
	m.scope.Tagged(map[string]string{"source": string(from)}).Counter("configuration_adopted").Inc(1)
	m.scope.Gauge("configuration_revision").Update(float64(revision.Number))
	delay := time.Since(revision.AcceptedAt)
	m.scope.Gauge("configuration_delay_seconds").Update(delay.Seconds())
	m.logger.Info().Str("event", "configuration-adopted").Uint64("revision", uint64(revision.Number)).
		Str("source", string(from)).Dur("delay", delay).Str("digest", revision.Digest).Msg("")
	m.notifyCallbacks()
	return previous, true
}

// replaceCurrent returns as adopt does.
func (m *Manager) replaceCurrent(revision *ports.Configuration) (*ports.Configuration, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous := m.current
	if previous != nil && revision.Number <= previous.Number {
		return previous, false
	}
	m.current = revision
	m.pullDeadline = time.Time{}
	m.recentRevisions = append(m.recentRevisions, revision)
	if len(m.recentRevisions) > maxRecentRevisions {
		m.recentRevisions = m.recentRevisions[1:]
	}
	return previous, true
}

// reportIgnored counts and logs a revision that was not adopted. A revision that
// is already in force is not reported.
func (m *Manager) reportIgnored(revision, current *ports.Configuration, from source) {
	reason := ignoredNotHigher
	if revision.Number == current.Number {
		if revision.Digest == current.Digest {
			return
		}
		reason = ignoredOtherDigest
	}
	m.countIgnored(reason, from)
	m.logger.Warn().Str("event", "configuration-ignored").Str("reason", string(reason)).
		Uint64("revision", uint64(revision.Number)).Uint64("current", uint64(current.Number)).
		Str("source", string(from)).Msg("")
}

func (m *Manager) countIgnored(reason ignoreReason, from source) {
	tags := map[string]string{"reason": string(reason), "source": string(from)}
	m.scope.Tagged(tags).Counter("configuration_ignored").Inc(1)
}

// notifyCallbacks calls the callbacks with the revision in force. Callbacks get a
// revision at most once and in ascending order, and not every one if revisions
// follow each other quickly.
func (m *Manager) notifyCallbacks() {
	m.callbackMu.Lock()
	defer m.callbackMu.Unlock()
	current := m.Current()
	if current.Number <= m.lastNotified {
		return
	}
	m.lastNotified = current.Number
	for _, callback := range m.callbacks {
		callback(current)
	}
}

// currentNumber returns the number of the revision in force, or zero for none.
func (m *Manager) currentNumber() configuration.RevisionNumber {
	current := m.Current()
	if current == nil {
		return 0
	}
	return current.Number
}

// recentRevision returns the revision with the given number if it is one of the
// latest maxRecentRevisions on this daemon, and nil otherwise.
func (m *Manager) recentRevision(number configuration.RevisionNumber) *ports.Configuration {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, revision := range m.recentRevisions {
		if revision.Number == number {
			return revision
		}
	}
	return nil
}
