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
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/table"
	"github.com/bambooscale/bambooscale/internal/wire"
	"github.com/bambooscale/bambooscale/internal/workload"
)

const (
	// submitTimeout bounds the attempts to store a job while none of them can
	// have taken effect, so that the caller has time left to ask another entry.
	submitTimeout = 500 * time.Millisecond
	// knownOutage is the duration of an outage of the table service from which
	// on a caller is refused after one attempt.
	knownOutage         = 300 * time.Millisecond
	submitRetryInterval = 50 * time.Millisecond
	// answerMargin is the time before the caller's deadline that is reserved
	// for the answer.
	answerMargin  = 150 * time.Millisecond
	minRetryAfter = time.Second
	maxRetryAfter = 4 * time.Second
)

// jobHandler implements jobapi.Handler for the callers of one entry. Any
// goroutine may use it.
type jobHandler struct {
	controller *controller
	config     *actor.Value[workload.Config]
	log        log.Interface
	metrics    *entryMetrics
}

var _ jobapi.Handler = (*jobHandler)(nil)

// RetryAfter implements jobapi.Handler. The result grows with the outage of the
// table service, so that callers do not use up their retries during the outage.
func (h *jobHandler) RetryAfter() time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, h.controller.storeProxy.outageDuration()))
}

// Ready implements jobapi.Handler.
func (h *jobHandler) Ready() bool {
	retiring := h.controller.published.retiring.Get()
	return h.config.Get() != nil && (retiring == nil || !*retiring)
}

// Queue implements jobapi.Handler.
func (h *jobHandler) Queue(host, path string) (workload.Queue, error) {
	c := h.config.Get()
	if c == nil {
		return workload.Queue{}, jobapi.ErrNotReady
	}
	q, ok := c.Match(host, path)
	if !ok {
		return workload.Queue{}, jobapi.ErrNoQueue
	}
	return *q, nil
}

// Submit implements jobapi.Handler.
func (h *jobHandler) Submit(ctx context.Context, q workload.Queue, j workload.Job) error {
	j.Queue, j.Service, j.Priority, j.MaxAttempts = q.Name, q.Service, q.Priority, q.MaxAttempts
	j.TargetSlowdown, j.TargetLatency = q.TargetSlowdown, q.TargetLatency
	err := h.submit(ctx, j)
	h.metrics.countSubmission(string(q.Name), err)
	if err != nil {
		event.Log(h.log, event.JobRefused, log.Fields{"job": string(j.ID), "queue": string(q.Name), "reason": err.Error()})
	}
	return err
}

func (h *jobHandler) submit(ctx context.Context, j workload.Job) error {
	if err := j.Validate(); err != nil {
		if errors.Is(err, workload.ErrUnsupported) {
			return fmt.Errorf("%w: %w", jobapi.ErrNotAccepted, err)
		}
		return fmt.Errorf("%w: %w", jobapi.ErrInvalid, err)
	}
	if may, err := h.admit(ctx, &j); !may {
		return err // nil: it was submitted before
	}
	defer h.endAdmission(ctx, j.ID)
	if epoch := h.controller.published.epoch.Get(); epoch != nil {
		j.Epoch = *epoch
	}
	value, err := wire.EncodeJob(&j)
	if err != nil {
		return fmt.Errorf("%w: %w", jobapi.ErrInvalid, err)
	}
	key := jobKey(j.ID)
	txn := table.Txn{Checks: []table.Check{{Key: key}}, Puts: []table.Put{{Key: key, Value: value}}}
	r, err := h.create(ctx, txn)
	if err != nil {
		return err
	}
	j = storedJob(j, r)
	event.Log(h.log, event.JobAccepted, log.Fields{"job": string(j.ID), "queue": string(j.Queue), "steps": len(j.Steps), "epoch": j.Epoch})
	h.notifyController(ctx, func(r actor.Reply[bool]) any { return &jobStored{j, r} })
	return nil
}

// storedJob returns the job as its row has it after the commit of j: if the job
// had been submitted before, with the epoch of that acceptance. The epoch is 0 if
// the row is not known.
func storedJob(j workload.Job, r commitResult) workload.Job {
	if r.outcome == table.Committed {
		return j
	}
	for _, row := range r.rows {
		if row.Key != jobKey(j.ID) || row.Deleted {
			continue
		}
		if stored, err := wire.DecodeJob(row.Value); err == nil {
			return stored
		}
	}
	j.Epoch = 0
	return j
}

// notifyController passes a stored change to the controller. If that fails, the
// owner receives the change through its watch of the table service.
func (h *jobHandler) notifyController(ctx context.Context, build func(actor.Reply[bool]) any) {
	_, _ = actor.Ask(ctx, h.controller.address, build)
}

// persist is create for callers that need no result.
func (h *jobHandler) persist(ctx context.Context, txn table.Txn) error {
	_, err := h.create(ctx, txn)
	return err
}

