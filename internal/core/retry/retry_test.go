package retry

import (
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"hawthornstream/internal/core/outcome"
)

const seed = 5

func properties() *gopter.Properties {
	parameters := gopter.DefaultTestParametersWithSeed(seed)
	parameters.MinSuccessfulTests = 2000
	return gopter.NewProperties(parameters)
}

func genFailedTry() gopter.Gen {
	ends := gen.OneConstOf(outcome.Ran, outcome.NotRun, outcome.Unknown)
	reasons := gen.OneConstOf(
		outcome.ReasonServerUnreachable, outcome.ReasonServerOverloaded, outcome.ReasonConnectionBroken,
		outcome.ReasonAnswerMismatch, outcome.ReasonDeadlineExceeded, outcome.ReasonCallerGone,
	)
	return gopter.CombineGens(ends, reasons, gen.Bool(), gen.Bool(), gen.Bool(), gen.IntRange(1, 6),
		gen.IntRange(0, 5), gen.IntRange(-1, 3)).Map(func(v []any) FailedTry {
		return FailedTry{
			End: v[0].(outcome.RunState), Reason: v[1].(outcome.Reason), MaybeSent: v[2].(bool), AnswerBegun: v[3].(bool),
			Repeatable: v[4].(bool), Tries: v[5].(int), SentTries: v[6].(int),
			TimeLeft: time.Duration(v[7].(int)) * time.Second,
		}
	})
}

func TestRetriesAreSafe(t *testing.T) {
	p := properties()
	p.Property("a call that is not repeatable is sent at most once", prop.ForAll(func(try FailedTry) bool {
		return try.Repeatable || !try.MaybeSent || Decide(try) == GiveUp
	}, genFailedTry()))
	p.Property("no retry after a byte of the answer, after the deadline or beyond MaxTries", prop.ForAll(func(try FailedTry) bool {
		mustGiveUp := try.AnswerBegun || try.TimeLeft <= 0 || try.Tries >= MaxTries
		return !mustGiveUp || Decide(try) == GiveUp
	}, genFailedTry()))
	p.Property("a retry after a try that may have been sent is charged to the budget", prop.ForAll(func(try FailedTry) bool {
		return !try.MaybeSent || Decide(try) != Unbudgeted
	}, genFailedTry()))
	p.TestingRun(t)
}

func TestUnsentCallIsRetriedOutsideBudget(t *testing.T) {
	for _, reason := range []outcome.Reason{outcome.ReasonServerUnreachable, outcome.ReasonServerRestarted} {
		try := FailedTry{End: outcome.NotRun, Reason: reason, Tries: 1, TimeLeft: time.Second}
		if Decide(try) != Unbudgeted {
			t.Errorf("%s: a call that was not sent must be retried without charging the budget", reason)
		}
	}
}

func TestMergeRunStatesKeepsRanAndUnknown(t *testing.T) {
	if MergeRunStates(outcome.Unknown, outcome.NotRun) != outcome.Unknown {
		t.Error("a try with an unknown run state was ignored")
	}
	if MergeRunStates(outcome.NotRun, outcome.Ran) != outcome.Ran || MergeRunStates(outcome.NotRun, outcome.NotRun) != outcome.NotRun {
		t.Error("wrong merged run state of Ran and NotRun, or of NotRun and NotRun")
	}
}

// When the backend servers of a service fail, every try asks for a retry. Without a
// budget, the retries would multiply the load.
func TestBudgetBoundsRetriesWhenEveryTryFails(t *testing.T) {
	p := properties()
	p.Property("tries stay within 1.1 times the calls, plus the minimum of retries", prop.ForAll(func(callsPerSecond int) bool {
		var budget Budget
		now := time.Unix(1000, 0)
		calls, retries := 0, 0
		for range 60 * callsPerSecond {
			now = now.Add(time.Second / time.Duration(callsPerSecond))
			calls++
			budget.RecordFirstTry(now)
			for range MaxSends - 1 {
				if budget.AllowRetry(now, DefaultPolicy()) {
					retries++
				}
			}
		}
		policy := DefaultPolicy()
		return float64(retries) <= policy.RetryRatio*float64(calls)+float64(policy.MinRetries)
	}, gen.IntRange(4, 200)))
	p.TestingRun(t)
}

func TestBudgetIgnoresOldRetries(t *testing.T) {
	var budget Budget
	now := time.Unix(1000, 0)
	for budget.AllowRetry(now, DefaultPolicy()) {
		continue
	}
	if !budget.AllowRetry(now.Add(bucketCount*bucketWidth), DefaultPolicy()) {
		t.Error("old retries still count")
	}
}
