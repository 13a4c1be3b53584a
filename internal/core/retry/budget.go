package retry

import "time"

// Policy limits the retries of a service relative to its recent first tries.
type Policy struct {
	// RetryRatio is the most retries for each first try; 0.1 allows one retry
	// for ten first tries.
	RetryRatio float64
	// MinRetries is the number of retries that are always allowed, so that a
	// service with few calls can retry at all.
	MinRetries int
}

// DefaultPolicy returns the policy of a daemon without settings for retries.
func DefaultPolicy() Policy {
	return Policy{RetryRatio: 0.1, MinRetries: 3}
}

const (
	// A budget counts the tries of the last bucketCount*bucketWidth.
	bucketCount = 10
	bucketWidth = time.Second
)

// Budget counts the recent first tries and retries of one service in a sliding
// window. The zero value is ready for use. It is not safe for concurrent use.
type Budget struct {
	buckets [bucketCount]bucket
}

type bucket struct {
	// period is the Unix time that the bucket covers, in units of bucketWidth.
	period     int64
	firstTries int
	retries    int
}

// RecordFirstTry counts the first try of a call.
func (b *Budget) RecordFirstTry(now time.Time) {
	b.bucketAt(now).firstTries++
}

// AllowRetry reports whether the policy allows another retry now. If so, it
// counts the retry.
func (b *Budget) AllowRetry(now time.Time, policy Policy) bool {
	firstTries, retries := b.recentCounts(now)
	if retries >= max(policy.MinRetries, int(policy.RetryRatio*float64(firstTries))) {
		return false
	}
	b.bucketAt(now).retries++
	return true
}

// CancelRetry takes back a retry that was counted and then not made.
func (b *Budget) CancelRetry(now time.Time) {
	if counted := b.bucketAt(now); counted.retries > 0 {
		counted.retries--
	}
}

// bucketAt returns the bucket of the period that contains now. It clears the
// bucket if it still holds an earlier period.
func (b *Budget) bucketAt(now time.Time) *bucket {
	period := now.UnixNano() / int64(bucketWidth)
	found := &b.buckets[period%bucketCount]
	if found.period != period {
		*found = bucket{period: period}
	}
	return found
}

func (b *Budget) recentCounts(now time.Time) (firstTries, retries int) {
	oldest := now.UnixNano()/int64(bucketWidth) - bucketCount
	for i := range b.buckets {
		if b.buckets[i].period > oldest {
			firstTries += b.buckets[i].firstTries
			retries += b.buckets[i].retries
		}
	}
	return firstTries, retries
}
