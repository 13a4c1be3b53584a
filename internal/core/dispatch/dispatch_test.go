package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hawthornstream/internal/ports"
)

var start = time.Unix(1000, 0)

var localVM = ports.VM{Name: "d1", Domain: "z1", Region: "r1"}

// engineVMs returns the same number of engines in each of three failure
// domains.
func engineVMs(perDomain, slots int) []ports.VM {
	var vms []ports.VM
	for domain := 1; domain <= 3; domain++ {
		for i := range perDomain {
			vms = append(vms, ports.VM{
				Name: ports.VMName(fmt.Sprintf("e%d-%d", domain, i)), Slots: slots,
				Domain: ports.FailureDomain(fmt.Sprintf("z%d", domain)), Region: ports.Region(fmt.Sprintf("r%d", domain)),
			})
		}
	}
	return vms
}

func newEnginePool(perDomain, slots int) *Pool {
	pool := NewPool(localVM)
	pool.SetService(true, 0)
	pool.SetServers(engineVMs(perDomain, slots))
	return pool
}

// longPromptWork is a call with a long prompt that begins with the given
// prefix.
func longPromptWork(prefix string) *Work {
	return &Work{
		ForEngine: true, PrefixID: prefix, PrefixTokens: 4800, UniqueTokens: 6600, OutputTokens: 380,
		FirstTokenWithin: 800 * time.Millisecond,
	}
}

func mustChoose(t *testing.T, pool *Pool, now time.Time, work *Work, terms AdmissionTerms) Choice {
	t.Helper()
	choice, admitted := pool.ChooseForArrival(now, work, terms)
	if !admitted {
		t.Fatalf("not admitted: %+v", choice)
	}
	return choice
}

// Many calls share a prompt prefix. It is processed once: later calls go to the
// server that has it cached, and a call that has to run elsewhere gets the
// cache holder.
func TestCallGoesToServerThatCachesItsPrefix(t *testing.T) {
	pool := newEnginePool(4, 64)
	first := mustChoose(t, pool, start, longPromptWork("a"), AdmissionTerms{})
	if first.CacheHolder != nil || first.Server.VM().Domain != localVM.Domain {
		t.Fatalf("the first call went to %s with a cache holder", first.Server.VM().Name)
	}
	pool.Book(start, first, longPromptWork("a")).RecordFirstByte(start.Add(100 * time.Millisecond))
	later := start.Add(time.Second)
	if again := mustChoose(
		t, pool, later, longPromptWork("a"), AdmissionTerms{},
	); again.Server != first.Server || again.tokensToRead != 6600 {
		t.Errorf("the second call goes to %s and processes %d tokens", again.Server.VM().Name, again.tokensToRead)
	}
	work := longPromptWork("a")
	work.FailedServers = []ports.VMName{first.Server.VM().Name}
	if elsewhere := mustChoose(
		t, pool, later, work, AdmissionTerms{},
	); elsewhere.CacheHolder != first.Server || elsewhere.tokensToRead >= 6600+4800 {
		t.Errorf("elsewhere the cache holder is %v, %d tokens are processed", elsewhere.CacheHolder, elsewhere.tokensToRead)
	}
}

// A cached prefix reported by another daemon counts like one of this daemon's
// calls.
func TestPrefixReportedByAnotherDaemonIsUsed(t *testing.T) {
	reporting, receiving := newEnginePool(4, 64), newEnginePool(4, 64)
	choice := mustChoose(t, reporting, start, longPromptWork("a"), AdmissionTerms{})
	reporting.Book(start, choice, longPromptWork("a"))
	updates := reporting.TakeDomainUpdates()
	if len(updates) != 1 || len(reporting.TakeDomainUpdates()) != 0 {
		t.Fatalf("reported %v", updates)
	}
	receiving.RecordCachedPrefix(start, updates[0], true)
	if forwarded := receiving.TakeCrossDomainUpdates(); len(forwarded) != 1 {
		t.Errorf("forwarded %v", forwarded)
	}
	if found := mustChoose(
		t, receiving, start, longPromptWork("a"), AdmissionTerms{},
	); found.Server.VM().Name != choice.Server.VM().Name {
		t.Errorf("the other daemon chooses %s, want %s", found.Server.VM().Name, choice.Server.VM().Name)
	}
}