// create commits a transaction that creates rows, and repeats it until the
// outcome is known or the time is up. The outcome without an error is Committed,
// or Conflict if a row exists. ErrNotAccepted means that no attempt took effect or
// will take effect; ErrOutcomeUnknown that one may have.
func (h *jobHandler) create(ctx context.Context, txn table.Txn) (commitResult, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(submitTimeout)
	}
	retryUntil := time.Now().Add(min(submitTimeout, time.Until(deadline)-answerMargin))
	if h.controller.storeProxy.outageDuration() > knownOutage {
		retryUntil = time.Now() // one attempt
	}
	unknown := false // an attempt may have taken effect
	for {
		r := h.controller.storeProxy.commit(ctx, txn)
		switch r.outcome {
		case table.Committed, table.Conflict:
			return r, nil // a row with this key contains the same change
		case table.Refused:
			return commitResult{}, fmt.Errorf("%w: the table service refused the transaction", jobapi.ErrNotAccepted)
		case table.Unknown:
			unknown = true
		}
		switch {
		case !unknown && (!time.Now().Before(retryUntil) || !actor.Sleep(ctx, submitRetryInterval)):
			return commitResult{}, fmt.Errorf("%w: the table service is unavailable", jobapi.ErrNotAccepted)
		case unknown && (time.Until(deadline) < answerMargin || !actor.Sleep(ctx, submitRetryInterval)):
			return commitResult{}, fmt.Errorf("%w: the table service did not answer", jobapi.ErrOutcomeUnknown)
		}
	}
}

// queryPhase asks the controller for the cached status of a job.
func (h *jobHandler) queryPhase(ctx context.Context, id workload.JobID) (phaseAnswer, error) {
	return actor.Ask(ctx, h.controller.address, func(r actor.Reply[phaseAnswer]) any { return &phaseQuery{id, r} })
}

// Status implements jobapi.Handler.
func (h *jobHandler) Status(ctx context.Context, _ workload.Queue, id workload.JobID) (workload.JobStatus, error) {
	answer, err := h.queryPhase(ctx, id)
	if err != nil {
		return workload.JobStatus{}, fmt.Errorf("%w: %w", jobapi.ErrOutcomeUnknown, err)
	}
	if answer.known {
		return answer.status, nil
	}
	status, err := h.storedStatus(ctx, id)
	if err == nil {
		h.controller.address.TrySend(&phaseRead{id, status}) // if the mailbox is full, the next call reads again
	}
	return status, err
}

// storedStatus reads the status of a job that is not in the cache from the table
// service. It repeats failed reads until ctx ends.
func (h *jobHandler) storedStatus(ctx context.Context, id workload.JobID) (workload.JobStatus, error) {
	if id == "" {
		return workload.JobStatus{}, jobapi.ErrNoJob
	}
	for {
		status, err := h.readStatus(ctx, id)
		if err == nil || errors.Is(err, jobapi.ErrNoJob) {
			return status, err
		}
		if !actor.Sleep(ctx, submitRetryInterval) {
			return workload.JobStatus{}, fmt.Errorf("%w: %w", jobapi.ErrOutcomeUnknown, err)
		}
	}
}

// readStatus derives the status of a job from its rows.
func (h *jobHandler) readStatus(ctx context.Context, id workload.JobID) (workload.JobStatus, error) {
	var none workload.JobStatus
	store := h.controller.storeProxy
	_, err := store.read(ctx, jobKey(id))
	switch {
	case errors.Is(err, storage.ErrNotFound):
		return none, jobapi.ErrNoJob
	case err != nil:
		return none, err
	}
	_, err = store.read(ctx, cancelKey(id))
	cancelled := err == nil
	if err != nil && !errors.Is(err, storage.ErrNotFound) {
		return none, err
	}
	row, err := store.read(ctx, progressKey(id))
	switch {
	case errors.Is(err, storage.ErrNotFound) && cancelled:
		return workload.JobStatus{Phase: workload.Cancelled}, nil
	case errors.Is(err, storage.ErrNotFound):
		return workload.JobStatus{Phase: workload.Queued}, nil
	case err != nil:
		return none, err
	}
	p, err := wire.DecodeProgress(row.Value)
	if cancelled && !p.Phase.Final() {
		p.Phase = workload.Cancelled
	}
	return workload.JobStatus{Phase: p.Phase, Failure: p.Failure}, err
}

// Cancel implements jobapi.Handler.
func (h *jobHandler) Cancel(ctx context.Context, q workload.Queue, id workload.JobID) error {
	status, err := h.Status(ctx, q, id)
	if err != nil {
		return err
	}
	if status.Phase.Final() {
		return nil
	}
	key := cancelKey(id)
	if err := h.persist(ctx, table.Txn{Checks: []table.Check{{Key: key}}, Puts: []table.Put{{Key: key, Value: []byte{1}}}}); err != nil {
		if errors.Is(err, jobapi.ErrNotAccepted) {
			// ErrNotAccepted is defined for the submission of a job.
			return fmt.Errorf("%w: %w", jobapi.ErrOutcomeUnknown, err)
		}
		return err
	}
	event.Log(h.log, event.JobCancelStored, log.Fields{"job": string(id)})
	h.notifyController(ctx, func(r actor.Reply[bool]) any { return &cancelStored{id, q.Name, r} })
	return nil
}

// QueueLength implements jobapi.Handler.
func (h *jobHandler) QueueLength(ctx context.Context, q workload.Queue) (int, error) {
	n, err := actor.Ask(ctx, h.controller.address, func(r actor.Reply[int]) any { return &queueLengthQuery{q.Name, r} })
	if err != nil {
		return 0, fmt.Errorf("%w: %w", jobapi.ErrOutcomeUnknown, err)
	}
	return n, nil
}
