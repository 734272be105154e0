package workload

import (
	"errors"
	"fmt"
	"strings"
)

// MaxSpecificationBytes is the maximum length of a job's specification.
const MaxSpecificationBytes = 4000

// MaxTasks is the maximum number of tasks of a job. The owner of the jobs keeps
// each task in memory.
const MaxTasks = 100_000

// ErrUnsupported is wrapped by the errors for jobs that are well formed but use
// a feature that this version does not implement.
var ErrUnsupported = errors.New("not supported")

// Validate checks a submitted job. The error joins every violation.
func (j *Job) Validate() error {
	var found []error
	if !validJobID(string(j.ID)) {
		found = append(found, fmt.Errorf("job id %q is not 16 hexadecimal digits", j.ID))
	}
	if len(j.Specification) > MaxSpecificationBytes {
		found = append(found, fmt.Errorf("specification has %d bytes, the limit is %d", len(j.Specification), MaxSpecificationBytes))
	}
	if err := j.ValidateSteps(); err != nil {
		found = append(found, err)
	}
	if j.Repetitions > 0 {
		found = append(found, fmt.Errorf("repetitions: %w", ErrUnsupported))
	}
	return errors.Join(found...)
}

// TaskCount returns the number of tasks of the job.
func (j *Job) TaskCount() int {
	n := 0
	for i := range j.Steps {
		n += j.Steps[i].Count
	}
	return n
}

// ValidateSteps checks the steps of a job, on whose order and numbers the owner of the
// jobs relies. The error joins every violation.
func (j *Job) ValidateSteps() error {
	var found []error
	if len(j.Steps) == 0 {
		found = append(found, errors.New("job has no steps"))
	}
	tasks := 0
	for i := range j.Steps {
		found = append(found, j.Steps[i].validate(i)...)
		tasks += min(max(j.Steps[i].Count, 0), MaxTasks+1)
	}
	if tasks > MaxTasks {
		found = append(found, fmt.Errorf("job has more than %d tasks", MaxTasks))
	}
	return errors.Join(found...)
}

func (s *Step) validate(i int) []error {
	var found []error
	if s.Count <= 0 {
		found = append(found, fmt.Errorf("step %d: count %d is not positive", i, s.Count))
	}
	for _, a := range s.After {
		if a < 0 || a >= i {
			found = append(found, fmt.Errorf("step %d: after names step %d, which is not an earlier step", i, a))
		}
	}
	if s.Need.MilliCPU < 0 || s.Need.MemoryMB < 0 || s.Need.Accelerators < 0 {
		found = append(found, fmt.Errorf("step %d: a required resource is negative", i))
	}
	if s.Gang {
		found = append(found, fmt.Errorf("step %d: gang: %w", i, ErrUnsupported))
	}
	return found
}

func validJobID(id string) bool {
	return len(id) == 16 && strings.Trim(id, "0123456789abcdefABCDEF") == ""
}