// A server that has restarted has lost its cache.
func TestRestartedServerHasNoCachedPrefixes(t *testing.T) {
	pool := newEnginePool(1, 64)
	choice := mustChoose(t, pool, start, longPromptWork("a"), AdmissionTerms{})
	pool.Book(start, choice, longPromptWork("a"))
	vms := engineVMs(1, 64)
	for i := range vms {
		if vms[i].Name == choice.Server.VM().Name {
			vms[i].StartedMillis = 7
		}
	}
	pool.SetServers(vms)
	work := longPromptWork("a")
	next, _ := pool.ChooseForArrival(start, work, AdmissionTerms{})
	if next.CacheHolder != nil || next.tokensToRead != work.UniqueTokens+work.PrefixTokens {
		t.Errorf("cache holder %v, %d tokens to process", next.CacheHolder, next.tokensToRead)
	}
}

// All engines are full. A call that is predicted to be late is not sent, and
// its predicted time covers the queue.
func TestCallPredictedToBeLateIsNotAdmitted(t *testing.T) {
	pool := newEnginePool(1, 64)
	sent := 0
	for ; sent < 200; sent++ {
		choice, admitted := pool.ChooseForArrival(start, longPromptWork(""), AdmissionTerms{})
		if !admitted {
			if limit := time.Duration(targetFraction * float64(800*time.Millisecond)); choice.ExpectedFirstByte <= limit {
				t.Errorf("refused at a predicted %v, limit %v", choice.ExpectedFirstByte, limit)
			}
			break
		}
		pool.Book(start, choice, longPromptWork(""))
	}
	if sent == 0 || sent == 200 {
		t.Errorf("%d calls were admitted at once by three engines", sent)
	}
}

// Slots are held for seconds, so a call behind full slots has to wait for one.
func TestFullSlotsIncreasePredictedTime(t *testing.T) {
	pool := newEnginePool(1, 4)
	server := pool.Servers()[0]
	idle := server.predictFirstByte(start, 100, 1)
	server.ownLoad.Calls = 4
	if full := server.predictFirstByte(start, 100, 1); full-idle < defaultEngineRun/8 {
		t.Errorf("idle %v, full %v", idle, full)
	}
}

// One workspace floods the servers. Calls of workspaces within their share find
// room while the flood is refused.
func TestOverusingWorkspaceLeavesRoomForOthers(t *testing.T) {
	pool := newEnginePool(4, 32)
	pool.queueAllowance = minQueueAllowance
	overusing := AdmissionTerms{Overuse: 4}
	for range 1000 {
		choice, admitted := pool.ChooseForArrival(start, longPromptWork(""), overusing)
		if !admitted {
			break
		}
		booking := pool.Book(start, choice, longPromptWork(""))
		booking.RecordFirstByte(start.Add(50 * time.Millisecond))
	}
	choice := mustChoose(t, pool, start.Add(time.Second), longPromptWork(""), AdmissionTerms{})
	if choice.ExpectedFirstByte > time.Duration(targetFraction*float64(800*time.Millisecond)) {
		t.Errorf("predicted %v for a call within its share", choice.ExpectedFirstByte)
	}
	for _, server := range pool.Servers() {
		if server.ownLoad.Calls > 32*3/4+1 {
			t.Errorf("the flood holds %d of 32 slots of %s", server.ownLoad.Calls, server.VM().Name)
		}
	}
}

