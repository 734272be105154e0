package jobdaemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/event"
	"github.com/bambooscale/bambooscale/internal/jobapi"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/wire"
	"github.com/bambooscale/bambooscale/internal/workload"
)

const (
	// submitTime bounds the tries to store a job; the caller has time left to
	// ask another entry.
	submitTime = 500 * time.Millisecond
	// knownAway is how long the table service must have been away for a
	// caller to be refused after one try.
	knownAway   = 300 * time.Millisecond
	submitRetry = 50 * time.Millisecond
	// answerMargin is the part of a caller's deadline that the answer needs.
	answerMargin    = 150 * time.Millisecond
	leastRetryAfter = time.Second
	mostRetryAfter  = 4 * time.Second
)

// desk serves the callers of one entry. Any goroutine may use it.
type desk struct {
	controller *controller
	config     *actor.Value[workload.Config]
	log        log.Interface
	metrics    *entryMetrics
}

var _ jobapi.Handler = (*desk)(nil)

// RetryAfter implements jobapi.Handler: callers come back later the longer the
// table service is away, so that their last try is not spent in an outage.
func (d *desk) RetryAfter() time.Duration {
	return min(mostRetryAfter, max(leastRetryAfter, d.controller.gateway.away()))
}

// Ready implements jobapi.Handler.
func (d *desk) Ready() bool {
	retiring := d.controller.published.retiring.Get()
	return d.config.Get() != nil && (retiring == nil || !*retiring)
}

// Queue implements jobapi.Handler.
func (d *desk) Queue(host, path string) (workload.Queue, error) {
	c := d.config.Get()
	if c == nil {
		return workload.Queue{}, jobapi.ErrNotReady
	}
	q, ok := c.Match(host, path)
	if !ok {
		return workload.Queue{}, jobapi.ErrNoQueue
	}
	return *q, nil
}

// Messages of the desk to the controller.
type (
	jobStored struct {
		job   workload.Job
		taken actor.Reply[bool]
	}
	cancelStored struct {
		id    workload.JobID
		queue workload.QueueName
		taken actor.Reply[bool]
	}
	phaseQuery struct {
		id    workload.JobID
		reply actor.Reply[phaseKnown]
	}
	waitingQuery struct {
		queue workload.QueueName
		reply actor.Reply[int]
	}
	phaseKnown struct {
		phase workload.Phase
		known bool
	}
)

// Submit implements jobapi.Handler.
func (d *desk) Submit(ctx context.Context, q workload.Queue, j workload.Job) error {
	j.Queue, j.Service, j.Priority, j.MaxAttempts = q.Name, q.Service, q.Priority, q.MaxAttempts
	j.TargetSlowdown, j.TargetLatency = q.TargetSlowdown, q.TargetLatency
	err := d.submit(ctx, j)
	d.metrics.submitted(string(q.Name), err)
	if err != nil {
		event.Log(d.log, event.JobRefused, log.Fields{"job": string(j.ID), "queue": string(q.Name), "reason": err.Error()})
	}
	return err
}

func (d *desk) submit(ctx context.Context, j workload.Job) error {
	if err := j.Validate(); err != nil {
		if errors.Is(err, workload.ErrUnsupported) {
			return fmt.Errorf("%w: %w", jobapi.ErrNotAccepted, err)
		}
		return fmt.Errorf("%w: %w", jobapi.ErrInvalid, err)
	}
	if known, err := d.known(ctx, j.ID); err == nil && known.known {
		return nil // submitted before
	}
	value, err := wire.EncodeJob(&j)
	if err != nil {
		return fmt.Errorf("%w: %w", jobapi.ErrInvalid, err)
	}
	key := jobKey(j.ID)
	txn := table.Txn{Checks: []table.Check{{Key: key}}, Puts: []table.Put{{Key: key, Value: value}}}
	if err := d.persist(ctx, txn); err != nil {
		return err
	}
	event.Log(d.log, event.JobAccepted, log.Fields{"job": string(j.ID), "queue": string(j.Queue), "steps": len(j.Steps)})
	d.tell(ctx, func(r actor.Reply[bool]) any { return &jobStored{j, r} })
	return nil
}

// tell passes a stored change to the controller. The change is in the table
// service, so the owner learns of it even if this fails.
func (d *desk) tell(ctx context.Context, build func(actor.Reply[bool]) any) {
	_, _ = actor.Ask(ctx, d.controller.address, build)
}

// persist commits a transaction that creates rows, however often it takes.
// ErrNotAccepted means that no try took effect or ever will.
func (d *desk) persist(ctx context.Context, txn table.Txn) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(submitTime)
	}
	definite := time.Now().Add(min(submitTime, time.Until(deadline)-answerMargin))
	if d.controller.gateway.away() > knownAway {
		definite = time.Now() // one try
	}
	doubt := false
	for {
		r := d.controller.gateway.commit(ctx, txn)
		switch r.outcome {
		case table.Committed, table.Conflict:
			return nil // a row of the same key is the same change
		case table.Refused:
			return fmt.Errorf("%w: the table service refused it", jobapi.ErrNotAccepted)
		case table.Unknown:
			doubt = true
		}
		switch {
		case !doubt && !time.Now().Before(definite):
			return fmt.Errorf("%w: the table service is unavailable", jobapi.ErrNotAccepted)
		case doubt && time.Until(deadline) < answerMargin, !actor.Sleep(ctx, submitRetry):
			return fmt.Errorf("%w: the table service did not answer", jobapi.ErrOutcomeUnknown)
		}
	}
}

