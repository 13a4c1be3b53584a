package idempotency

import (
	"fmt"
	"testing"
	"time"

	"hawthornstream/internal/core/outcome"
)

// completeOwnerActions executes the actions of owner 0 until nothing is pending and
// returns the replies.
func completeOwnerActions(sim *simulation) []replyInTransit {
	sim.replies = nil
	for range 8 {
		sim.startAction(0)
		sim.completeAction(0, succeeds)
	}
	return sim.replies
}

func beginOp(sim *simulation, key, request byte, id AttemptID) Operation {
	return Operation{
		Entry: "entry", Key: Digest{key}, Attempt: id, IsBegin: true, Request: Digest{request},
		Deadline: sim.now.Add(time.Minute), ReplyDeadline: sim.now.Add(beginReplyTimeout),
	}
}

func submitAndComplete(sim *simulation, ops ...Operation) []Verdict {
	for _, op := range ops {
		sim.owners[0].Submit(op)
	}
	var verdicts []Verdict
	for _, reply := range completeOwnerActions(sim) {
		verdicts = append(verdicts, reply.Verdict)
	}
	return verdicts
}

func expectSingleVerdict(t *testing.T, got []Verdict, want Verdict) {
	t.Helper()
	if len(got) != 1 || got[0] != want {
		t.Errorf("got verdicts %v, want %d", got, want)
	}
}

func TestVerdictsForOneKey(t *testing.T) {
	sim := newSimulation()
	expectSingleVerdict(t, submitAndComplete(sim, beginOp(sim, 1, 7, "a")), Granted)
	expectSingleVerdict(t, submitAndComplete(sim, beginOp(sim, 1, 7, "a")), Granted)
	expectSingleVerdict(t, submitAndComplete(sim, beginOp(sim, 1, 7, "b")), InProgress)
	expectSingleVerdict(t, submitAndComplete(sim, beginOp(sim, 1, 8, "c")), KeyReused)
	finish := Operation{Entry: "entry", Key: Digest{1}, Attempt: "a", End: outcome.Ran, Answer: &Answer{Status: 201}}
	expectSingleVerdict(t, submitAndComplete(sim, finish), FinishConfirmed)
	expectSingleVerdict(t, submitAndComplete(sim, beginOp(sim, 1, 7, "b")), AlreadyEnded)
	expectSingleVerdict(t, submitAndComplete(sim, beginOp(sim, 1, 8, "c")), KeyReused)
	sim.now = sim.now.Add(Retention + time.Second)
	expectSingleVerdict(t, submitAndComplete(sim, beginOp(sim, 1, 8, "d")), Granted)
}

// An attempt whose entry died may have run, so its record must not let another
// attempt run.
func TestOutcomeIsUnknownAfterEntryDies(t *testing.T) {
	sim := newSimulation()
	expectSingleVerdict(t, submitAndComplete(sim, beginOp(sim, 1, 7, "a")), Granted)
	sim.now = sim.now.Add(time.Minute + DeadlineGrace + time.Second)
	sim.owners[0].Submit(beginOp(sim, 1, 7, "b"))
	replies := completeOwnerActions(sim)
	if len(replies) != 1 || replies[0].Verdict != AlreadyEnded || replies[0].Record.End != outcome.Unknown {
		t.Errorf("got replies %+v, want one AlreadyEnded with the end unknown", replies)
	}
}

func TestOperationsAreBatchedIntoOneWrite(t *testing.T) {
	sim := newSimulation()
	const count = 200
	for i := range count {
		sim.owners[0].Submit(beginOp(sim, byte(i), 7, AttemptID(rune('a'+i))))
	}
	if got := len(completeOwnerActions(sim)); got != count {
		t.Errorf("got %d replies to the operations", got)
	}
	if sim.version != 1 {
		t.Errorf("got %d writes, want 1", sim.version)
	}
}

// An owner must not grant an attempt before its record is stored on the platform.
func TestGrantWaitsForWrite(t *testing.T) {
	sim := newSimulation()
	sim.owners[0].Submit(beginOp(sim, 1, 7, "a"))
	sim.startAction(0)
	sim.completeAction(0, succeeds)
	sim.startAction(0)
	if len(sim.replies) != 0 {
		t.Fatal("attempt granted before its record was written")
	}
	sim.completeAction(0, succeeds)
	if len(sim.replies) != 1 || sim.version != 1 {
		t.Errorf("got %d replies at version %d, want 1 at version 1", len(sim.replies), sim.version)
	}
}

func TestWriteWithLostResponseIsRecognised(t *testing.T) {
	sim := newSimulation()
	sim.owners[0].Submit(beginOp(sim, 1, 7, "a"))
	sim.startAction(0)
	sim.completeAction(0, succeeds)
	sim.startAction(0)
	sim.completeAction(0, responseLost)
	replies := completeOwnerActions(sim)
	if len(replies) != 1 || replies[0].Verdict != Granted || sim.version != 1 {
		t.Errorf("got replies %+v at version %d, want one Granted at version 1", replies, sim.version)
	}
}

func TestFullRangeKeepsOutcomes(t *testing.T) {
	sim := newSimulation()
	owner := sim.owners[0]
	records := make(Records)
	body := make([]byte, 10<<10)
	for i := 0; maxEncodedBytesOf(records) < MaxRangeBytes-len(body); i++ {
		records[Digest{0, byte(i), byte(i >> 8)}] = Record{
			UpdatedMillis: sim.now.UnixMilli() + int64(i), End: outcome.Ran, Answer: &Answer{Status: 200, Body: body},
		}
	}
	outcomesBefore := len(records)
	sim.value, _ = Encode(records)
	sim.version = 1
	for i := range 2 * MaxRangeBytes / maxBareRecordBytes {
		owner.Submit(beginOp(sim, byte(1+i%200), 7, AttemptID(fmt.Sprintf("%040d", i))))
		owner.pending[i].Key[1], owner.pending[i].Key[2] = byte(i), byte(i>>8)
	}
	refused := 0
	for _, reply := range completeOwnerActions(sim) {
		if reply.Verdict == RangeFull {
			refused++
		}
	}
	if refused == 0 {
		t.Error("no begin got RangeFull")
	}
	if len(sim.value) > MaxRangeBytes {
		t.Errorf("the object has %d bytes, above its upper bound", len(sim.value))
	}
	outcomesAfter := 0
	for _, record := range mustDecode(sim.value) {
		if record.End == outcome.Ran {
			outcomesAfter++
		}
	}
	if outcomesAfter != outcomesBefore {
		t.Errorf("%d of %d outcomes were kept", outcomesAfter, outcomesBefore)
	}
}

func TestTimedOutBeginIsDropped(t *testing.T) {
	sim := newSimulation()
	sim.owners[0].Submit(beginOp(sim, 1, 7, "a"))
	sim.now = sim.now.Add(beginReplyTimeout + time.Second)
	if got := completeOwnerActions(sim); len(got) != 0 || sim.version != 0 {
		t.Errorf("got replies %+v, want none and no write", got)
	}
}