// The queue allowance of a flooding workspace follows the queueing time of
// calls within their share.
func TestQueueAllowanceFollowsLoad(t *testing.T) {
	pool := newEnginePool(1, 64)
	work := longPromptWork("")
	pool.observe(work)
	contended := Choice{ExpectedFirstByte: work.firstByteLimit(), ExpectedIdle: 100 * time.Millisecond}
	for range 40 {
		pool.updateQueueAllowance(contended)
	}
	if pool.queueAllowance != minQueueAllowance {
		t.Errorf("queue allowance %v after a long queue", pool.queueAllowance)
	}
	for range 100 {
		pool.updateQueueAllowance(Choice{ExpectedFirstByte: 100 * time.Millisecond, ExpectedIdle: 100 * time.Millisecond})
	}
	if pool.queueAllowance != maxQueueAllowance {
		t.Errorf("queue allowance %v on idle servers", pool.queueAllowance)
	}
}

// A call of a workspace above its share is checked against each server, not
// only against the one with the lowest cost: it goes to a distant idle server
// instead of being refused.
func TestOverusingWorkspaceIsSentToRemoteIdleServer(t *testing.T) {
	pool := newEnginePool(1, 64)
	pool.queueAllowance = minQueueAllowance
	loaded := pool.findServer("e1-0")
	loaded.ownLoad.PendingTokens = 5000
	choice, admitted := pool.ChooseForArrival(start, longPromptWork(""), AdmissionTerms{Overuse: 5})
	if !admitted || choice.Server == loaded {
		t.Errorf("admitted %v at %s", admitted, choice.Server.VM().Name)
	}
}

// A server stops answering while calls wait on it.
func TestSilentServerIsAvoidedBeforeItLeavesTheList(t *testing.T) {
	pool := newEnginePool(1, 64)
	choice := mustChoose(t, pool, start, longPromptWork("a"), AdmissionTerms{})
	pool.Book(start, choice, longPromptWork("a"))
	later := start.Add(500 * time.Millisecond)
	if next := mustChoose(t, pool, later, longPromptWork("a"), AdmissionTerms{}); next.Server == choice.Server {
		t.Error("the silent server is still the best")
	}
}

func TestUnreachableServerGetsOneCallAtATime(t *testing.T) {
	pool := newEnginePool(1, 64)
	server := pool.findServer("e1-0")
	booking := pool.Book(start, Choice{Server: server, tokensToRead: 10}, longPromptWork(""))
	booking.RecordEnd(start, ports.ServerFaultUnreachable)
	if server.accepts(start.Add(minExclusion/2), longPromptWork("")) {
		t.Error("an unreachable server accepts calls at once")
	}
	later := start.Add(2 * minExclusion)
	if !server.accepts(later, longPromptWork("")) {
		t.Fatal("no call is accepted after the exclusion")
	}
	probe := pool.Book(later, Choice{Server: server, tokensToRead: 10}, longPromptWork(""))
	if server.accepts(later, longPromptWork("")) {
		t.Error("a second call is accepted during probation")
	}
	probe.RecordFirstByte(later.Add(50 * time.Millisecond))
	probe.RecordEnd(later.Add(time.Second), ports.ServerFaultNone)
	if !server.accepts(later.Add(time.Second), longPromptWork("")) {
		t.Error("a server that answered on probation accepts no calls")
	}
}

// A plain service loses an answer now and then, and its calls take different
// times. Neither one lost answer nor one long run makes the service refuse
// other calls.
func TestLongRunOfPlainServiceRefusesNoOtherCall(t *testing.T) {
	pool := NewPool(localVM)
	pool.SetServers(engineVMs(1, 6)[:1])
	work := &Work{FirstTokenWithin: 200 * time.Millisecond}
	server := pool.Servers()[0]
	pool.Book(start, Choice{Server: server}, work)
	choice, admitted := pool.ChooseForArrival(start.Add(200*time.Millisecond), work, AdmissionTerms{})
	if !admitted || choice.ExpectedFirstByte > 100*time.Millisecond {
		t.Errorf("beside one run of 200 ms: admitted %v, expected %v", admitted, choice.ExpectedFirstByte)
	}
	pool.Book(start, Choice{Server: server}, work).RecordEnd(start.Add(time.Second), ports.ServerFaultSilent)
	if !server.accepts(start.Add(time.Second), work) {
		t.Error("one lost answer excludes the server")
	}
}

