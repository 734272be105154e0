package dispatch

import "time"

const (
	profileBuckets = 256
	bucketWidth    = 40 * time.Millisecond
)

// profile is the expected slot time of the queued requests of one tenant by
// the time at which each has to start at the latest. It tells whether one
// more request can be admitted without making another one late: the
// feasibility test of earliest-deadline-first scheduling. Times beyond the
// last bucket count as in the last one.
type profile struct {
	work  [profileBuckets]time.Duration // ring by absolute bucket number
	total time.Duration
	first int64 // bucket of the present; what was due before counts there
}

// bucketAt numbers the interval that holds at; origin is any fixed time.
func bucketAt(origin, at time.Time) int64 { return int64(at.Sub(origin) / bucketWidth) }

// advance moves work that is overdue to the bucket of the present.
func (p *profile) advance(now int64) {
	if now <= p.first {
		return
	}
	var overdue time.Duration
	for b := p.first; b < min(now, p.first+profileBuckets); b++ {
		overdue += p.work[b%profileBuckets]
		p.work[b%profileBuckets] = 0
	}
	p.first = now
	p.work[now%profileBuckets] += overdue
}

// clip returns the bucket that counts work due in bucket latest.
func (p *profile) clip(latest int64) int64 {
	return max(p.first, min(latest, p.first+profileBuckets-1))
}

// add counts work due in a bucket and returns the bucket to remove it from.
func (p *profile) add(latest int64, cost time.Duration) int64 {
	latest = p.clip(latest)
	p.work[latest%profileBuckets] += cost
	p.total += cost
	return latest
}

func (p *profile) remove(due int64, cost time.Duration) {
	p.work[p.clip(due)%profileBuckets] -= cost
	p.total -= cost
}

// feasible reports whether a request of the given cost that has to start by
// latest can be admitted when the tenant's requests use speed slots. offset is
// how much of the present bucket has passed.
func (p *profile) feasible(latest int64, offset, cost time.Duration, speed float64) bool {
	if p.total == 0 {
		return true
	}
	latest = p.clip(latest)
	var sum time.Duration
	for b := p.first; b < p.first+profileBuckets; b++ {
		sum += p.work[b%profileBuckets]
		if b < latest {
			continue
		}
		left := time.Duration(b-p.first)*bucketWidth + bucketWidth - offset
		ahead := sum
		if b > latest {
			ahead += cost
		}
		if float64(ahead) > speed*float64(left) {
			return false
		}
		if sum == p.total {
			return true // later buckets are empty and have more time
		}
	}
	return true
}
