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
	// askPeriod is the time between two questions of a daemon without
	// configuration.
	askPeriod = 250 * time.Millisecond
	// askedPeers is the number of peers that are asked at a time.
	askedPeers = 2
	// announcedPeers is the number of peers that are told of a new revision: each
	// daemon tells as many, so that a fleet of hundreds knows after a few steps.
	announcedPeers = 3
	// pullTimeout is the time after which another peer may be asked.
	pullTimeout = time.Second
)

func (m *Manager) register(exchange ports.RevisionExchange) {
	exchange.ExchangeRevisions(
		func() uint64 { return uint64(m.revisionInForce()) },
		func(from ports.DaemonID, revision uint64) {
			m.onDigest(from, configuration.RevisionNumber(revision))
		})
	m.peers.Handle(ports.KindConfigurationDigest,
		func() ports.Message { return &ports.ConfigurationDigest{} },
		func(from ports.DaemonID, message ports.Message) {
			m.onDigest(from, message.(*ports.ConfigurationDigest).Number)
		})
	m.peers.Handle(ports.KindConfigurationPull,
		func() ports.Message { return &ports.ConfigurationPull{} },
		func(from ports.DaemonID, message ports.Message) {
			m.onPull(from, message.(*ports.ConfigurationPull))
		})
	m.peers.Handle(ports.KindConfigurationPush,
		func() ports.Message { return &ports.ConfigurationPush{} },
		func(from ports.DaemonID, message ports.Message) {
			m.onPush(from, message.(*ports.ConfigurationPush))
		})
}

// askPeers tells random peers that this daemon has no configuration until it has
// one. Later, the numbers of the revisions ride on the probes between daemons.
func (m *Manager) askPeers(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil && m.Current() == nil {
		for _, peer := range m.randomPeers(random, askedPeers) {
			m.peers.Send(peer, &ports.ConfigurationDigest{})
		}
		pause.For(ctx, askPeriod)
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

// onDigest compares the number of a peer's revision with this daemon's: the one
// that lags gets what it lacks.
func (m *Manager) onDigest(from ports.DaemonID, number configuration.RevisionNumber) {
	current := m.Current()
	switch {
	case current == nil || number > current.Number:
		if number > 0 {
			m.pull(from, m.revisionInForce())
		}
	case number == current.Number:
	case m.recentRevision(number) != nil:
		m.peers.Send(from, newPush(m.recentRevision(number), current))
	default:
		// The peer pulls the whole document from one of those that answer.
		m.peers.Send(from, &ports.ConfigurationDigest{Number: current.Number})
	}
}

func (m *Manager) onPull(from ports.DaemonID, pull *ports.ConfigurationPull) {
	current := m.Current()
	if current == nil || current.Number <= pull.Have {
		return
	}
	m.peers.Send(from, newPush(m.recentRevision(pull.Have), current))
}

func (m *Manager) onPush(from ports.DaemonID, push *ports.ConfigurationPush) {
	current := m.Current()
	if current != nil && push.Number <= current.Number {
		return
	}
	if push.Base != 0 && (current == nil || push.Base != current.Number) {
		m.pull(from, m.revisionInForce())
		return
	}
	revision, err := readPush(current, push)
	if err != nil {
		m.countIgnored(ignoredInvalid, sourcePeer)
		m.logger.Warn().Str("event", "configuration-push-invalid").Str("peer", string(from)).Err(err).Msg("")
		if push.Base != 0 {
			m.pull(from, 0)
		}
		return
	}
	_, taken := m.adopt(revision, sourcePeer)
	switch {
	case taken && m.everyoneWatches:
		m.announce(revision.Number)
	case taken:
		m.forward(from, push)
	}
}

// announce tells some peers the number of a new revision. Where each daemon
// follows the platform itself, this helps those that the platform keeps it from.
func (m *Manager) announce(number configuration.RevisionNumber) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for _, peer := range m.randomPeers(random, announcedPeers) {
		m.peers.Send(peer, &ports.ConfigurationDigest{Number: number})
	}
}

// pull asks a peer for a higher revision unless another was asked just now.
func (m *Manager) pull(from ports.DaemonID, have configuration.RevisionNumber) {
	now := time.Now()
	m.mu.Lock()
	waiting := now.Before(m.pullUntil)
	if !waiting {
		m.pullUntil = now.Add(pullTimeout)
	}
	m.mu.Unlock()
	if waiting {
		return
	}
	m.scope.Counter("configuration_pulls").Inc(1)
	m.peers.Send(from, &ports.ConfigurationPull{Have: have})
}

// spread sends a revision that did not come from a peer along the tree.
func (m *Manager) spread(previous, revision *ports.Configuration) {
	m.forward(m.directory.Self().Name, newPush(previous, revision))
}

// forward sends a revision to this daemon's children in the tree. A revision
// that came from outside the tree goes to the roots as well.
func (m *Manager) forward(from ports.DaemonID, push *ports.ConfigurationPush) {
	self := m.directory.Self()
	order := domainOrder(m.directory.Daemons(), self.Domain)
	targets := map[ports.DaemonID]bool{}
	for _, child := range children(order, self.Name) {
		targets[child] = true
	}
	if !isParent(order, from, self.Name) {
		for _, root := range roots(order, self.Name) {
			targets[root] = true
		}
	}
	delete(targets, from)
	for target := range targets {
		m.peers.Send(target, push)
	}
}

func isParent(order []ports.DaemonID, parent, child ports.DaemonID) bool {
	for _, candidate := range children(order, parent) {
		if candidate == child {
			return true
		}
	}
	return false
}

// newPush returns the message that leads from a revision, nil for none, to
// another.
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

// readPush returns the checked revision that a message carries.
func readPush(current *ports.Configuration, push *ports.ConfigurationPush) (*ports.Configuration, error) {
	document, err := readDocument(current, push)
	if err != nil {
		return nil, err
	}
	accepted := time.Unix(0, push.AcceptedAtNanos)
	revision, err := configuration.NewRevision(push.Number, push.ApplyID, push.Author, accepted, document)
	if err != nil {
		return nil, err
	}
	if revision.Digest != hex.EncodeToString(push.Digest) {
		return nil, &configuration.PatchError{Cause: "the digest differs"}
	}
	return revision, nil
}

func readDocument(current *ports.Configuration, push *ports.ConfigurationPush) (configuration.Document, error) {
	if push.Base == 0 {
		return configuration.Parse(push.Document)
	}
	return configuration.ApplyPatch(current.Document, push.Patch)
}
