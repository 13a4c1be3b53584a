package liveconfig

import (
	"context"
	"encoding/hex"
	"math/rand/v2"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/pause"
	"hawthornstream/internal/ports"
)

const (
	// peerPollPeriod is the interval at which a daemon without configuration
	// polls peers.
	peerPollPeriod = 250 * time.Millisecond
	// peersPerPoll is the number of peers that are polled at a time.
	peersPerPoll = 2
	// announceFanOut is the number of peers to which a daemon announces a new
	// revision. Each of them announces it to as many, so that the revision
	// reaches a fleet of hundreds of daemons in a few steps.
	announceFanOut = 3
	// pullTimeout is the time after which a pull without answer no longer
	// prevents a pull from another peer.
	pullTimeout = time.Second
)

func (m *Manager) registerHandlers(exchange ports.RevisionExchange) {
	exchange.ExchangeRevisions(
		func() uint64 { return uint64(m.currentNumber()) },
		func(from ports.DaemonID, revision uint64) {
			m.handleDigest(from, configuration.RevisionNumber(revision))
		})
	m.peers.Handle(ports.KindConfigurationDigest,
		func() ports.Message { return &ports.ConfigurationDigest{} },
		func(from ports.DaemonID, message ports.Message) {
			m.handleDigest(from, message.(*ports.ConfigurationDigest).Number)
		})
	m.peers.Handle(ports.KindConfigurationPull,
		func() ports.Message { return &ports.ConfigurationPull{} },
		func(from ports.DaemonID, message ports.Message) {
			m.handlePull(from, message.(*ports.ConfigurationPull))
		})
	m.peers.Handle(ports.KindConfigurationPush,
		func() ports.Message { return &ports.ConfigurationPush{} },
		func(from ports.DaemonID, message ports.Message) {
			m.handlePush(from, message.(*ports.ConfigurationPush))
		})
}

// pollPeers sends random peers the revision number zero until this daemon has a
// configuration. A peer that has one replies with the number of its revision.
// Later, daemons exchange their revision numbers on the probes.
func (m *Manager) pollPeers(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil && m.Current() == nil {
		for _, peer := range m.randomPeers(random, peersPerPoll) {
			m.peers.Send(peer, &ports.ConfigurationDigest{})
		}
		pause.For(ctx, peerPollPeriod)
	}
}

func (m *Manager) randomPeers(random *rand.Rand, count int) []ports.DaemonID {
	self := m.directory.Self().Name
	var peers []ports.DaemonID
	for _, daemon := range m.directory.Daemons() {
		if daemon.Name != self {
			peers = append(peers, daemon.Name)
		}
	}
	random.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(count, len(peers))]
}

// handleDigest compares the revision number of a peer with this daemon's own
// and brings the one that is behind up to date. If this daemon is behind, it
// pulls. If the peer is behind, this daemon sends a patch, or only its revision
// number when it no longer has the base of a patch.
func (m *Manager) handleDigest(from ports.DaemonID, number configuration.RevisionNumber) {
	current := m.Current()
	switch {
	case current == nil || number > current.Number:
		if number > 0 {
			m.pull(from, m.currentNumber())
		}
	case number == current.Number:
	case m.recentRevision(number) != nil:
		m.peers.Send(from, newPush(m.recentRevision(number), current))
	default:
		// The peer then pulls the whole document from one of the daemons that
		// reply.
		m.peers.Send(from, &ports.ConfigurationDigest{Number: current.Number})
	}
}

// handlePull replies with the revision in force if the peer has an older one.
func (m *Manager) handlePull(from ports.DaemonID, pull *ports.ConfigurationPull) {
	current := m.Current()
	if current == nil || current.Number <= pull.Have {
		return
	}
	m.peers.Send(from, newPush(m.recentRevision(pull.Have), current))
}

// handlePush adopts a newer revision from a peer and passes it on. If the patch
// does not apply to the revision in force, it pulls a fitting patch or, after an
// invalid patch, the whole document.
func (m *Manager) handlePush(from ports.DaemonID, push *ports.ConfigurationPush) {
	current := m.Current()
	if current != nil && push.Number <= current.Number {
		return
	}
	if push.Base != 0 && (current == nil || push.Base != current.Number) {
		m.pull(from, m.currentNumber())
		return
	}
	revision, err := revisionFromPush(current, push)
	if err != nil {
		m.countIgnored(ignoredInvalid, sourcePeer)
		m.logger.Warn().Str("event", "configuration-push-invalid").Str("peer", string(from)).Err(err).Msg("")
		if push.Base != 0 {
			m.pull(from, 0)
		}
		return
	}
	_, adopted := m.adopt(revision, sourcePeer)
	switch {
	case adopted && m.allMayWatch:
		m.announce(revision.Number)
	case adopted:
		m.forward(from, push)
	}
}

