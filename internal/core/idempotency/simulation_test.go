package idempotency

import (
	"fmt"
	"slices"
	"time"

	"hawthornstream/internal/core/outcome"
)

// The simulation consists of one range with its object on the platform, two
// daemons that both act as its owner, and entries that try to run the calls of
// simulatedKeys keys.
const (
	simulatedOwners   = 2
	simulatedKeys     = 1
	simulatedAttempts = 4
	simulatedTick     = 600 * time.Millisecond
	// beginReplyTimeout is how long an entry waits for the reply to a begin.
	beginReplyTimeout = 3 * time.Second
)

// attemptState is the state of an attempt at its entry.
type attemptState int

const (
	notStarted attemptState = iota
	awaitingVerdict
	running
	ran
	notRun
	abandoned
)

type attempt struct {
	id    AttemptID
	key   Digest
	state attemptState
	// finishConfirmed is true once an owner has confirmed the end.
	finishConfirmed bool
	// grantLost is true if a grant was lost or may have been. If the attempt was
	// abandoned before, its record then stays until its retention ends.
	grantLost bool
}

// delayedWrite is a write that the platform has not executed yet.
type delayedWrite struct {
	value    []byte
	expected Version
}

// replyInTransit is a reply that its entry has not received yet, with the index of
// the owner that sent it.
type replyInTransit struct {
	Reply
	owner int
}

type simulation struct {
	now time.Time
	// value and version are those of the range's object on the platform.
	value    []byte
	version  Version
	owners   [simulatedOwners]*RangeOwner
	actions  [simulatedOwners]Action
	delayed  []delayedWrite
	replies  []replyInTransit
	attempts [simulatedAttempts]attempt
	// steps are the names of the commands run so far.
	steps []string
	// violation describes a violated property. It is empty if there is none.
	violation string
}

func newSimulation() *simulation {
	sim := &simulation{now: time.Unix(1_000_000, 0)}
	for i := range sim.owners {
		sim.owners[i] = NewRangeOwner()
	}
	for i := range sim.attempts {
		sim.attempts[i] = attempt{id: AttemptID(fmt.Sprintf("a%d", i)), key: Digest{byte(i % simulatedKeys)}}
	}
	return sim
}

func (sim *simulation) begin(index, owner int) {
	a := &sim.attempts[index]
	if a.state != notStarted && a.state != awaitingVerdict {
		return
	}
	a.state = awaitingVerdict
	sim.owners[owner].Submit(Operation{
		Entry: "entry", Key: a.key, Attempt: a.id, IsBegin: true, Request: Digest{7},
		Deadline: sim.now.Add(time.Minute), ReplyDeadline: sim.now.Add(beginReplyTimeout),
	})
}

// finish ends an attempt, or sends its end again.
func (sim *simulation) finish(index, owner int, end outcome.RunState) {
	a := &sim.attempts[index]
	switch a.state {
	case running:
		a.state = ran
		if end == outcome.NotRun {
			a.state = notRun
		}
	case awaitingVerdict:
		a.state = abandoned
	}
	op := Operation{Entry: "entry", Key: a.key, Attempt: a.id, End: outcome.NotRun}
	switch a.state {
	case notStarted:
		return
	case ran:
		op.End = outcome.Ran
		op.Answer = &Answer{Status: 200, Body: []byte(a.id)}
	}
	sim.owners[owner].Submit(op)
}

// startAction starts the owner's next action unless one is in progress.
func (sim *simulation) startAction(owner int) {
	if sim.actions[owner].Kind == NoAction {
		sim.actions[owner] = sim.owners[owner].NextAction(sim.now)
	}
	sim.collectReplies(owner)
}

func (sim *simulation) collectReplies(owner int) {
	for _, reply := range sim.owners[owner].TakeReplies() {
		sim.replies = append(sim.replies, replyInTransit{Reply: reply, owner: owner})
	}
}

// actionResult is the result of an action at the platform.
type actionResult int

const (
	succeeds actionResult = iota
	responseLost
	requestLost
	writeDelayed
	// actionResultCount is the number of results.
	actionResultCount
)

// completeAction executes an owner's action and reports its result to the owner.
func (sim *simulation) completeAction(owner int, result actionResult) {
	action := sim.actions[owner]
	sim.actions[owner] = Action{}
	o := sim.owners[owner]
	switch action.Kind {
	case LoadRecords:
		if result == succeeds {
			o.HandleLoaded(mustDecode(sim.value), sim.version, sim.now)
		} else {
			o.HandleFailed()
		}
	case WriteRecords:
		sim.completeWrite(o, action, result)
	}
	sim.collectReplies(owner)
}

func (sim *simulation) completeWrite(o *RangeOwner, action Action, result actionResult) {
	value, err := Encode(action.Records)
	if err != nil {
		panic(err)
	}
	write := delayedWrite{value: value, expected: action.ExpectedVersion}
	switch result {
	case requestLost:
		o.HandleFailed()
	case writeDelayed:
		sim.delayed = append(sim.delayed, write)
		o.HandleFailed()
	default:
		if sim.conditionalUpdate(write) && result == succeeds {
			o.HandleWritten(sim.version, sim.now)
		} else {
			o.HandleFailed()
		}
	}
}

