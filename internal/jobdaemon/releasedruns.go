package jobdaemon

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/msg"
)

// releasedRetention is how long an entry keeps what it was told of released runs. By then
// another one owns the jobs.
const releasedRetention = 10 * time.Second

// releasedRuns holds what the last owner that released the jobs has told of its runs, for
// this entry to inherit if it is the next owner.
type releasedRuns struct {
	epoch uint64
	hosts []msg.HostRuns
	at    time.Duration // when the last part arrived
}

// prune forgets the runs of an owner that released the jobs long ago.
func (r *releasedRuns) prune(now time.Duration) {
	if now-r.at > releasedRetention {
		r.hosts = nil
	}
}

// sendReleasedRuns tells the other entries which runs this owner knew when it released the
// jobs.
func (c *controller) sendReleasedRuns(epoch uint64, hosts []msg.HostRuns) {
	sent := map[string]bool{}
	for _, l := range c.links {
		if name := l.hello.Member.Name; l.hello.InheritsRuns && !sent[name] {
			sent[name] = true
			c.send(l, &msg.RunsReleased{Epoch: epoch, Hosts: hosts})
		}
	}
}

// runsReleased applies a part of the runs of an owner that has released the jobs. Only the
// next owner inherits them: any later one follows one that may have started others.
func (c *controller) runsReleased(m *msg.RunsReleased) {
	switch r := &c.released; {
	case m.Epoch < r.epoch:
		return
	case m.Epoch > r.epoch:
		*r = releasedRuns{epoch: m.Epoch}
	}
	c.released.hosts, c.released.at = append(c.released.hosts, m.Hosts...), c.now()
	if c.jobs != nil && c.jobs.Epoch() == m.Epoch+1 {
		c.jobs.InheritRuns(m.Hosts)
	}
}

// inheritRuns lets this owner, which has just begun, inherit the runs that it was told
// before.
func (c *controller) inheritRuns() {
	if c.jobs.Epoch() == c.released.epoch+1 {
		c.jobs.InheritRuns(c.released.hosts)
	}
	c.released.hosts = nil
}
