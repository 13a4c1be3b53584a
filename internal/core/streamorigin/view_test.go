package streamorigin

import (
	"slices"
	"testing"
	"time"
)

// observed returns a view after observations of the list, one a second.
func observed(now *time.Time, lists ...ListObservation) *VersionView {
	view := NewVersionView()
	observe(now, view, lists...)
	return view
}

func observe(now *time.Time, view *VersionView, lists ...ListObservation) {
	for _, list := range lists {
		*now = now.Add(time.Second)
		view.Observe(*now, list)
	}
}

// listed returns a fresh list of the versions for some seconds.
func listed(seconds int, versions ...string) []ListObservation {
	return slices.Repeat([]ListObservation{{Versions: versions, Fresh: true}}, seconds)
}

const lifetimeSeconds = int(Lifetime / time.Second)

// The servers of the old version have left the list; streams that they began are still
// in progress, here or at callers that are about to resume them.
func TestVersionStaysPossibleAfterItsServersLeft(t *testing.T) {
	now := time.Unix(1, 0)
	view := observed(&now, slices.Concat(listed(1, "v1"), listed(1, "v1", "v2"), listed(lifetimeSeconds-1, "v2"))...)
	if got := view.Possible(now); !slices.Equal(got, []string{"v1", "v2"}) {
		t.Errorf("got %v", got)
	}
	observe(&now, view, listed(1, "v2")...)
	if got := view.Possible(now); !slices.Equal(got, []string{"v2"}) {
		t.Errorf("got %v after the lifetime of streams", got)
	}
}

// The record of a service is written with its first version, added to with each new one,
// and taken back only once the list was watched without a break for the lifetime of
// streams.
func TestRecordFollowsTheList(t *testing.T) {
	stale := ListObservation{Versions: []string{"v1"}}
	v1 := Record{Found: true, Versions: []string{"v1"}, IsComplete: true}
	both := Record{Found: true, Versions: []string{"v1", "v2"}, IsComplete: true}
	cases := map[string]struct {
		lists    []ListObservation
		stored   Record
		want     Record
		rulesOut bool
	}{
		"new service":            {lists: listed(1, "v1"), want: v1},
		"without servers":        {lists: listed(1), want: Record{}},
		"steady":                 {lists: listed(1, "v1"), stored: v1, want: v1},
		"new version":            {lists: listed(1, "v1", "v2"), stored: v1, want: both},
		"version gone":           {lists: listed(lifetimeSeconds, "v1"), stored: both, want: both},
		"version gone for long":  {lists: listed(lifetimeSeconds+1, "v1"), stored: both, want: v1, rulesOut: true},
		"not watched":            {lists: slices.Concat(listed(30, "v1"), []ListObservation{stale}, listed(40, "v1")), stored: both, want: both},
		"every server gone":      {lists: listed(lifetimeSeconds + 1), stored: v1, want: Record{Found: true, IsComplete: true}, rulesOut: true},
		"unreadable or restored": {lists: listed(lifetimeSeconds, "v1"), stored: Record{Found: true}, want: Record{Found: true, Versions: []string{"v1"}}},
		"watched since":          {lists: listed(lifetimeSeconds+1, "v1"), stored: Record{Found: true}, want: v1, rulesOut: true},
	}
	for name, c := range cases {
		now := time.Unix(1, 0)
		view := observed(&now, c.lists...)
		got, changes, rulesOut := view.Update(now, c.stored)
		if !got.equal(c.want) || changes == c.want.equal(c.stored) || rulesOut != c.rulesOut {
			t.Errorf("%s: got %+v, changes %v, rules out %v", name, got, changes, rulesOut)
		}
	}
	now := time.Unix(1, 0)
	paused := observed(&now, listed(lifetimeSeconds, "v1")...)
	now = now.Add(maxObservationGap + 1)
	paused.Observe(now, ListObservation{Versions: []string{"v1"}, Fresh: true})
	if _, changes, _ := paused.Update(now, both); changes {
		t.Error("a version was taken out after a pause")
	}
}

