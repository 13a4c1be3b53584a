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

var self = ports.VM{Name: "d1", Domain: "z1", Region: "r1"}

// engines returns engines, the same number in each of three failure domains.
func engines(each, slots int) []ports.VM {
	var vms []ports.VM
	for domain := 1; domain <= 3; domain++ {
		for i := range each {
			vms = append(vms, ports.VM{
				Name: ports.VMName(fmt.Sprintf("e%d-%d", domain, i)), Slots: slots,
				Domain: ports.FailureDomain(fmt.Sprintf("z%d", domain)), Region: ports.Region(fmt.Sprintf("r%d", domain)),
			})
		}
	}
	return vms
}

func enginePool(each, slots int) *Pool {
	pool := NewPool(self)
	pool.SetService(true, 0)
	pool.SetServers(engines(each, slots))
	return pool
}

// draft is a long prompt that begins with a shared part.
func draft(part string) *Work {
	return &Work{
		Engine: true, SharedKey: part, SharedTokens: 4800, OwnTokens: 6600, OutputTokens: 380,
		Target: 800 * time.Millisecond,
	}
}

func choose(t *testing.T, pool *Pool, now time.Time, work *Work, terms Terms) Choice {
	t.Helper()
	choice, admitted := pool.Choose(now, work, terms)
	if !admitted {
		t.Fatalf("not admitted: %+v", choice)
	}
	return choice
}

// Load pattern: many calls share the beginning of their prompts. The part is read
// once; whoever runs such a call elsewhere is told who keeps it.
func TestSharedPartStaysWhereItIsKept(t *testing.T) {
	pool := enginePool(4, 64)
	first := choose(t, pool, start, draft("a"), Terms{})
	if first.Holder != nil || first.Server.VM().Domain != self.Domain {
		t.Fatalf("the first call went to %s with a holder", first.Server.VM().Name)
	}
	pool.Take(start, first, draft("a")).Begun(start.Add(100 * time.Millisecond))
	later := start.Add(time.Second)
	if again := choose(t, pool, later, draft("a"), Terms{}); again.Server != first.Server || again.tokens != 6600 {
		t.Errorf("the second call goes to %s and reads %d tokens", again.Server.VM().Name, again.tokens)
	}
	work := draft("a")
	work.Avoid = []ports.VMName{first.Server.VM().Name}
	if away := choose(t, pool, later, work, Terms{}); away.Holder != first.Server || away.tokens >= 6600+4800 {
		t.Errorf("elsewhere the holder is %v and %d tokens are read", away.Holder, away.tokens)
	}
}

// What another daemon told counts like a call of this one.
func TestSharedPartOfAnotherDaemonIsFound(t *testing.T) {
	near, far := enginePool(4, 64), enginePool(4, 64)
	choice := choose(t, near, start, draft("a"), Terms{})
	near.Take(start, choice, draft("a"))
	news := near.TakeNews()
	if len(news) != 1 || len(near.TakeNews()) != 0 {
		t.Fatalf("told %v", news)
	}
	far.Keeps(start, news[0], true)
	if passed := far.TakeFarNews(); len(passed) != 1 {
		t.Errorf("passed on %v", passed)
	}
	if found := choose(t, far, start, draft("a"), Terms{}); found.Server.VM().Name != choice.Server.VM().Name {
		t.Errorf("the other daemon sends to %s, not to %s", found.Server.VM().Name, choice.Server.VM().Name)
	}
}

// A server that left or started again keeps nothing.
func TestServerThatStartedAgainKeepsNothing(t *testing.T) {
	pool := enginePool(1, 64)
	choice := choose(t, pool, start, draft("a"), Terms{})
	pool.Take(start, choice, draft("a"))
	vms := engines(1, 64)
	for i := range vms {
		if vms[i].Name == choice.Server.VM().Name {
			vms[i].StartedMillis = 7
		}
	}
	pool.SetServers(vms)
	work := draft("a")
	next, _ := pool.Choose(start, work, Terms{})
	if next.Holder != nil || next.tokens != work.OwnTokens+work.SharedTokens {
		t.Errorf("holder %v, %d tokens to read", next.Holder, next.tokens)
	}
}

