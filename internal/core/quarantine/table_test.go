package quarantine

import (
	"fmt"
	"testing"
	"time"

	"hawthornstream/internal/ports"
)

var start = time.Unix(1000, 0)

const (
	endingPart = CauseHash(6)
	sharedPart = CauseHash(8)
)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

func endOf(part CauseHash, server int, seconds float64) ServerEnd {
	return ServerEnd{Cause: part, Server: ServerInstance(server), At: at(seconds)}
}

func isQuarantined(t *Table, part CauseHash, seconds float64) bool {
	_, ok := t.QuarantinedUntil(at(seconds), part)
	return ok
}

// Each call with one part ends its server; sound calls share their other part with it and
// are answered in between.
func TestPartThatEndsServersIsQuarantinedAndSharedPartIsNot(t *testing.T) {
	table := NewTable()
	for i := range endsToQuarantine {
		if isQuarantined(table, endingPart, float64(i)) {
			t.Errorf("quarantined after %d ends", i)
		}
		table.RecordOwnEnd(at(float64(i)), endOf(endingPart, i, float64(i)))
		table.RecordOwnEnd(at(float64(i)), endOf(sharedPart, i, float64(i)))
		table.RecordOwnSound(at(float64(i)+0.7), SoundAnswer{Cause: sharedPart, At: at(float64(i) + 0.1)})
	}
	if !isQuarantined(table, endingPart, 3) || isQuarantined(table, sharedPart, 3) {
		t.Errorf("quarantined: ending part %v, shared part %v", isQuarantined(table, endingPart, 3), isQuarantined(table, sharedPart, 3))
	}
	if isQuarantined(table, endingPart, 3+quarantineTime.Seconds()) {
		t.Error("the quarantine has no end")
	}
	late := 3 + quarantineTime.Seconds()
	if !table.RecordOwnEnd(at(late), endOf(endingPart, 99, late)) {
		t.Error("after the quarantine, a further end does not quarantine the part again")
	}
}

// The servers of a failure domain lose power together, with runs of a common part on each.
func TestServersThatFailTogetherAreOneEnd(t *testing.T) {
	table := NewTable()
	for server := range 20 {
		table.RecordOwnEnd(start, endOf(sharedPart, server, 0.001*float64(server)))
	}
	if isQuarantined(table, sharedPart, 1) {
		t.Error("quarantined")
	}
}

// One server breaks its connections again and again.
func TestEndsOfOneServerAreOneEnd(t *testing.T) {
	table := NewTable()
	for i := range 20 {
		table.RecordOwnEnd(at(float64(i)), endOf(sharedPart, 1, float64(i)))
	}
	if isQuarantined(table, sharedPart, 20) {
		t.Error("quarantined")
	}
}

// A part that was sound until now needs more ends: the servers may fail one after the
// other by themselves.
func TestPartKnownToBeSoundNeedsMoreEnds(t *testing.T) {
	table := NewTable()
	table.RecordOwnSound(start, SoundAnswer{Cause: endingPart, At: start})
	for i := 1; i <= endsOfKnownCause; i++ {
		if isQuarantined(table, endingPart, float64(i)) {
			t.Errorf("quarantined after %d ends", i-1)
		}
		table.RecordOwnEnd(at(float64(i)), endOf(endingPart, i, float64(i)))
	}
	if !isQuarantined(table, endingPart, 6) {
		t.Error("not quarantined")
	}
}

// A part was quarantined at a daemon that had not seen its sound answers, which another
// daemon reports.
func TestSoundAnswerAfterTheFirstEndReleasesThePart(t *testing.T) {
	table := NewTable()
	for i := range endsToQuarantine {
		table.RecordOwnEnd(at(float64(i)), endOf(sharedPart, i, float64(i)))
	}
	if _, released := table.Merge(at(3), Updates{Sounds: []SoundAnswer{{Cause: sharedPart, At: at(-1)}}}, true); len(released) > 0 {
		t.Error("released by an answer before the first end")
	}
	if _, released := table.Merge(at(3), Updates{Sounds: []SoundAnswer{{Cause: sharedPart, At: at(0.5)}}}, true); len(released) != 1 {
		t.Error("not released")
	}
	if isQuarantined(table, sharedPart, 3) {
		t.Error("still quarantined")
	}
	if adopted := table.Adopt(at(3), []ServerEnd{endOf(sharedPart, 1, 0), endOf(sharedPart, 2, 2)}); len(adopted) > 0 {
		t.Error("quarantined again by a daemon that has not heard of the answer")
	}
}

