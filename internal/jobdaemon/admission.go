package jobdaemon

import (
	"context"
	"errors"
	"fmt"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/jobapi"
	"github.com/bambooscale/bambooscale/internal/storage"
	"github.com/bambooscale/bambooscale/internal/workload"
)

const (
	// heldTaskBytes is the memory of a running task at the owner of the jobs. One that
	// waits takes a third of it.
	heldTaskBytes = 700
	// heldTaskShare is the part of an entry's memory that tasks may take: one third, since
	// the garbage collector needs as much again.
	heldTaskShare = 3
)

// maxHeldTasks returns how many tasks of jobs that have not ended the owner can hold on a
// host with memory bytes. 0: the memory is not known, and the tasks are not bounded.
func maxHeldTasks(memory int64) int { return int(memory / heldTaskShare / heldTaskBytes) }

// admissions are the submissions that this entry is storing. Any entry may become the owner
// of the jobs and has to hold the tasks of all that were accepted.
type admissions struct {
	limit int                    // of tasks; 0: none
	tasks map[workload.JobID]int // of the submissions that are being stored
	sum   int                    // of tasks
}

// begin counts the tasks of a submission.
func (a *admissions) begin(id workload.JobID, tasks int) {
	if _, counted := a.tasks[id]; !counted {
		a.tasks[id] = tasks
		a.sum += tasks
	}
}

// end stops counting the tasks of a submission, if they are counted.
func (a *admissions) end(id workload.JobID) {
	a.sum -= a.tasks[id]
	delete(a.tasks, id)
}

// Messages of a jobHandler to the controller.
type (
	admissionRequest struct {
		id    workload.JobID
		tasks int
		reply actor.Reply[admissionAnswer]
	}
	admissionAnswer uint8
	admissionEnded  struct{ id workload.JobID }
)

// Answers to an admissionRequest.
const (
	admitted     admissionAnswer = iota // its tasks can be held; admissionEnded follows
	knownJob                            // the job was submitted before
	tooManyTasks                        // its tasks cannot be held beside the others
)

// admissionRequest answers a submission that a caller makes at this entry.
func (c *controller) admissionRequest(m *admissionRequest) {
	a := &c.admissions
	_, known := c.phases.status(m.id, c.now())
	switch {
	case known:
		m.reply.Put(knownJob)
	case a.limit > 0 && c.phases.tasks+a.sum+m.tasks > a.limit:
		m.reply.Put(tooManyTasks)
	default:
		a.begin(m.id, m.tasks)
		m.reply.Put(admitted)
	}
}

// admit asks whether a submission may be stored. If it may, the caller calls end when it was
// stored, or will not be. It may not if it is stored already, or with the error
// ErrNotAccepted if its tasks cannot be held.
func (h *jobHandler) admit(ctx context.Context, j *workload.Job) (may bool, err error) {
	tasks := j.TaskCount()
	answer, err := actor.Ask(ctx, h.controller.address, func(r actor.Reply[admissionAnswer]) any { return &admissionRequest{j.ID, tasks, r} })
	switch {
	case err != nil:
		return false, fmt.Errorf("%w: %w", jobapi.ErrNotAccepted, err)
	case answer != tooManyTasks:
		return answer == admitted, nil
	}
	// An earlier submission of the job may be stored that this entry does not know.
	switch _, err := h.controller.storeProxy.read(ctx, jobKey(j.ID)); {
	case err == nil:
		return false, nil
	case errors.Is(err, storage.ErrNotFound):
		return false, fmt.Errorf("%w: it has %d tasks, and with those of all jobs that have not ended they exceed %d", jobapi.ErrNotAccepted, tasks, h.controller.maxTasks)
	default:
		return false, fmt.Errorf("%w: %w", jobapi.ErrOutcomeUnknown, err)
	}
}

// endAdmission ends the admission of a submission that was not stored, or of which that is
// not known. One that was stored ends with jobStored, which counts the job as held.
func (h *jobHandler) endAdmission(ctx context.Context, id workload.JobID) {
	// An error means that the process ends. The end of the request must not lose the message.
	_ = h.controller.address.Send(context.WithoutCancel(ctx), &admissionEnded{id})
}
