package experiment

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"hawthornstream/internal/core/configuration"
	"hawthornstream/internal/ports"
	"hawthornstream/testbench/fleet"
)

const (
	operatorRequestTimeout = 8 * time.Second
	// applyRetryInterval is the pause before an attempt with an unknown outcome is
	// retried.
	applyRetryInterval = 100 * time.Millisecond
)

// operatorClient applies configuration documents as hawthornctl does, without
// running its process.
type operatorClient struct {
	experiment *Experiment
	client     *http.Client
}

func newOperatorClient(e *Experiment) *operatorClient {
	return &operatorClient{experiment: e, client: &http.Client{Timeout: operatorRequestTimeout}}
}

// applyAttempt is one attempt to apply a document as the next revision.
type applyAttempt struct {
	applyID      string
	baseRevision configuration.RevisionNumber
	// variant is a number that makes the document differ from all others.
	variant int
}

// applyOutcome is the outcome of an attempt: an accepted revision or a conflict.
type applyOutcome struct {
	applyAttempt
	accepted configuration.RevisionSummary
	conflict *configuration.ConflictError
	// retries counts the retries after requests with an unknown outcome.
	retries int
}

// document returns the fleet's document with one deadline that depends on the
// variant.
func (c *operatorClient) document(variant int) configuration.Document {
	document := c.experiment.Fleet.Document()
	document.Classes = maps.Clone(document.Classes)
	class := document.Classes[fleet.ClassDraft]
	class.AnswerWithin = configuration.Duration(time.Hour + time.Duration(variant)*time.Second)
	document.Classes[fleet.ClassDraft] = class
	return document
}

// apply makes an attempt and retries it until its outcome is known.
func (c *operatorClient) apply(ctx context.Context, daemon *fleet.Daemon, attempt applyAttempt) (applyOutcome, error) {
	result := applyOutcome{applyAttempt: attempt}
	body, err := json.Marshal(c.document(attempt.variant))
	if err != nil {
		return result, err
	}
	for {
		decided, err := c.putOnce(ctx, daemon, body, &result)
		if decided || err != nil {
			return result, err
		}
		result.retries++
		select {
		case <-time.After(applyRetryInterval):
		case <-ctx.Done():
			return result, ctx.Err()
		}
	}
}

// putOnce sends the attempt once. It returns false when the outcome is unknown.
func (c *operatorClient) putOnce(ctx context.Context, daemon *fleet.Daemon, body []byte, result *applyOutcome) (bool, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, daemon.OperatorsURL()+"/v1/configuration", bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	request.Header.Set("Authorization", "Bearer "+fleet.OperatorKey)
	request.Header.Set(ports.HeaderIfMatch, strconv.Quote(strconv.FormatUint(uint64(result.baseRevision), 10)))
	request.Header.Set(ports.HeaderApplyID, result.applyID)
	response, err := c.client.Do(request)
	if err != nil {
		return false, ctx.Err()
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(response.Body)
	switch response.StatusCode {
	case http.StatusOK:
		return true, decoder.Decode(&result.accepted)
	case http.StatusPreconditionFailed:
		var problem ports.OperatorProblem
		err := decoder.Decode(&problem)
		result.conflict = problem.Conflict
		return true, err
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return false, nil
	default:
		return false, fmt.Errorf("%s answered %s", daemon.ID(), response.Status)
	}
}

// revisionPollInterval is the time between two polls of a daemon's revision in
// force.
const revisionPollInterval = 50 * time.Millisecond

// revisionObservation is when a revision was first seen in force at a daemon.
type revisionObservation struct {
	number    configuration.RevisionNumber
	firstSeen time.Time
}

// revisionMonitor polls which revisions daemons have in force.
type revisionMonitor struct {
	mu sync.Mutex
	// observations are in ascending order of revisions.
	observations map[ports.DaemonID][]revisionObservation
	// reverts counts the polls that returned a lower revision than the daemon had
	// before.
	reverts int
	cancel  context.CancelFunc
	pollers sync.WaitGroup
}

// startRevisionMonitor polls daemons until ctx ends or close is called.
func startRevisionMonitor(ctx context.Context, daemons []*fleet.Daemon) *revisionMonitor {
	ctx, cancel := context.WithCancel(ctx)
	m := &revisionMonitor{observations: make(map[ports.DaemonID][]revisionObservation), cancel: cancel}
	for _, daemon := range daemons {
		m.pollers.Go(func() { m.pollDaemon(ctx, daemon) })
	}
	return m
}

func (m *revisionMonitor) pollDaemon(ctx context.Context, daemon *fleet.Daemon) {
	for ctx.Err() == nil {
		if status, err := daemon.Status(ctx); err == nil {
			m.observe(daemon.ID(), status.Revision, time.Now())
		}
		time.Sleep(revisionPollInterval)
	}
}

func (m *revisionMonitor) observe(daemon ports.DaemonID, number configuration.RevisionNumber, seenAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	earlier := m.observations[daemon]
	if len(earlier) > 0 {
		last := earlier[len(earlier)-1].number
		if number < last {
			m.reverts++
		}
		if number <= last {
			return
		}
	}
	m.observations[daemon] = append(earlier, revisionObservation{number: number, firstSeen: seenAt})
}

// close stops polling and waits for the pollers to end.
func (m *revisionMonitor) close() {
	m.cancel()
	m.pollers.Wait()
}

// firstInForce returns when a daemon was first seen with the given or a higher
// revision in force. It returns false when that never happened.
func (m *revisionMonitor) firstInForce(daemon ports.DaemonID, number configuration.RevisionNumber) (time.Time, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, observation := range m.observations[daemon] {
		if observation.number >= number {
			return observation.firstSeen, true
		}
	}
	return time.Time{}, false
}

// waitInForce waits until each daemon has the given or a higher revision in force
// or ctx ends.
func (m *revisionMonitor) waitInForce(ctx context.Context, daemons []*fleet.Daemon, number configuration.RevisionNumber) {
	for _, daemon := range daemons {
		for ctx.Err() == nil {
			if _, inForce := m.firstInForce(daemon.ID(), number); inForce {
				break
			}
			time.Sleep(revisionPollInterval)
		}
	}
}