// Single broken connections don't exclude a server.
func TestIsolatedBrokenRunsDoNotExcludeServer(t *testing.T) {
	pool := newEnginePool(1, 64)
	server := pool.findServer("e1-0")
	now := start
	for range 20 {
		for _, fault := range []ports.ServerFault{ports.ServerFaultBroken, ports.ServerFaultNone} {
			booking := pool.Book(now, Choice{Server: server, tokensToRead: 10}, longPromptWork(""))
			booking.RecordFirstByte(now)
			booking.RecordEnd(now, fault)
			now = now.Add(50 * time.Millisecond)
		}
		if !server.accepts(now, longPromptWork("")) {
			t.Fatal("excluded")
		}
	}
}

// One of three plain servers fails most of its runs although its health checks
// pass.
func TestFailingServerIsAvoidedThenRetried(t *testing.T) {
	pool := NewPool(localVM)
	pool.SetServers(engineVMs(1, 6))
	work := &Work{FirstTokenWithin: 300 * time.Millisecond}
	failing := pool.findServer("e1-0")
	now := start
	for range 30 {
		booking := pool.Book(now, Choice{Server: failing}, work)
		booking.RecordFirstByte(now.Add(20 * time.Millisecond))
		booking.RecordEnd(now.Add(20*time.Millisecond), ports.ServerFaultFailed)
	}
	if choice := mustChoose(t, pool, now, work, AdmissionTerms{}); choice.Server == failing {
		t.Error("the failing server is chosen")
	}
	if choice := mustChoose(t, pool, now.Add(2*failureDecayTime), work, AdmissionTerms{}); choice.Server != failing {
		t.Error("the server in the same failure domain is never tried again")
	}
}

// Every booking's load is released in full, however the call ends.
func TestFinishedBookingsLeaveNoLoad(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(3)
	properties := gopter.NewProperties(parameters)
	faults := []ports.ServerFault{
		ports.ServerFaultNone, ports.ServerFaultBroken, ports.ServerFaultSilent, ports.ServerFaultOverloaded,
		ports.ServerFaultFailed, ports.ServerFaultUnreachable,
	}
	properties.Property("no load is left", prop.ForAll(func(seed uint64, calls int) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		pool := newEnginePool(2, 8)
		var open []*Booking
		now := start
		for range calls {
			now = now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
			work := longPromptWork(fmt.Sprint(random.IntN(5)))
			if choice, ok := pool.ChooseForArrival(now, work, AdmissionTerms{Overuse: 2 * random.Float64()}); ok {
				open = append(open, pool.Book(now, choice, work))
			}
			if len(open) > 0 && random.IntN(2) == 0 {
				at := random.IntN(len(open))
				if random.IntN(3) > 0 {
					open[at].RecordFirstByte(now)
				}
				open[at].RecordEnd(now, faults[random.IntN(len(faults))])
				open = append(open[:at], open[at+1:]...)
			}
		}
		for _, booking := range open {
			booking.RecordEnd(now, ports.ServerFaultNone)
		}
		for _, server := range pool.Servers() {
			if !server.OwnLoad().IsZero() || len(server.pendingSince) > 0 {
				return false
			}
		}
		return true
	}, gen.UInt64(), gen.IntRange(1, 80)))
	properties.TestingRun(t)
}

// A workspace above its share sends small and large calls at the same time. A
// class of small calls, which yield more answers for the same work, gets a
// longer queue limit; within a class, the limit does not depend on the size of
// the call.
func TestSmallCallClassGetsLongerQueue(t *testing.T) {
	pool := newEnginePool(1, 64)
	small := &Work{
		ForEngine: true, Class: "query", UniqueTokens: 800, OutputTokens: 300, FirstTokenWithin: 400 * time.Millisecond,
	}
	large := &Work{
		ForEngine: true, Class: "draft", UniqueTokens: 11000, OutputTokens: 400, FirstTokenWithin: 800 * time.Millisecond,
	}
	for range 500 {
		pool.observe(small)
		pool.observe(large)
	}
	if pool.queueLimit(small) < 1.5*pool.queueLimit(large) {
		t.Errorf("queue limits of %v and %v", time.Duration(pool.queueLimit(small)), time.Duration(pool.queueLimit(large)))
	}
	huge := *large
	huge.UniqueTokens *= 4
	if pool.queueLimit(&huge) != pool.queueLimit(large) {
		t.Error("the largest calls of a class have another queue limit than the rest of it")
	}
}