// Load pattern: all engines are full. A call that would be late is not sent, and
// the refusal comes with the time that the queue needs.
func TestCallThatWouldBeLateIsNotSent(t *testing.T) {
	pool := enginePool(1, 64)
	sent := 0
	for ; sent < 200; sent++ {
		choice, admitted := pool.Choose(start, draft(""), Terms{})
		if !admitted {
			if limit := time.Duration(targetUse * float64(800*time.Millisecond)); choice.Expected <= limit {
				t.Errorf("refused at an expected %v of %v", choice.Expected, limit)
			}
			break
		}
		pool.Take(start, choice, draft(""))
	}
	if sent == 0 || sent == 200 {
		t.Errorf("%d calls were sent to three engines at once", sent)
	}
}

// Load pattern: slots of seconds. A call behind full slots expects to wait for one.
func TestFullSlotsAreExpectedToTakeTime(t *testing.T) {
	pool := enginePool(1, 4)
	server := pool.Servers()[0]
	idle := server.expect(start, 100, 1)
	server.own.Calls = 4
	if full := server.expect(start, 100, 1); full-idle < defaultEngineRun/8 {
		t.Errorf("idle %v, full %v", idle, full)
	}
}

// Load pattern: one workspace floods. Those within their share find room while the
// flood is refused.
func TestFloodLeavesRoomForTheOthers(t *testing.T) {
	pool := enginePool(4, 32)
	pool.spare = leastSpare
	flood := Terms{Overuse: 4}
	for range 1000 {
		choice, admitted := pool.Choose(start, draft(""), flood)
		if !admitted {
			break
		}
		booking := pool.Take(start, choice, draft(""))
		booking.Begun(start.Add(50 * time.Millisecond))
	}
	choice := choose(t, pool, start.Add(time.Second), draft(""), Terms{})
	if choice.Expected > time.Duration(targetUse*float64(800*time.Millisecond)) {
		t.Errorf("a call within its share expects %v", choice.Expected)
	}
	for _, server := range pool.Servers() {
		if server.own.Calls > 32*3/4+1 {
			t.Errorf("the flood holds %d of 32 slots of %s", server.own.Calls, server.VM().Name)
		}
	}
}

// The part of the queue that a flood may use follows what the others find.
func TestSpareFollowsTheLoad(t *testing.T) {
	pool := enginePool(1, 64)
	work := draft("")
	pool.see(work)
	queued := Choice{Expected: work.allowed(), Alone: 100 * time.Millisecond}
	for range 40 {
		pool.feelLoad(queued)
	}
	if pool.spare != leastSpare {
		t.Errorf("spare is %v after a long queue", pool.spare)
	}
	for range 100 {
		pool.feelLoad(Choice{Expected: 100 * time.Millisecond, Alone: 100 * time.Millisecond})
	}
	if pool.spare != mostSpare {
		t.Errorf("spare is %v on idle servers", pool.spare)
	}
}

// A workspace above its share is judged by its own best admitted server, not by
// the cheapest one: a far idle server is better than a refusal.
func TestFarIdleServerIsBetterThanARefusal(t *testing.T) {
	pool := enginePool(1, 64)
	pool.spare = leastSpare
	near := pool.find("e1-0")
	near.own.Waiting = 5000
	choice, admitted := pool.Choose(start, draft(""), Terms{Overuse: 5})
	if !admitted || choice.Server == near {
		t.Errorf("admitted %v at %s", admitted, choice.Server.VM().Name)
	}
}

// Load pattern: a server stops answering while calls wait on it.
func TestSilentServerIsLeftBeforeItIsDeclaredGone(t *testing.T) {
	pool := enginePool(1, 64)
	choice := choose(t, pool, start, draft("a"), Terms{})
	pool.Take(start, choice, draft("a"))
	later := start.Add(500 * time.Millisecond)
	if next := choose(t, pool, later, draft("a"), Terms{}); next.Server == choice.Server {
		t.Error("the silent server is still the best")
	}
}

