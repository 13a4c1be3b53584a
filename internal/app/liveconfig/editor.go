package liveconfig

import (
	"context"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/pause"
	"hawthornstream/internal/ports"
)

// editTimeout bounds one edit, with the reading back of a write whose answer
// was lost.
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

// readChain returns the platform's chain and the version of its object. When
// the platform has lost what was in force here before the reading, the chain
// starts from that.
func (m *Manager) readChain(ctx context.Context) (configuration.Chain, ports.ObjectVersion, error) {
	before := m.Current()
	object, err := m.objects.Get(ctx, configuration.ObjectName)
	var chain configuration.Chain
	switch {
	case notFound(err):
	case err != nil:
		return chain, 0, err
	default:
		if chain, err = configuration.ParseChain(object.Value); err != nil {
			return chain, 0, err
		}
	}
	if before != nil && before.Number > chain.CurrentNumber() {
		chain = configuration.NewChain(before)
	}
	return chain, object.Version, nil
}

// edit writes the next revision by conditional update. When the answer to the
// write is lost, it reads the chain back and repeats the same write until it
// knows whether it was accepted.
func (m *Manager) edit(ctx context.Context, applyID string, build func(configuration.Chain) (configuration.Edit, error)) (configuration.RevisionSummary, error) {
	ctx, cancel := context.WithTimeout(ctx, editTimeout)
	defer cancel()
	retry := newRetry()
	written := false
	for {
		summary, progress, err := m.tryEdit(ctx, applyID, build)
		written = written || progress.written
		if !progress.again {
			return summary, err
		}
		if progress.unavailable && !written {
			return summary, err
		}
		if !pause.For(ctx, retry.NextBackOff()) {
			return summary, unfinished(applyID, written, err)
		}
	}
}

// unfinished is the error of an edit whose time is over.
func unfinished(applyID string, written bool, cause error) error {
	if written {
		return &ports.EditOutcomeUnknownError{ApplyID: applyID, Cause: cause}
	}
	return &ports.PlatformUnavailableError{Operation: "edit", Cause: cause}
}

// editProgress says how one try of an edit went.
type editProgress struct {
	// again is false when the edit is over.
	again bool
	// unavailable is true when the platform gave no usable answer.
	unavailable bool
	// written is true when a write may have taken effect.
	written bool
}

func (m *Manager) tryEdit(ctx context.Context, applyID string, build func(configuration.Chain) (configuration.Edit, error)) (configuration.RevisionSummary, editProgress, error) {
	var none configuration.RevisionSummary
	chain, version, err := m.readChain(ctx)
	if err != nil {
		return none, editProgress{again: isUnavailable(err), unavailable: true}, err
	}
	if summary, found := chain.FindByApplyID(applyID); found {
		m.adoptEdited(chain.Current)
		return summary, editProgress{}, nil
	}
	edit, err := build(chain)
	if err != nil {
		return none, editProgress{}, err
	}
	next, err := chain.Append(edit, time.Now())
	if err != nil {
		return none, editProgress{}, err
	}
	value, err := next.Encode()
	if err != nil {
		return none, editProgress{}, err
	}
	_, err = m.objects.Put(ctx, configuration.ObjectName, value, version)
	switch {
	case err == nil:
		m.adoptEdited(next.Current)
		return next.History[0], editProgress{}, nil
	case isUnavailable(err):
		return none, editProgress{again: true, unavailable: true, written: true}, err
	default:
		// Another write came first: the next try reads what it was.
		return none, editProgress{again: true}, err
	}
}

func (m *Manager) adoptEdited(revision *ports.Configuration) {
	previous, taken := m.adopt(revision, sourceOperator)
	if taken {
		m.spread(previous, revision)
	}
}
