package retry

import (
	"testing"
	"time"
)

// A silent run is kept wherever its call would then have no other try.
func TestSilentTryIsKeptWithoutAnotherTry(t *testing.T) {
	allowed := FailedTry{
		Repeatable: true, Resumable: true, AnswerBegun: true, MaxSends: 2, Tries: 1, SentTries: 1, TimeLeft: time.Second,
	}
	if !MayReplaceSilent(allowed) {
		t.Error("a stream that another server may resume is kept")
	}
	for name, change := range map[string]func(*FailedTry){
		"not repeatable":            func(f *FailedTry) { f.Repeatable = false },
		"begun and not resumable":   func(f *FailedTry) { f.Resumable = false },
		"sent as often as allowed":  func(f *FailedTry) { f.SentTries = 2 },
		"tried as often as allowed": func(f *FailedTry) { f.Tries = MaxTries },
		"past its deadline":         func(f *FailedTry) { f.TimeLeft = 0 },
	} {
		try := allowed
		change(&try)
		if MayReplaceSilent(try) {
			t.Errorf("%s: replaced", name)
		}
	}
}