// conditionalUpdate executes a write if the object still has the expected version.
func (sim *simulation) conditionalUpdate(write delayedWrite) bool {
	if write.expected != sim.version {
		return false
	}
	sim.version++
	sim.value = write.value
	return true
}

func mustDecode(value []byte) Records {
	if value == nil {
		return Records{}
	}
	records, err := Decode(value)
	if err != nil {
		panic(err)
	}
	return records
}

// executeDelayedWrite executes the oldest delayed write.
func (sim *simulation) executeDelayedWrite() {
	if len(sim.delayed) > 0 {
		sim.conditionalUpdate(sim.delayed[0])
		sim.delayed = sim.delayed[1:]
	}
}

// deliverReply delivers the oldest reply to its entry.
func (sim *simulation) deliverReply() {
	reply, ok := sim.takeReply()
	if !ok {
		return
	}
	for i := range sim.attempts {
		if sim.attempts[i].id == reply.Operation.Attempt {
			sim.receiveReply(i, reply)
		}
	}
}

func (sim *simulation) takeReply() (replyInTransit, bool) {
	if len(sim.replies) == 0 {
		return replyInTransit{}, false
	}
	reply := sim.replies[0]
	sim.replies = sim.replies[1:]
	return reply, true
}

// dropReply loses the oldest reply.
func (sim *simulation) dropReply() {
	reply, ok := sim.takeReply()
	if ok && reply.Verdict == Granted {
		sim.markGrantLost(reply.Operation.Attempt)
	}
}

func (sim *simulation) markGrantLost(id AttemptID) {
	for i := range sim.attempts {
		if sim.attempts[i].id == id {
			sim.attempts[i].grantLost = true
		}
	}
}

func (sim *simulation) receiveReply(index int, reply replyInTransit) {
	a := &sim.attempts[index]
	switch {
	case reply.Verdict == FinishConfirmed:
		a.finishConfirmed = true
	case reply.Verdict == Granted && a.state == awaitingVerdict:
		a.state = running
	case reply.Verdict == Granted && (a.state == notRun || a.state == abandoned):
		a.finishConfirmed = false
		sim.finish(index, reply.owner, outcome.NotRun)
	case reply.Verdict == AlreadyEnded && a.state == awaitingVerdict:
		a.state = abandoned
		sim.checkReplayedAnswer(a.key, reply.Record)
	}
}

func (sim *simulation) checkReplayedAnswer(key Digest, record Record) {
	for i := range sim.attempts {
		other := &sim.attempts[i]
		if other.key == key && other.state == ran && record.Answer != nil && string(record.Answer.Body) == string(other.id) {
			return
		}
	}
	if record.End == outcome.Ran {
		sim.violation = "the replayed answer is not that of an attempt that ran"
	}
}

// checkSingleRun returns a violation if two attempts of a key run or ran.
func (sim *simulation) checkSingleRun() string {
	var runs [simulatedKeys]int
	for i := range sim.attempts {
		if state := sim.attempts[i].state; state == running || state == ran {
			runs[sim.attempts[i].key[0]]++
		}
	}
	for key, count := range runs {
		if count > 1 {
			sim.violation = fmt.Sprintf("key %d has %d runs", key, count)
		}
	}
	return sim.violation
}

// restartOwner restarts an owner's daemon. A write with its pending begins may have
// taken effect.
func (sim *simulation) restartOwner(owner int) {
	for _, op := range sim.owners[owner].pending {
		if op.IsBegin {
			sim.markGrantLost(op.Attempt)
		}
	}
	sim.owners[owner] = NewRangeOwner()
	sim.actions[owner] = Action{}
}

// finishAllAttempts ends all attempts without further faults. It returns a
// violation if a record of a running attempt remains, unless a grant of that
// attempt was lost.
func (sim *simulation) finishAllAttempts() string {
	for i := range sim.attempts {
		if sim.attempts[i].state == running {
			sim.finish(i, 0, outcome.NotRun)
		}
	}
	for range 2 {
		for i := range sim.attempts {
			if !sim.attempts[i].finishConfirmed {
				sim.finish(i, 0, outcome.NotRun)
			}
		}
		sim.completeAllActions()
		for len(sim.delayed) > 0 {
			sim.executeDelayedWrite()
		}
	}
	for _, record := range mustDecode(sim.value) {
		if record.isRunning() && !sim.isGrantLost(record.Attempt) {
			return fmt.Sprintf("attempt %s did not run, but its record still blocks the key", record.Attempt)
		}
	}
	return ""
}

func (sim *simulation) isGrantLost(id AttemptID) bool {
	return slices.ContainsFunc(sim.attempts[:], func(a attempt) bool { return a.id == id && a.grantLost })
}

func (sim *simulation) completeAllActions() {
	for range 20 {
		for owner := range sim.owners {
			sim.startAction(owner)
			sim.completeAction(owner, succeeds)
		}
		for len(sim.replies) > 0 {
			sim.deliverReply()
		}
		sim.now = sim.now.Add(simulatedTick)
	}
}
