package dispatch

import (
	"fmt"
	"math"
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
			vms[i].Started = 7
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
	if _, admitted := pool.Choose(start.Add(200*time.Millisecond), work, Terms{}); !admitted {
		t.Error("one run of 200 ms turns others away")
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

func equal(ports.WorkspaceID) float64 { return 1 }

// Load pattern: one workspace asks for ten times its share, the others for less
// than theirs.
func TestOveruseIsThatOfTheFlood(t *testing.T) {
	shares := NewShares()
	now := start
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		for i := range 4 {
			workspace := ports.WorkspaceID(fmt.Sprint("small-", i))
			shares.Asked(now, workspace, 1000)
			shares.Granted(now, workspace, 1000)
		}
		shares.Asked(now, "flood", 50000)
		shares.Granted(now, "flood", 12000)
	}
	const capacity = 100000.0
	if over := shares.Overuse(now, "flood", capacity, equal); over < 1.5 || over > 2.5 {
		t.Errorf("the flood gets %v of its share, want 120/60", over)
	}
	if over := shares.Overuse(now, "small-1", capacity, equal); over > 1 {
		t.Errorf("a small workspace gets %v of its share", over)
	}
	if over := shares.Overuse(now.Add(time.Second), "flood", 10*capacity, equal); over != 0 {
		t.Errorf("overuse %v while all is granted", over)
	}
}

// What other daemons see of a workspace counts.
func TestOveruseCountsTheFleet(t *testing.T) {
	shares := NewShares()
	for range 50 {
		shares.Asked(start, "w", 2000)
		shares.Granted(start, "w", 1000)
		shares.Asked(start, "v", 2000)
		shares.Granted(start, "v", 1000)
	}
	before := shares.Overuse(start, "w", 40000, equal)
	shares.SetPeer(start, Source{Domain: "z2"}, map[ports.WorkspaceID]Rates{"w": {Asked: 50000, Granted: 50000}})
	after := shares.Overuse(start.Add(time.Second), "w", 40000, equal)
	if after <= before {
		t.Errorf("overuse %v before, %v after another domain told of more", before, after)
	}
	sums := shares.DomainRates(start.Add(time.Second))
	if sums["w"].Asked > 50000 {
		t.Errorf("the sums of this domain include another's: %v", sums["w"])
	}
}

func TestFairLevelIsMaxMin(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(4))
	properties.Property("the level uses the capacity up, and no more", prop.ForAll(func(asked []float64, capacity float64) bool {
		totals := make(map[ports.WorkspaceID]Rates)
		sum := 0.0
		for i, rate := range asked {
			totals[ports.WorkspaceID(fmt.Sprint(i))] = Rates{Asked: rate}
			sum += rate
		}
		level := fairLevel(totals, capacity, equal)
		if sum <= capacity {
			return math.IsInf(level, 1)
		}
		used := 0.0
		for _, rate := range asked {
			used += min(rate, level)
		}
		return math.Abs(used-capacity) < 1e-6*capacity
	}, gen.SliceOf(gen.Float64Range(1, 1000)), gen.Float64Range(10, 5000)))
	properties.TestingRun(t)
}

func TestReportFadesToItsUsualAmount(t *testing.T) {
	reports := NewReports()
	key := ServerKey{Service: "s", Server: "e"}
	now := start
	for i := range uint64(40) {
		waiting := 0
		if i%4 == 0 {
			waiting = 8000
		}
		now = now.Add(100 * time.Millisecond)
		reports.Take(now, i+1, map[ServerKey]Load{key: {Calls: 3, Waiting: waiting}})
	}
	reports.Take(now, 41, map[ServerKey]Load{key: {Calls: 3, Waiting: 8000}})
	at := func(age time.Duration) Load {
		sums := make(map[ServerKey]Load)
		reports.AddTo(now.Add(age), sums)
		return sums[key]
	}
	if fresh := at(0); fresh.Waiting != 8000 {
		t.Errorf("fresh: %+v", fresh)
	}
	if old := at(time.Second); old.Waiting < 1000 || old.Waiting > 5000 || old.Calls != 3 {
		t.Errorf("after a second: %+v, want about the usual 2000", old)
	}
	if lost := at(2 * reportLasts); !lost.IsZero() {
		t.Errorf("from a daemon that is silent: %+v", lost)
	}
	if reports.Current(now, 41) {
		t.Error("an old report counts as new")
	}
}

func TestComeBackLeavesTimeAndSpreads(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(5))
	properties.Property("within a third of what is left", prop.ForAll(func(left, expected int64, random float64) bool {
		limit := time.Duration(left) * time.Millisecond / 3
		wait := ComeBack(time.Duration(left)*time.Millisecond, time.Duration(expected)*time.Millisecond, random)
		return wait >= 0 && wait <= max(limit, 0) && wait <= latest
	}, gen.Int64Range(0, 20000), gen.Int64Range(0, 5000), gen.Float64Range(0, 1)))
	properties.TestingRun(t)
	if ComeBack(15*time.Second, 0, 0.9)-ComeBack(15*time.Second, 0, 0.1) < time.Second {
		t.Error("those who were refused together return together")
	}
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
