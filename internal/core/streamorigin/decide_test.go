package streamorigin

import (
	"testing"
	"time"

	"hawthornstream/internal/core/outcome"
)

// All daemons are killed at once and start again without memory, while servers of two
// versions serve: whoever guesses joins two versions.
func TestStreamOfUnknownOriginIsResumedOnlyAtTheSingleVersion(t *testing.T) {
	v1 := Origin{Service: "llm", SoftwareVersion: "v1"}
	record := Record{Found: true, Versions: []string{"v1"}, IsComplete: true, Era: 3}
	// only is the evidence of a service with one version; each case changes something.
	only := VersionEvidence{Known: []string{"v1"}, IsRead: true, Era: 3, Listed: []string{"v1"}, Record: record}
	with := func(change func(e *VersionEvidence)) Evidence {
		versions := only
		change(&versions)
		return Evidence{Service: "llm", Source: SourceUnknown, Versions: versions}
	}
	doubt := func(d Doubt) Decision {
		return Decision{Source: SourceUnknown, Doubt: d, Reason: outcome.ReasonStreamOriginUnknown}
	}
	atV1 := Decision{SoftwareVersion: "v1", Source: SourceSingleVersion}
	cases := map[string]struct {
		evidence Evidence
		want     Decision
	}{
		"own": {Evidence{Service: "llm", Origin: v1, Source: SourceOwn}, Decision{SoftwareVersion: "v1", Source: SourceOwn}},
		"home against the list": {
			Evidence{Service: "llm", Origin: v1, Source: SourceHome, Versions: VersionEvidence{IsRead: true, Listed: []string{"v2"}}},
			Decision{SoftwareVersion: "v1", Source: SourceHome},
		},
		"begun at a restarted server": {
			Evidence{Service: "llm", Origin: Origin{Service: "llm", SoftwareVersion: UnknownVersion}, Source: SourceOwn, Versions: only},
			Decision{Source: SourceOwn, Doubt: DoubtServerRestarted, Reason: outcome.ReasonStreamOriginUnknown},
		},
		"the route leads to another service now": {
			Evidence{Service: "other", Origin: v1, Source: SourceHome},
			Decision{Source: SourceHome, Reason: outcome.ReasonSoftwareVersionGone},
		},
		"one version":              {with(func(*VersionEvidence) {}), atV1},
		"at a daemon just started": {with(func(e *VersionEvidence) { e.Known = nil }), atV1},
		"whose servers are gone":   {with(func(e *VersionEvidence) { e.Known, e.Listed = nil, nil }), atV1},
		"known here as well":       {with(func(e *VersionEvidence) { e.Known = []string{"v1", "v2"} }), doubt(DoubtSeveralVersions)},
		"another one known here":   {with(func(e *VersionEvidence) { e.Known = []string{"v2"} }), doubt(DoubtSeveralVersions)},
		"another one listed":       {with(func(e *VersionEvidence) { e.Listed = []string{"v2"} }), doubt(DoubtSeveralVersions)},
		"another one recorded":     {with(func(e *VersionEvidence) { e.Record.Versions = []string{"v1", "v2"} }), doubt(DoubtSeveralVersions)},
		"store not read":           {with(func(e *VersionEvidence) { *e = VersionEvidence{Known: e.Known} }), doubt(DoubtStoreNotRead)},
		"no record":                {with(func(e *VersionEvidence) { e.Record = Record{} }), doubt(DoubtNoRecord)},
		"record never complete":    {with(func(e *VersionEvidence) { e.Record.IsComplete = false }), doubt(DoubtIncompleteRecord)},
		"record of an earlier era": {with(func(e *VersionEvidence) { e.Era++ }), doubt(DoubtIncompleteRecord)},
		"read in an earlier era":   {with(func(e *VersionEvidence) { e.Era-- }), doubt(DoubtIncompleteRecord)},
		"no version": {
			with(func(e *VersionEvidence) { e.Known, e.Listed, e.Record.Versions = nil, nil, nil }), doubt(DoubtNoVersion),
		},
	}
	for name, c := range cases {
		if got := Decide(c.evidence); got != c.want {
			t.Errorf("%s: got %+v, want %+v", name, got, c.want)
		}
	}
}

func TestStreamGoesOnUnlessItsServerWasStartedAgain(t *testing.T) {
	for starts, want := range map[[2]int64]bool{{5, 5}: true, {5, 6}: false, {5, 4}: false, {0, 5}: true, {5, 0}: true} {
		if got := JudgeStart(starts[0], starts[1]).MayContinue(); got != want {
			t.Errorf("listed and reported %v: got %v", starts, got)
		}
	}
}

// A server starts again as start 6, then as 7, while the list says 5 for up to two seconds. Streams
// begin over a connection of each process; each is confirmed by reports over later connections.
func TestStreamBeginsAtListedVersionOnlyOnConfirmedConnection(t *testing.T) {
	second := func(s int) time.Time { return time.Unix(int64(s), 0) }
	cases := map[string]struct {
		report      Confirmation
		listed      int64
		connectedAt time.Time
		want        ServerStart
	}{
		"never asked":                          {Confirmation{}, 5, second(1), StartUnknown},
		"connection of the listed process":     {Confirmation{5, second(2)}, 5, second(1), StartAsListed},
		"connection of the report":             {Confirmation{5, second(2)}, 5, second(2), StartAsListed},
		"connected after the report":           {Confirmation{5, second(2)}, 5, second(3), StartUnknown},
		"restarted, list behind":               {Confirmation{6, second(4)}, 5, second(3), StartOther},
		"restarted twice, list one start late": {Confirmation{7, second(6)}, 6, second(5), StartOther},
		"list has followed":                    {Confirmation{6, second(4)}, 6, second(3), StartAsListed},
		"start not told":                       {Confirmation{0, second(2)}, 0, second(1), StartUnknown},
	}
	for name, c := range cases {
		if got := c.report.Judge(c.listed, c.connectedAt); got != c.want {
			t.Errorf("%s: got %s, want %s", name, got, c.want)
		}
	}
	for start, want := range map[ServerStart]string{StartAsListed: "v1", StartOther: UnknownVersion, StartUnknown: UnknownVersion} {
		if got := start.Version("v1"); got != want {
			t.Errorf("start %s: got version %q", start, got)
		}
	}
}
