package retry

import "time"

// Policy is how many retries the recent first tries of a service allow.
type Policy struct {
	// Part is the most retries as a part of the first tries.
	Part float64
	// Floor is the number of retries that are always allowed, so that a service
	// with few calls has some.
	Floor int
}

// DefaultPolicy returns the policy of daemons that are told of no other.
func DefaultPolicy() Policy {
	return Policy{Part: 0.1, Floor: 3}
}

const (
	// budgetBuckets times budgetBucket is the recent time.
	budgetBuckets = 10
	budgetBucket  = time.Second
)

// Budget counts the recent first tries and retries of one service. The zero
// value is ready for use.
type Budget struct {
	buckets [budgetBuckets]bucket
}

type bucket struct {
	// number is the time of the bucket in units of budgetBucket.
	number  int64
	first   int
	retries int
}

// First counts a first try.
func (b *Budget) First(now time.Time) {
	b.at(now).first++
}

// Spend counts a retry if the policy allows it, and reports whether it did.
func (b *Budget) Spend(now time.Time, policy Policy) bool {
	first, retries := b.recent(now)
	if retries >= max(policy.Floor, int(policy.Part*float64(first))) {
		return false
	}
	b.at(now).retries++
	return true
}

func (b *Budget) at(now time.Time) *bucket {
	number := now.UnixNano() / int64(budgetBucket)
	found := &b.buckets[number%budgetBuckets]
	if found.number != number {
		*found = bucket{number: number}
	}
	return found
}

func (b *Budget) recent(now time.Time) (first, retries int) {
	oldest := now.UnixNano()/int64(budgetBucket) - budgetBuckets
	for i := range b.buckets {
		if b.buckets[i].number > oldest {
			first += b.buckets[i].first
			retries += b.buckets[i].retries
		}
	}
	return first, retries
}