// A tenth of the prompts is so large that processing one takes the whole
// target. They are late on every server, and must not be refused by servers
// that admit other calls behind the same queue.
func TestLargePromptsAreAdmittedBehindShortQueues(t *testing.T) {
	pool := newEnginePool(2, 64)
	huge := longPromptWork("")
	huge.PrefixTokens, huge.UniqueTokens = 0, 60_000
	alone := mustChoose(t, pool, start, huge, AdmissionTerms{})
	if alone.ExpectedIdle < huge.FirstTokenWithin {
		t.Fatalf("the prompt takes %s of %s on an idle server", alone.ExpectedIdle, huge.FirstTokenWithin)
	}
	setPending := func(tokens int) {
		for _, server := range pool.Servers() {
			server.ownLoad = Load{PendingTokens: tokens}
		}
	}
	setPending(4_000)
	mustChoose(t, pool, start, huge, AdmissionTerms{})
	setPending(25_000)
	if choice, admitted := pool.ChooseForArrival(start, huge, AdmissionTerms{}); admitted {
		t.Errorf("admitted behind a queue of %s", choice.ExpectedFirstByte-choice.ExpectedIdle)
	}
}

// One workspace demands nine times its share at all daemons, another not quite
// twice its share at a single one. The spare capacity goes to the latter first,
// so that it gets at least half of its demand.
func TestQueueAllowanceFavorsSlightOveruse(t *testing.T) {
	work := longPromptWork("")
	pool := newEnginePool(2, 64)
	pool.observe(work)
	slight, heavy := AdmissionTerms{Overuse: 1.7}, AdmissionTerms{Overuse: 9}
	for _, terms := range []*AdmissionTerms{&slight, &heavy} {
		terms.queueAllowance, terms.queueLimit = maxQueueAllowance, pool.queueLimit(work)
	}
	choiceWithQueue := func(fraction float64) Choice {
		return Choice{
			ExpectedIdle:      50 * time.Millisecond,
			ExpectedFirstByte: 50*time.Millisecond + time.Duration(fraction*float64(work.firstByteLimit())),
		}
	}
	if !slight.admits(choiceWithQueue(0.5), work) {
		t.Error("a workspace slightly above its share is refused")
	}
	if heavy.admits(choiceWithQueue(0.1), work) {
		t.Error("a workspace far above its share may queue")
	}
}

// Load pattern: under high load a call that waits is tried again every few
// milliseconds. It counts once in the averages and for the queue allowance, and a
// refused call is counted as what it is, not as one within its share.
func TestWaitingCallIsCountedOnce(t *testing.T) {
	pool := newEnginePool(2, 1)
	waiting := longPromptWork("a")
	for range 2 * 3 {
		work := longPromptWork("a")
		if choice, admitted := pool.ChooseForArrival(start, work, AdmissionTerms{}); admitted {
			pool.Book(start, choice, work)
		}
	}
	pool.ChooseForArrival(start, waiting, AdmissionTerms{})
	allowance, averages, long := pool.queueAllowance, pool.meanTokens, pool.longPrompts
	waiting.UniqueTokens *= 2
	for range 100 {
		pool.Choose(start, waiting, AdmissionTerms{})
	}
	if pool.queueAllowance != allowance || pool.meanTokens != averages || pool.longPrompts != long {
		t.Errorf("tries of a waiting call changed the allowance from %v to %v, the mean tokens from %v to %v",
			allowance, pool.queueAllowance, averages, pool.meanTokens)
	}
}