func (d *desk) known(ctx context.Context, id workload.JobID) (phaseKnown, error) {
	return actor.Ask(ctx, d.controller.address, func(r actor.Reply[phaseKnown]) any { return &phaseQuery{id, r} })
}

// Phase implements jobapi.Handler.
func (d *desk) Phase(ctx context.Context, _ workload.Queue, id workload.JobID) (workload.Phase, error) {
	k, err := d.known(ctx, id)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", jobapi.ErrOutcomeUnknown, err)
	}
	if k.known {
		return k.phase, nil
	}
	return d.storedPhase(ctx, id)
}

// storedPhase reads a job that this entry has not heard of.
func (d *desk) storedPhase(ctx context.Context, id workload.JobID) (workload.Phase, error) {
	if id == "" {
		return 0, jobapi.ErrNoJob
	}
	for {
		phase, err := d.readPhase(ctx, id)
		if err == nil || errors.Is(err, jobapi.ErrNoJob) {
			return phase, err
		}
		if !actor.Sleep(ctx, submitRetry) {
			return 0, fmt.Errorf("%w: %w", jobapi.ErrOutcomeUnknown, err)
		}
	}
}

func (d *desk) readPhase(ctx context.Context, id workload.JobID) (workload.Phase, error) {
	g := d.controller.gateway
	_, err := g.read(ctx, jobKey(id))
	switch {
	case errors.Is(err, storage.ErrNotFound):
		return 0, jobapi.ErrNoJob
	case err != nil:
		return 0, err
	}
	_, err = g.read(ctx, cancelKey(id))
	cancelled := err == nil
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return 0, err
	}
	row, err := g.read(ctx, progressKey(id))
	switch {
	case errors.Is(err, storage.ErrNotFound) && cancelled:
		return workload.Cancelled, nil
	case errors.Is(err, storage.ErrNotFound):
		return workload.Queued, nil
	case err != nil:
		return 0, err
	}
	p, err := wire.DecodeProgress(row.Value)
	if cancelled && !p.Phase.Final() {
		p.Phase = workload.Cancelled
	}
	return p.Phase, err
}

// Cancel implements jobapi.Handler.
func (d *desk) Cancel(ctx context.Context, q workload.Queue, id workload.JobID) error {
	phase, err := d.Phase(ctx, q, id)
	if err != nil {
		return err
	}
	if phase.Final() {
		return nil
	}
	key := cancelKey(id)
	if err := d.persist(ctx, table.Txn{Checks: []table.Check{{Key: key}}, Puts: []table.Put{{Key: key, Value: []byte{1}}}}); err != nil {
		if errors.Is(err, jobapi.ErrNotAccepted) {
			return fmt.Errorf("%w: %w", jobapi.ErrOutcomeUnknown, err)
		}
		return err
	}
	event.Log(d.log, event.JobCancelStored, log.Fields{"job": string(id)})
	d.tell(ctx, func(r actor.Reply[bool]) any { return &cancelStored{id, q.Name, r} })
	return nil
}

// QueueLength implements jobapi.Handler.
func (d *desk) QueueLength(ctx context.Context, q workload.Queue) (int, error) {
	n, err := actor.Ask(ctx, d.controller.address, func(r actor.Reply[int]) any { return &waitingQuery{q.Name, r} })
	if err != nil {
		return 0, fmt.Errorf("%w: %w", jobapi.ErrOutcomeUnknown, err)
	}
	return n, nil
}

func (c *controller) phaseQuery(m *phaseQuery) {
	p, known := c.mirror.phase(m.id)
	m.reply.Put(phaseKnown{p, known})
}

// jobStored takes a job that a caller of this entry submitted.
func (c *controller) jobStored(m *jobStored) {
	c.mirror.take(msg.JobPhase{ID: m.job.ID, Queue: m.job.Queue}, c.now())
	c.toOwner(&msg.JobSubmitted{Job: m.job})
	m.taken.Put(true)
}

func (c *controller) cancelStored(m *cancelStored) {
	c.toOwner(&msg.JobCancelled{ID: m.id})
	m.taken.Put(true)
}

// toOwner passes a stored change to the owner, if it is known. The owner's
// watch of the table service brings it otherwise.
func (c *controller) toOwner(m msg.Control) {
	if c.jobs != nil {
		c.forOwner(&entryLink{hello: &msg.PeerHello{Member: c.self}}, m)
		return
	}
	if l := c.entryLink(c.owner.Owner()); l != nil {
		c.send(l, m)
	}
}