func TestUnreachableServerGetsOneTrialAtATime(t *testing.T) {
	pool := enginePool(1, 64)
	server := pool.find("e1-0")
	booking := pool.Take(start, Choice{Server: server, tokens: 10}, draft(""))
	booking.Ended(start, ports.ServerFaultUnreachable)
	if server.takes(start.Add(firstExclusion/2), draft("")) {
		t.Error("an unreachable server takes calls at once")
	}
	later := start.Add(2 * firstExclusion)
	if !server.takes(later, draft("")) {
		t.Fatal("no trial after the exclusion")
	}
	trial := pool.Take(later, Choice{Server: server, tokens: 10}, draft(""))
	if server.takes(later, draft("")) {
		t.Error("a second call beside the trial")
	}
	trial.Begun(later.Add(50 * time.Millisecond))
	trial.Ended(later.Add(time.Second), ports.ServerFaultNone)
	if !server.takes(later.Add(time.Second), draft("")) {
		t.Error("a server that answered its trial takes no calls")
	}
}

// Load pattern: a plain service whose answers are lost now and then, and whose
// work takes its own time. Neither one lost answer nor one long run turns the
// others' calls away.
func TestLongRunOfAPlainServiceTurnsNobodyAway(t *testing.T) {
	pool := NewPool(self)
	pool.SetServers(engines(1, 6)[:1])
	work := &Work{Target: 200 * time.Millisecond}
	server := pool.Servers()[0]
	pool.Take(start, Choice{Server: server}, work)
	choice, admitted := pool.Choose(start.Add(200*time.Millisecond), work, Terms{})
	if !admitted || choice.Expected > 100*time.Millisecond {
		t.Errorf("beside one run of 200 ms: admitted %v, expected %v", admitted, choice.Expected)
	}
	pool.Take(start, Choice{Server: server}, work).Ended(start.Add(time.Second), ports.ServerFaultSilent)
	if !server.takes(start.Add(time.Second), work) {
		t.Error("one lost answer excludes the server")
	}
}

// Single broken connections do not exclude a server.
func TestServerWithSingleBrokenRunsStays(t *testing.T) {
	pool := enginePool(1, 64)
	server := pool.find("e1-0")
	now := start
	for range 20 {
		for _, fault := range []ports.ServerFault{ports.ServerFaultBroken, ports.ServerFaultNone} {
			booking := pool.Take(now, Choice{Server: server, tokens: 10}, draft(""))
			booking.Begun(now)
			booking.Ended(now, fault)
			now = now.Add(50 * time.Millisecond)
		}
		if !server.takes(now, draft("")) {
			t.Fatal("excluded")
		}
	}
}

// Load pattern: one of three plain servers fails most of its runs, health good.
func TestFailingServerIsAvoidedAndTriedAgain(t *testing.T) {
	pool := NewPool(self)
	pool.SetServers(engines(1, 6))
	work := &Work{Target: 300 * time.Millisecond}
	bad := pool.find("e1-0")
	now := start
	for range 30 {
		booking := pool.Take(now, Choice{Server: bad}, work)
		booking.Begun(now.Add(20 * time.Millisecond))
		booking.Ended(now.Add(20*time.Millisecond), ports.ServerFaultFailed)
	}
	if choice := choose(t, pool, now, work, Terms{}); choice.Server == bad {
		t.Error("the failing server is chosen")
	}
	if choice := choose(t, pool, now.Add(2*failureFade), work, Terms{}); choice.Server != bad {
		t.Error("the server in the own failure domain is never tried again")
	}
}