// announce sends the number of a new revision to some random peers. It is used
// where all daemons may watch the platform, and serves the daemons that don't get
// the revision from the platform.
func (m *Manager) announce(number configuration.RevisionNumber) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for _, peer := range m.randomPeers(random, announceFanOut) {
		m.peers.Send(peer, &ports.ConfigurationDigest{Number: number})
	}
}

// pull requests a revision above have from a peer, unless another pull is pending.
// The peer may reply with a patch of the revision have; zero requests the whole
// document.
func (m *Manager) pull(peer ports.DaemonID, have configuration.RevisionNumber) {
	now := time.Now()
	m.mu.Lock()
	pending := now.Before(m.pullDeadline)
	if !pending {
		m.pullDeadline = now.Add(pullTimeout)
	}
	m.mu.Unlock()
	if pending {
		return
	}
	m.scope.Counter("configuration_pulls").Inc(1)
	m.peers.Send(peer, &ports.ConfigurationPull{Have: have})
}

// propagate sends a revision that did not come from a peer along the forwarding
// tree.
func (m *Manager) propagate(previous, revision *ports.Configuration) {
	m.forward(m.directory.Self().Name, newPush(previous, revision))
}

// forward sends a revision to this daemon's children in the forwarding tree of
// its failure domain. A revision that did not come from the daemon's parent in
// the tree goes to the watchers, the roots of the tree, as well.
func (m *Manager) forward(from ports.DaemonID, push *ports.ConfigurationPush) {
	self := m.directory.Self()
	ranked := rankDaemons(m.directory.Daemons(), self.Domain)
	targets := map[ports.DaemonID]bool{}
	for _, child := range children(ranked, self.Name) {
		targets[child] = true
	}
	if !isParent(ranked, from, self.Name) {
		for _, watcher := range otherWatchers(ranked, self.Name) {
			targets[watcher] = true
		}
	}
	delete(targets, from)
	for target := range targets {
		m.peers.Send(target, push)
	}
}

func isParent(ranked []ports.DaemonID, parent, child ports.DaemonID) bool {
	for _, candidate := range children(ranked, parent) {
		if candidate == child {
			return true
		}
	}
	return false
}

// newPush returns a message with a revision: as a patch of the base, or with the
// whole document if base is nil.
func newPush(base, revision *ports.Configuration) *ports.ConfigurationPush {
	digest, _ := hex.DecodeString(revision.Digest)
	push := &ports.ConfigurationPush{
		Number:          revision.Number,
		ApplyID:         revision.ApplyID,
		Author:          revision.Author,
		AcceptedAtNanos: revision.AcceptedAt.UnixNano(),
		Digest:          digest,
	}
	if base == nil {
		push.Document = configuration.Canonical(revision.Document)
		return push
	}
	push.Base = base.Number
	push.Patch = configuration.CreatePatch(base.Document, revision.Document)
	return push
}

// revisionFromPush returns the validated revision of a message. If the message
// holds a patch, current must be its base. It fails with
// *configuration.PatchError or *configuration.InvalidDocumentError.
func revisionFromPush(current *ports.Configuration, push *ports.ConfigurationPush) (*ports.Configuration, error) {
	document, err := documentFromPush(current, push)
	if err != nil {
		return nil, err
	}
	acceptedAt := time.Unix(0, push.AcceptedAtNanos)
	revision, err := configuration.NewRevision(push.Number, push.ApplyID, push.Author, acceptedAt, document)
	if err != nil {
		return nil, err
	}
	if revision.Digest != hex.EncodeToString(push.Digest) {
		return nil, &configuration.PatchError{Cause: "the digest differs"}
	}
	return revision, nil
}

func documentFromPush(current *ports.Configuration, push *ports.ConfigurationPush) (configuration.Document, error) {
	if push.Base == 0 {
		return configuration.ParseAccepted(push.Document)
	}
	return configuration.ApplyPatch(current.Document, push.Patch)
}
