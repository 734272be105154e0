package jobdaemon

import (
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/hostagent"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/runner"
	"github.com/bambooscale/bambooscale/internal/workload"
)

// siteEnd is an end as done that a backend server has listed.
type siteEnd struct {
	at    time.Duration
	noted bool // it was acknowledged
}

// siteProcess is one incarnation of a backend server.
type siteProcess struct {
	host        *siteHost
	startedAt   time.Duration
	startedAtMS int64
	token       uint64
	leaseEndMS  int64
	sequence    uint64
	running     map[workload.RunID]time.Duration // when they end as done
	barred      map[workload.TaskID]uint64       // highest run that may not start any more
	ends        []msg.RunEnd
	doneEnds    map[uint64]*siteEnd // by number
	lastEnd     uint64
}

func (p *siteProcess) clockMS() int64 { return 1000 + (p.host.site.now - p.startedAt).Milliseconds() }

// announcement is the state that the process announces.
func (p *siteProcess) announcement() runner.Announcement {
	p.sequence++
	return runner.Announcement{Sequence: p.sequence, ClockMS: p.clockMS(), Host: workload.Host{
		Instance: p.host.instance, StartedAtMS: p.startedAtMS, Service: "desk", State: workload.HostReady,
		Capacity: workload.Resources{MilliCPU: 8000, MemoryMB: 1 << 20},
	}}
}

// announce sends an announcement, which may arrive late, and the next one after the
// interval.
func (p *siteProcess) announce() {
	h, s := p.host, p.host.site
	if h.process != p {
		return
	}
	a := p.announcement()
	delay := s.randomDelay(siteTick)
	if s.random.Float64() < s.late {
		delay = s.randomDelay(siteLateExecution)
	}
	s.after(delay, func() { h.announced(a) })
	s.after(announceInterval, p.announce)
}

// advance ends the runs whose time or lease is over.
func (p *siteProcess) advance() {
	for id, at := range p.running {
		switch {
		case p.host.site.now >= at:
			p.end(id, workload.EndDone)
		case p.clockMS() >= p.leaseEndMS:
			p.end(id, workload.EndLeaseExpired)
		}
	}
}

func (p *siteProcess) end(id workload.RunID, reason workload.EndReason) {
	s := p.host.site
	s.note(string(p.host.name), "%v ends %v as number %d", id, reason, p.lastEnd+1)
	delete(p.running, id)
	p.barred[id.Task] = max(p.barred[id.Task], id.Number)
	p.lastEnd++
	p.ends = append(p.ends, msg.RunEnd{Number: p.lastEnd, Run: id, Reason: reason})
	if reason == workload.EndDone {
		e := &siteEnd{at: s.now}
		p.doneEnds[p.lastEnd] = e
		s.done[id.Task] = append(s.done[id.Task], e)
	}
}

// admit applies the token and the lease of a call.
func (p *siteProcess) admit(token uint64, leaseMS int64) error {
	if token < p.token {
		return runner.ErrFenced
	}
	p.token = token
	p.leaseEndMS = max(p.leaseEndMS, min(leaseMS, p.clockMS()+siteMaxHold.Milliseconds()))
	return nil
}

func (p *siteProcess) execute(c hostagent.Call) (runner.PollResponse, error) {
	if c.Poll != nil {
		return p.list(c.Target.Token, *c.Poll)
	}
	leaseMS := int64(0)
	if c.Start != nil {
		leaseMS = c.Start.LeaseMS
	}
	if err := p.admit(c.Target.Token, leaseMS); err != nil {
		return runner.PollResponse{ClockMS: p.clockMS()}, err
	}
	switch {
	case c.Start != nil:
		return runner.PollResponse{ClockMS: p.clockMS()}, p.startRun(*c.Start)
	case c.Stop != nil:
		p.barred[c.Stop.Task] = max(p.barred[c.Stop.Task], c.Stop.Number)
		if _, ok := p.running[*c.Stop]; ok {
			p.end(*c.Stop, workload.EndStopped)
		}
	}
	return runner.PollResponse{ClockMS: p.clockMS()}, nil
}

func (p *siteProcess) startRun(r runner.StartRequest) error {
	if _, ok := p.running[r.Run]; ok {
		return nil
	}
	switch {
	case r.Run.Number <= p.barred[r.Run.Task]:
		return runner.ErrRunEnded
	case r.LeaseMS <= p.clockMS():
		return runner.ErrLeaseExpired
	}
	s := p.host.site
	s.note(string(p.host.name), "%v starts", r.Run)
	s.checkStart(p.host, r.Run)
	p.running[r.Run] = s.now + siteTaskTime/2 + s.randomDelay(siteTaskTime)
	return nil
}

// list executes a poll.
func (p *siteProcess) list(token uint64, r runner.PollRequest) (runner.PollResponse, error) {
	if err := p.admit(token, r.LeaseMS); err != nil {
		return runner.PollResponse{ClockMS: p.clockMS()}, err
	}
	p.forget(r.Acknowledged)
	response := runner.PollResponse{ClockMS: p.clockMS(), StartedAtMS: p.startedAtMS, Ended: slices.Clone(p.ends)}
	for id := range p.running {
		response.Runs = append(response.Runs, msg.RunStatus{Run: id, CPULimitPercent: 100})
	}
	return response, nil
}

// forget deletes the ends up to a number.
func (p *siteProcess) forget(acknowledged uint64) {
	for _, e := range p.ends {
		if done := p.doneEnds[e.Number]; done != nil && e.Number <= acknowledged {
			if !done.noted {
				p.host.site.note(string(p.host.name), "end %d of %v is acknowledged", e.Number, e.Run)
			}
			done.noted = true
		}
	}
	p.ends = slices.DeleteFunc(p.ends, func(e msg.RunEnd) bool { return e.Number <= acknowledged })
}
