package idempotency

import (
	"fmt"
	"slices"
	"time"

	"hawthornstream/internal/core/outcome"
)

// The world of the state-machine test: one range with its object on the
// platform, two daemons that both believe that they own it, and entries that
// try to run the calls of a few keys.
const (
	worldOwners   = 2
	worldKeys     = 1
	worldAttempts = 4
	worldTick     = 600 * time.Millisecond
	worldWait     = 3 * time.Second
)

// attemptState is how far an entry's attempt is.
type attemptState int

const (
	unborn attemptState = iota
	waiting
	executing
	ran
	notRun
	abandoned
)

type attempt struct {
	id    AttemptID
	key   Digest
	state attemptState
	// confirmed says that an owner has confirmed the end.
	confirmed bool
	// blocking says that a grant was lost: when it came after the attempt was
	// given up, the record stays until its retention ends.
	blocking bool
}

// lateWrite is a write that the platform has not carried out yet.
type lateWrite struct {
	value    []byte
	expected Version
}

// sentReply is a reply on its way, with the owner that sent it.
type sentReply struct {
	Reply
	owner int
}

type world struct {
	now      time.Time
	value    []byte
	version  Version
	owners   [worldOwners]*Owner
	actions  [worldOwners]Action
	late     []lateWrite
	replies  []sentReply
	attempts [worldAttempts]attempt
	// steps are the commands so far.
	steps []string
	// breach is the first broken promise.
	breach string
}

func newWorld() *world {
	w := &world{now: time.Unix(1_000_000, 0)}
	for i := range w.owners {
		w.owners[i] = NewOwner()
	}
	for i := range w.attempts {
		w.attempts[i] = attempt{id: AttemptID(fmt.Sprintf("a%d", i)), key: Digest{byte(i % worldKeys)}}
	}
	return w
}

func (w *world) begin(number, owner int) {
	a := &w.attempts[number]
	if a.state != unborn && a.state != waiting {
		return
	}
	a.state = waiting
	w.owners[owner].Submit(Operation{
		From: "entry", Key: a.key, Attempt: a.id, Begin: true, Request: Digest{7},
		Until: w.now.Add(time.Minute), WaitUntil: w.now.Add(worldWait),
	})
}

// finish ends an attempt, or tells its end again.
func (w *world) finish(number, owner int, end outcome.RunState) {
	a := &w.attempts[number]
	switch a.state {
	case executing:
		a.state = ran
		if end == outcome.NotRun {
			a.state = notRun
		}
	case waiting:
		a.state = abandoned
	}
	op := Operation{From: "entry", Key: a.key, Attempt: a.id, End: outcome.NotRun}
	switch a.state {
	case unborn:
		return
	case ran:
		op.End = outcome.Ran
		op.Answer = &Answer{Status: 200, Body: []byte(a.id)}
	}
	w.owners[owner].Submit(op)
}

// start lets an owner decide on its next action.
func (w *world) start(owner int) {
	if w.actions[owner].Kind == Nothing {
		w.actions[owner] = w.owners[owner].Next(w.now)
	}
	w.collect(owner)
}

func (w *world) collect(owner int) {
	for _, reply := range w.owners[owner].TakeReplies() {
		w.replies = append(w.replies, sentReply{Reply: reply, owner: owner})
	}
}

// fate is what becomes of an action.
type fate int

const (
	fine fate = iota
	answerLost
	requestLost
	comesLate
	fates
)

// complete carries an owner's action out.
func (w *world) complete(owner int, how fate) {
	action := w.actions[owner]
	w.actions[owner] = Action{}
	o := w.owners[owner]
	switch action.Kind {
	case Load:
		if how == fine {
			o.Loaded(mustDecode(w.value), w.version, w.now)
		} else {
			o.Failed()
		}
	case Write:
		w.write(o, action, how)
	}
	w.collect(owner)
}

func (w *world) write(o *Owner, action Action, how fate) {
	value, err := Encode(action.Records)
	if err != nil {
		panic(err)
	}
	put := lateWrite{value: value, expected: action.Expected}
	switch how {
	case requestLost:
		o.Failed()
	case comesLate:
		w.late = append(w.late, put)
		o.Failed()
	default:
		if w.put(put) && how == fine {
			o.Wrote(w.version, w.now)
		} else {
			o.Failed()
		}
	}
}

