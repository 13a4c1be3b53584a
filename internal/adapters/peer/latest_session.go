package peer

import "hawthornstream/internal/ports"

// latestSession describes the last accepted session of a sender.
type latestSession struct {
	incarnation ports.Incarnation
	number      uint64
	// active is nil once the session has ended.
	active *acceptedSession
}

// registerSession records a session as the latest of its sender and closes the
// connection of the previous one. It returns false if a later session of the same
// incarnation was accepted before: an interrupted connection may deliver buffered
// messages late, and these must not be handled after those of a later session.
func (t *Transport) registerSession(s *acceptedSession, hello *helloMessage) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous, ok := t.latestSessions[hello.From]
	if ok && previous.incarnation == hello.Incarnation && previous.number > hello.Session {
		return false
	}
	if previous.active != nil && previous.active.conn != nil {
		_ = previous.active.conn.metered.Close()
	}
	t.latestSessions[hello.From] = latestSession{
		incarnation: hello.Incarnation,
		number:      hello.Session,
		active:      s,
	}
	return true
}

// PeerIncarnation implements ports.PeerIncarnations.
func (t *Transport) PeerIncarnation(peer ports.DaemonID) ports.Incarnation {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latestSessions[peer].incarnation
}

// isLatest reports whether no later session of the sender was accepted.
func (t *Transport) isLatest(s *acceptedSession) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.latestSessions[s.from].active == s
}

// markEnded records the end of a session. It forgets sessions of senders that the VM
// list doesn't show, so that forged sender names take no memory.
func (t *Transport) markEnded(s *acceptedSession) {
	t.mu.Lock()
	defer t.mu.Unlock()
	latest := t.latestSessions[s.from]
	if latest.active != s {
		return
	}
	if _, known := t.peers[s.from]; !known {
		delete(t.latestSessions, s.from)
		return
	}
	latest.active = nil
	t.latestSessions[s.from] = latest
}
