package dispatch

import "time"

const (
	profileBuckets = 256
	bucketWidth    = 40 * time.Millisecond
)

// profile holds the expected slot time of the queued requests of one tenant by
// the time at which each has to start at the latest. It serves the feasibility
// test of earliest-deadline-first scheduling: whether one more request can be
// admitted such that no other one misses its deadline. Times beyond the last
// bucket count in the last one.
type profile struct {
	work    [profileBuckets]time.Duration // ring by absolute bucket number
	total   time.Duration
	present int64 // current bucket; overdue work counts here
}

// bucketAt returns the number of the bucket that contains at. Bucket 0 starts
// at origin.
func bucketAt(origin, at time.Time) int64 { return int64(at.Sub(origin) / bucketWidth) }

// advance makes now the current bucket and moves overdue work to it.
func (p *profile) advance(now int64) {
	if now <= p.present {
		return
	}
	var overdue time.Duration
	for b := p.present; b < min(now, p.present+profileBuckets); b++ {
		overdue += p.work[b%profileBuckets]
		p.work[b%profileBuckets] = 0
	}
	p.present = now
	p.work[now%profileBuckets] += overdue
}

// clamp returns the bucket in which work due in bucket latest counts.
func (p *profile) clamp(latest int64) int64 {
	return max(p.present, min(latest, p.present+profileBuckets-1))
}

// add adds work that is due in a bucket. It returns the bucket to pass to
// remove.
func (p *profile) add(latest int64, cost time.Duration) int64 {
	latest = p.clamp(latest)
	p.work[latest%profileBuckets] += cost
	p.total += cost
	return latest
}

func (p *profile) remove(due int64, cost time.Duration) {
	p.work[p.clamp(due)%profileBuckets] -= cost
	p.total -= cost
}

// feasible reports whether a request of the given cost, which has to start in
// bucket latest at the latest, can be admitted when the given number of slots
// serves the tenant's requests. offset is the part of the current bucket that
// has passed.
func (p *profile) feasible(latest int64, offset, cost time.Duration, slots float64) bool {
	if p.total == 0 {
		return true
	}
	latest = p.clamp(latest)
	var sum time.Duration
	for b := p.present; b < p.present+profileBuckets; b++ {
		sum += p.work[b%profileBuckets]
		if b < latest {
			continue
		}
		left := time.Duration(b-p.present)*bucketWidth + bucketWidth - offset
		ahead := sum
		if b > latest {
			ahead += cost
		}
		if float64(ahead) > slots*float64(left) {
			return false
		}
		if sum == p.total {
			return true // later buckets are empty and have more time
		}
	}
	return true
}