// Each daemon sees the end of one server alone.
func TestEndsSeenByDifferentDaemonsAddUp(t *testing.T) {
	var tables []*Table
	for i := range endsToQuarantine {
		table := NewTable()
		table.RecordOwnEnd(at(float64(i)), endOf(endingPart, i, float64(i)))
		tables = append(tables, table)
	}
	var quarantined []CauseHash
	for _, peer := range tables[1:] {
		newly, _ := tables[0].Merge(at(3), peer.TakeDomainUpdates(), true)
		quarantined = append(quarantined, newly...)
	}
	if fmt.Sprint(quarantined) != fmt.Sprint([]CauseHash{endingPart}) {
		t.Errorf("quarantined %v", quarantined)
	}
	if ends := tables[0].TakeCrossDomainUpdates().Ends; len(ends) != endsToQuarantine {
		t.Errorf("%d ends for the other failure domains", len(ends))
	}
	restarted := NewTable()
	restarted.Adopt(at(60), tables[0].QuarantineEnds(at(60)))
	if !isQuarantined(restarted, endingPart, 60) {
		t.Error("a daemon that started since doesn't know the part")
	}
}

// A daemon that knows a sound answer tells those that count ends against the part.
func TestSoundAnswerIsToldToDaemonsThatSuspectThePart(t *testing.T) {
	suspecting, knowing := NewTable(), NewTable()
	knowing.RecordOwnSound(at(1), SoundAnswer{Cause: sharedPart, At: at(0.5)})
	if sounds := knowing.TakeDomainUpdates().Sounds; len(sounds) > 0 {
		t.Errorf("told without a reason: %v", sounds)
	}
	suspecting.RecordOwnEnd(at(0), endOf(sharedPart, 1, 0))
	knowing.Merge(at(2), suspecting.TakeDomainUpdates(), true)
	if sounds := knowing.TakeDomainUpdates().Sounds; len(sounds) != 1 || !sounds[0].At.Equal(at(0.5)) {
		t.Errorf("told %v", sounds)
	}
}

func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	table.RecordOwnEnd(start, endOf(endingPart, 1, 0))
	for i := range 2 * maxCauses {
		table.RecordOwnSound(start, SoundAnswer{Cause: CauseHash(1000 + i), At: start})
	}
	if len(table.causes) > maxCauses || table.causes[endingPart] == nil {
		t.Errorf("%d parts, the suspected one kept: %v", len(table.causes), table.causes[endingPart] != nil)
	}
}

func TestServerThatStartsAgainIsAnotherInstance(t *testing.T) {
	if InstanceOf(ports.VM{Name: "s", StartedMillis: 1}) == InstanceOf(ports.VM{Name: "s", StartedMillis: 2}) {
		t.Error("same instance")
	}
}

// Sound servers lose answers, each with a reset of its connection, also three times in a
// row for the few calls of a rare part. Each answers later requests.
func TestLostAnswersOfLivingServersQuarantineNoPart(t *testing.T) {
	table, peer := NewTable(), NewTable()
	for i := range endsToQuarantine {
		table.RecordOwnEnd(at(float64(i)), endOf(sharedPart, i, float64(i)))
	}
	if !isQuarantined(table, sharedPart, 3) {
		t.Fatal("not quarantined while nothing is known of the servers")
	}
	ends := table.QuarantineEnds(at(3))
	if adopted := peer.Adopt(at(3), ends); len(adopted) != 1 {
		t.Fatal("not adopted by a peer")
	}
	released := table.RecordOwnLife(at(3.1), SignOfLife{Server: 1, At: at(3)})
	if len(released) != 1 || isQuarantined(table, sharedPart, 3.1) {
		t.Errorf("released %v after a sign of life of one server", released)
	}
	if adopted := table.Adopt(at(3.2), ends); len(adopted) > 0 {
		t.Error("quarantined again by a daemon that has not heard of the sign of life")
	}
	if _, released := peer.Merge(at(3.2), table.TakeDomainUpdates(), true); len(released) != 1 {
		t.Error("the sign of life did not release the part at the peer")
	}
}

// The answer to a request that was sent before a server ended arrives after it.
func TestAnswerFromBeforeTheEndIsNoSignOfLife(t *testing.T) {
	table := NewTable()
	for i := range endsToQuarantine {
		table.RecordOwnEnd(at(float64(i)), endOf(endingPart, i, float64(i)))
		table.RecordOwnLife(at(float64(i)+0.05), SignOfLife{Server: ServerInstance(i), At: at(float64(i) - 0.02)})
	}
	if !isQuarantined(table, endingPart, 3) {
		t.Error("not quarantined")
	}
}