// The copy from which the store was restored lacks a version that was added after it. The
// daemons that knew it may be gone.
func TestRecordOfRestoredStoreIsIncompleteUntilWatched(t *testing.T) {
	inEra := func(era uint64, seconds int) []ListObservation {
		return slices.Repeat([]ListObservation{{Versions: []string{"v1"}, Era: era, Fresh: true}}, seconds)
	}
	before := Record{Found: true, Versions: []string{"v1"}, IsComplete: true, Era: 1}
	settled := int(eraSettleTime / time.Second)
	cases := map[string]struct {
		lists  []ListObservation
		stored Record
		want   uint64
	}{
		"restored a moment ago":        {slices.Concat(inEra(1, lifetimeSeconds), inEra(2, 1)), before, 1},
		"restored a while ago":         {slices.Concat(inEra(1, lifetimeSeconds), inEra(2, settled+1)), before, 2},
		"daemon started after it":      {inEra(2, lifetimeSeconds), before, 1},
		"daemon started long after it": {inEra(2, lifetimeSeconds+1), before, 2},
		"service without a record":     {inEra(2, 1), Record{}, 2},
		"list of an earlier era":       {inEra(1, lifetimeSeconds+1), Record{Found: true, Versions: []string{"v1"}, IsComplete: true, Era: 2}, 2},
	}
	for name, c := range cases {
		now := time.Unix(1, 0)
		if got, _, _ := observed(&now, c.lists...).Update(now, c.stored); !got.IsComplete || got.Era != c.want {
			t.Errorf("%s: got %+v", name, got)
		}
	}
	now := time.Unix(1, 0)
	view := observed(&now, slices.Concat(inEra(1, 1), inEra(2, 1))...)
	if got, _, _ := view.Update(now, Record{}); got.IsComplete {
		t.Errorf("the copy may lack the record: got %+v", got)
	}
}

// A daemon reads the record only if another daemon may have changed it unnoticed: in a
// quiet fleet never.
func TestRecordIsReadOnlyAfterDoubt(t *testing.T) {
	v1 := Record{Found: true, Versions: []string{"v1"}, IsComplete: true}
	cases := map[string]struct {
		lists []ListObservation
		want  bool
	}{
		"steady":                      {listed(3*lifetimeSeconds, "v1"), false},
		"new version":                 {listed(1, "v1", "v2"), true},
		"version listed again":        {slices.Concat(listed(1), listed(1, "v1")), true},
		"list not watched for a time": {[]ListObservation{{Versions: []string{"v1"}}, {Versions: []string{"v1"}, Fresh: true}}, true},
		"list not watched":            {[]ListObservation{{Versions: []string{"v1"}}}, false},
		"restored store":              {[]ListObservation{{Versions: []string{"v1"}, Era: 1, Fresh: true}}, true},
	}
	for name, c := range cases {
		now := time.Unix(1, 0)
		view := observed(&now, listed(1, "v1")...)
		if !view.NeedsRecord(now) {
			t.Fatalf("%s: the record is not read at the start", name)
		}
		view.RecordRead(v1, 0)
		observe(&now, view, c.lists...)
		if got := view.NeedsRecord(now); got != c.want {
			t.Errorf("%s: got %v", name, got)
		}
	}
}

// A daemon that was just started lists the new version alone. It learns from the record
// that streams of the old one are in progress.
func TestRecordTellsVersionsOfWhichNoServerIsListed(t *testing.T) {
	now := time.Unix(1, 0)
	view := observed(&now, listed(1, "v2")...)
	view.RecordRead(Record{Found: true, Versions: []string{"v1", "v2"}, IsComplete: true}, 0)
	if got := view.Possible(now); !slices.Equal(got, []string{"v1", "v2"}) {
		t.Errorf("got %v", got)
	}
	observe(&now, view, listed(lifetimeSeconds, "v2")...)
	if got := view.Possible(now); !slices.Equal(got, []string{"v2"}) {
		t.Errorf("got %v after the lifetime of streams", got)
	}
}
