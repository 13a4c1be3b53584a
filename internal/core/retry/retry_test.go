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

func genTry() gopter.Gen {
	ends := gen.OneConstOf(outcome.Ran, outcome.NotRun, outcome.Unknown)
	reasons := gen.OneConstOf(
		outcome.ReasonServerUnreachable, outcome.ReasonServerOverloaded, outcome.ReasonConnectionBroken,
		outcome.ReasonAnswerMismatch, outcome.ReasonDeadlineExceeded, outcome.ReasonCallerGone,
	)
	return gopter.CombineGens(ends, reasons, gen.Bool(), gen.Bool(), gen.Bool(), gen.IntRange(1, 6),
		gen.IntRange(0, 5), gen.IntRange(-1, 3)).Map(func(v []any) Try {
		return Try{
			End: v[0].(outcome.RunState), Reason: v[1].(outcome.Reason), Handed: v[2].(bool), Begun: v[3].(bool),
			Repeatable: v[4].(bool), Tries: v[5].(int), Sent: v[6].(int),
			Left: time.Duration(v[7].(int)) * time.Second,
		}
	})
}

func TestRetriesAreSafe(t *testing.T) {
	p := properties()
	p.Property("a call that is not repeatable is sent at most once", prop.ForAll(func(try Try) bool {
		return try.Repeatable || !try.Handed || Decide(try) == Stop
	}, genTry()))
	p.Property("no try follows a byte of the answer, the deadline or the limits", prop.ForAll(func(try Try) bool {
		over := try.Begun || try.Left <= 0 || try.Tries >= MaxTries
		return !over || Decide(try) == Stop
	}, genTry()))
	p.Property("a try that was sent costs the budget", prop.ForAll(func(try Try) bool {
		return !try.Handed || Decide(try) != AgainFree
	}, genTry()))
	p.TestingRun(t)
}

func TestUnsentCallIsTriedAgain(t *testing.T) {
	try := Try{
		End: outcome.NotRun, Reason: outcome.ReasonServerUnreachable, Tries: 1, Left: time.Second,
	}
	if Decide(try) != AgainFree {
		t.Error("a call that was not sent must be tried again")
	}
}

func TestMergeOwnsUpToEveryTry(t *testing.T) {
	if Merge(outcome.Unknown, outcome.NotRun) != outcome.Unknown {
		t.Error("an unknown try is forgotten")
	}
	if Merge(outcome.NotRun, outcome.Ran) != outcome.Ran || Merge(outcome.NotRun, outcome.NotRun) != outcome.NotRun {
		t.Error("ends are not joined")
	}
}

// In a brown-out each try fails and asks for a retry.
func TestBudgetBoundsABrownOut(t *testing.T) {
	p := properties()
	p.Property("attempts stay within 1.1 of the calls", prop.ForAll(func(perSecond int) bool {
		var budget Budget
		now := time.Unix(1000, 0)
		calls, retries := 0, 0
		for range 60 * perSecond {
			now = now.Add(time.Second / time.Duration(perSecond))
			calls++
			budget.First(now)
			for range MaxSent - 1 {
				if budget.Spend(now, DefaultPolicy()) {
					retries++
				}
			}
		}
		policy := DefaultPolicy()
		return float64(retries) <= policy.Part*float64(calls)+float64(policy.Floor)
	}, gen.IntRange(4, 200)))
	p.TestingRun(t)
}

func TestBudgetForgets(t *testing.T) {
	var budget Budget
	now := time.Unix(1000, 0)
	for budget.Spend(now, DefaultPolicy()) {
		continue
	}
	if !budget.Spend(now.Add(budgetBuckets*budgetBucket), DefaultPolicy()) {
		t.Error("old retries still count")
	}
}