// The load that calls add is taken back whole, however they end.
func TestBookingsLeaveNothingBehind(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(3)
	properties := gopter.NewProperties(parameters)
	faults := []ports.ServerFault{
		ports.ServerFaultNone, ports.ServerFaultBroken, ports.ServerFaultSilent, ports.ServerFaultOverloaded,
		ports.ServerFaultFailed, ports.ServerFaultUnreachable,
	}
	properties.Property("no load is left", prop.ForAll(func(seed uint64, calls int) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		pool := enginePool(2, 8)
		var open []*Booking
		now := start
		for range calls {
			now = now.Add(time.Duration(random.IntN(300)) * time.Millisecond)
			work := draft(fmt.Sprint(random.IntN(5)))
			if choice, ok := pool.Choose(now, work, Terms{Overuse: 2 * random.Float64()}); ok {
				open = append(open, pool.Take(now, choice, work))
			}
			if len(open) > 0 && random.IntN(2) == 0 {
				at := random.IntN(len(open))
				if random.IntN(3) > 0 {
					open[at].Begun(now)
				}
				open[at].Ended(now, faults[random.IntN(len(faults))])
				open = append(open[:at], open[at+1:]...)
			}
		}
		for _, booking := range open {
			booking.Ended(now, ports.ServerFaultNone)
		}
		for _, server := range pool.Servers() {
			if !server.Own().IsZero() || len(server.pending) > 0 {
				return false
			}
		}
		return true
	}, gen.UInt64(), gen.IntRange(1, 80)))
	properties.TestingRun(t)
}

// Load pattern: a workspace above its share sends small and large calls beside
// each other. The small ones, which give more answers for the same work, may wait
// behind more; the large ones of a class are not told from its small ones.
func TestClassOfSmallCallsMayWaitBehindMore(t *testing.T) {
	pool := enginePool(1, 64)
	small := &Work{Engine: true, Class: "query", OwnTokens: 800, OutputTokens: 300, Target: 400 * time.Millisecond}
	large := &Work{Engine: true, Class: "draft", OwnTokens: 11000, OutputTokens: 400, Target: 800 * time.Millisecond}
	for range 500 {
		pool.see(small)
		pool.see(large)
	}
	if pool.queue(small) < 1.5*pool.queue(large) {
		t.Errorf("queues of %v and %v", time.Duration(pool.queue(small)), time.Duration(pool.queue(large)))
	}
	huge := *large
	huge.OwnTokens *= 4
	if pool.queue(&huge) != pool.queue(large) {
		t.Error("the largest calls of a class wait behind less than the others")
	}
}

// Load pattern: a tenth of the prompts is so large that reading one takes the
// whole target. They are late wherever they run, and must not be turned away by
// servers that take others behind the same queue.
func TestLargestPromptsAreServedWhereOthersWait(t *testing.T) {
	pool := enginePool(2, 64)
	huge := draft("")
	huge.SharedTokens, huge.OwnTokens = 0, 60_000
	alone := choose(t, pool, start, huge, Terms{})
	if alone.Alone < huge.Target {
		t.Fatalf("the prompt takes %s of %s alone", alone.Alone, huge.Target)
	}
	fill := func(tokens int) {
		for _, server := range pool.Servers() {
			server.own = Load{Waiting: tokens}
		}
	}
	fill(4_000)
	choose(t, pool, start, huge, Terms{})
	fill(25_000)
	if choice, admitted := pool.Choose(start, huge, Terms{}); admitted {
		t.Errorf("admitted behind %s of others", choice.Expected-choice.Alone)
	}
}

// Load pattern: one workspace asks nine times its share at all daemons, another
// not quite twice at a single one. What the servers have to spare goes to the
// latter first, so that it doesn't get less than half of what it asks.
func TestSpareGoesToThoseLittleAboveTheirShare(t *testing.T) {
	work := draft("")
	pool := enginePool(2, 64)
	pool.see(work)
	little, far := Terms{Overuse: 1.7}, Terms{Overuse: 9}
	for _, terms := range []*Terms{&little, &far} {
		terms.spare, terms.queue = mostSpare, pool.queue(work)
	}
	behind := func(part float64) Choice {
		return Choice{Alone: 50 * time.Millisecond, Expected: 50*time.Millisecond + time.Duration(part*float64(work.allowed()))}
	}
	if !little.admit(behind(0.5), work) {
		t.Error("a workspace little above its share finds no room")
	}
	if far.admit(behind(0.1), work) {
		t.Error("a workspace far above its share may wait behind others")
	}
}