func (w *world) put(write lateWrite) bool {
	if write.expected != w.version {
		return false
	}
	w.version++
	w.value = write.value
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

// land carries a late write out.
func (w *world) land() {
	if len(w.late) > 0 {
		w.put(w.late[0])
		w.late = w.late[1:]
	}
}

// deliver hands the oldest reply to its entry.
func (w *world) deliver() {
	reply, ok := w.nextReply()
	if !ok {
		return
	}
	for i := range w.attempts {
		if w.attempts[i].id == reply.Operation.Attempt {
			w.take(i, reply)
		}
	}
}

func (w *world) nextReply() (sentReply, bool) {
	if len(w.replies) == 0 {
		return sentReply{}, false
	}
	reply := w.replies[0]
	w.replies = w.replies[1:]
	return reply, true
}

// drop loses the oldest reply.
func (w *world) drop() {
	reply, ok := w.nextReply()
	if ok && reply.Verdict == Granted {
		w.loseGrant(reply.Operation.Attempt)
	}
}

func (w *world) loseGrant(id AttemptID) {
	for i := range w.attempts {
		if w.attempts[i].id == id {
			w.attempts[i].blocking = true
		}
	}
}

func (w *world) take(number int, reply sentReply) {
	a := &w.attempts[number]
	switch {
	case reply.Verdict == Finished:
		a.confirmed = true
	case reply.Verdict == Granted && a.state == waiting:
		a.state = executing
	case reply.Verdict == Granted && (a.state == notRun || a.state == abandoned):
		a.confirmed = false
		w.finish(number, reply.owner, outcome.NotRun)
	case reply.Verdict == Ended && a.state == waiting:
		a.state = abandoned
		w.checkReplay(a.key, reply.Record)
	}
}

func (w *world) checkReplay(key Digest, record Record) {
	for i := range w.attempts {
		other := &w.attempts[i]
		if other.key == key && other.state == ran && record.Answer != nil && string(record.Answer.Body) == string(other.id) {
			return
		}
	}
	if record.End == outcome.Ran {
		w.breach = "the answer of no run was replayed"
	}
}

// check looks for two runs of one key.
func (w *world) check() string {
	var runs [worldKeys]int
	for i := range w.attempts {
		if state := w.attempts[i].state; state == executing || state == ran {
			runs[w.attempts[i].key[0]]++
		}
	}
	for key, count := range runs {
		if count > 1 {
			w.breach = fmt.Sprintf("key %d has %d runs", key, count)
		}
	}
	return w.breach
}

// restart kills an owner's daemon. A write of its begins may have taken effect.
func (w *world) restart(owner int) {
	for _, op := range w.owners[owner].queue {
		if op.Begin {
			w.loseGrant(op.Attempt)
		}
	}
	w.owners[owner] = NewOwner()
	w.actions[owner] = Action{}
}

// settle ends all attempts without faults and returns why a key of attempts
// that never ran is not free.
func (w *world) settle() string {
	for i := range w.attempts {
		if w.attempts[i].state == executing {
			w.finish(i, 0, outcome.NotRun)
		}
	}
	for range 2 {
		for i := range w.attempts {
			if !w.attempts[i].confirmed {
				w.finish(i, 0, outcome.NotRun)
			}
		}
		w.drain()
		for len(w.late) > 0 {
			w.land()
		}
	}
	for _, record := range mustDecode(w.value) {
		if record.running() && !w.blocking(record.Attempt) {
			return fmt.Sprintf("attempt %s blocks its key for good", record.Attempt)
		}
	}
	return ""
}

func (w *world) blocking(id AttemptID) bool {
	return slices.ContainsFunc(w.attempts[:], func(a attempt) bool { return a.id == id && a.blocking })
}

func (w *world) drain() {
	for range 20 {
		for owner := range w.owners {
			w.start(owner)
			w.complete(owner, fine)
		}
		for len(w.replies) > 0 {
			w.deliver()
		}
		w.now = w.now.Add(worldTick)
	}
}
