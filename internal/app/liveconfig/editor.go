package liveconfig

import (
	"context"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/pause"
	"hawthornstream/internal/ports"
)

// editTimeout limits an edit with all its attempts, including the reads that find
// out whether a write with a lost answer took effect.
const editTimeout = 5 * time.Second

// Apply implements ports.ConfigurationEditor.
func (m *Manager) Apply(ctx context.Context, edit configuration.Edit) (configuration.RevisionSummary, error) {
	summary, err := m.edit(ctx, edit.ApplyID, func(configuration.Chain) (configuration.Edit, error) {
		return edit, nil
	})
	if err == nil && summary.Digest != configuration.Digest(edit.Document) {
		return configuration.RevisionSummary{}, &ports.ApplyIDReusedError{ApplyID: edit.ApplyID, Number: summary.Number}
	}
	return summary, err
}

// EditStops implements ports.ConfigurationEditor.
func (m *Manager) EditStops(ctx context.Context, change ports.StopsEdit) (configuration.RevisionSummary, error) {
	return m.edit(ctx, change.ApplyID, func(chain configuration.Chain) (configuration.Edit, error) {
		edit := configuration.Edit{Base: chain.CurrentNumber(), ApplyID: change.ApplyID, Author: change.Author}
		if chain.Current != nil {
			edit.Document = chain.Current.Document
		}
		stops, err := change.Change(edit.Document.PlannedStops)
		edit.Document.PlannedStops = stops
		return edit, err
	})
}

// Chain implements ports.ConfigurationEditor.
func (m *Manager) Chain(ctx context.Context) (configuration.Chain, error) {
	chain, _, err := m.readChain(ctx)
	return chain, err
}

// readChain returns the platform's chain and the version of its object. If the
// platform has lost the revision that was in force on this daemon before the
// read, readChain returns a new chain that starts from that revision, so that
// revision numbers never decrease. A revision that is adopted during the read may
// be newer than the object without being lost, so it does not count.
func (m *Manager) readChain(ctx context.Context) (configuration.Chain, ports.ObjectVersion, error) {
	currentBefore := m.Current()
	object, err := m.objects.Get(ctx, configuration.ObjectName)
	var chain configuration.Chain
	switch {
	case isNotFound(err):
	case err != nil:
		return chain, 0, err
	default:
		if chain, err = configuration.ParseChain(object.Value); err != nil {
			return chain, 0, err
		}
	}
	if currentBefore != nil && currentBefore.Number > chain.CurrentNumber() {
		chain = configuration.NewChain(currentBefore)
	}
	return chain, object.Version, nil
}

// edit writes the next revision by a conditional update. If the answer to the
// write is lost, it reads the chain again and repeats the same edit until it
// knows whether it was accepted. It gives up when the platform can't be reached
// before the first write.
func (m *Manager) edit(ctx context.Context, applyID string, build func(configuration.Chain) (configuration.Edit, error)) (configuration.RevisionSummary, error) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	retry := newRetryBackoff()
	mayBeWritten := false
	for {
		summary, result, err := m.attemptEdit(ctx, applyID, build)
		mayBeWritten = mayBeWritten || result.mayBeWritten
		if !result.retryable {
			return summary, err
		}
		if result.platformUnavailable && !mayBeWritten {
			return summary, err
		}
		if !pause.For(ctx, retry.NextBackOff()) {
			return summary, timeoutError(applyID, mayBeWritten, err)
		}
	}
}

// timeoutError returns the error of an edit that ran out of time. Its outcome is
// unknown if a write may have taken effect.
func timeoutError(applyID string, mayBeWritten bool, cause error) error {
	if mayBeWritten {
		return &ports.EditOutcomeUnknownError{ApplyID: applyID, Cause: cause}
	}
	return &ports.PlatformUnavailableError{Operation: "edit", Cause: cause}
}

// attemptResult describes the result of one attempt of an edit.
type attemptResult struct {
	// retryable is true if the edit is undecided and another attempt is to
	// follow.
	retryable bool
	// platformUnavailable is true if the platform gave no usable answer.
	platformUnavailable bool
	// mayBeWritten is true if a write may have taken effect.
	mayBeWritten bool
}

// attemptEdit makes one attempt of an edit. It returns the existing summary if a
// revision with the apply ID was already accepted.
func (m *Manager) attemptEdit(ctx context.Context, applyID string, build func(configuration.Chain) (configuration.Edit, error)) (configuration.RevisionSummary, attemptResult, error) {
	var noSummary configuration.RevisionSummary
	chain, version, err := m.readChain(ctx)
	if err != nil {
		return noSummary, attemptResult{retryable: isUnavailable(err), platformUnavailable: true}, err
	}
	if summary, found := chain.FindByApplyID(applyID); found {
		m.adoptEdit(chain.Current)
		return summary, attemptResult{}, nil
	}
	edit, err := build(chain)
	if err != nil {
		return noSummary, attemptResult{}, err
	}
	next, err := chain.Append(edit, time.Now())
	if err != nil {
		return noSummary, attemptResult{}, err
	}
	value, err := next.Encode()
	if err != nil {
		return noSummary, attemptResult{}, err
	}
	_, err = m.objects.Put(ctx, configuration.ObjectName, value, version)
	switch {
	case err == nil:
		m.adoptEdit(next.Current)
		return next.History[0], attemptResult{}, nil
	case isUnavailable(err):
		return noSummary, attemptResult{retryable: true, platformUnavailable: true, mayBeWritten: true}, err
	default:
		// Another write came first. The next attempt reads its result.
		return noSummary, attemptResult{retryable: true}, err
	}
}

// adoptEdit puts a revision in force that was read or written for an operator,
// and propagates it to peers.
func (m *Manager) adoptEdit(revision *ports.Configuration) {
	previous, adopted := m.adopt(revision, sourceOperator)
	if adopted {
		m.propagate(previous, revision)
	}
}
