package interfere

import (
	"cmp"
	"slices"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Task is a batch task on a host.
type Task struct {
	Attempt         model.AttemptID
	Class           model.Class
	CPU             model.MilliCPU
	CPULimitPercent int           // present limit in percent of CPU; 100 and 0 are no limit
	YieldRank       int           // index of the first yields-first selector that matches
	LostWork        time.Duration // work that stopping the task now would lose
	Protected       bool          // urgent: throttled last and never stopped
	Stopping        bool          // a stop was requested, but the task still runs
}

// Host is the present state of a worker with its services and batch tasks.
type Host struct {
	Worker   model.WorkerID
	CPU      model.MilliCPU // capacity
	Services []ServiceLoad
	Tasks    []Task
}

// Step is a kind of action on a task.
type Step uint8

// Steps, from mild to severe.
const (
	StepThrottle       Step = iota // set the limit to CPULimitPercent; 100 removes it
	StepCheckpointStop             // write a checkpoint, commit it and stop the task
)

// Action is a step for one task. CPULimitPercent applies to StepThrottle.
type Action struct {
	Attempt         model.AttemptID
	Step            Step
	CPULimitPercent int
	Reason          string
}

// Options holds the parameters of a controller. Fields that are 0 take their
// defaults.
type Options struct {
	// Confidence is the initial number of standard deviations by which a
	// prediction must stay below the target; default 2. The controller then
	// adjusts it to the share of windows that miss a target.
	Confidence float64
	RelaxAfter time.Duration // time for which a limit must be unnecessary before it is raised; default 1 s
	StopAfter  time.Duration // time for which the lowest limits must be insufficient before a task is stopped; default 30 s
}

const (
	defaultConfidence = 2
	defaultRelaxAfter = time.Second
	// maxMissedShare is the share of a host's windows in which a service may
	// miss the target of any of its classes. Misses of a surge come together on
	// all hosts before they are reported, so it is well below the allowed 1%.
	maxMissedShare = 0.006
	// confidenceGain is added to the confidence for a window that misses a
	// target. Each window subtracts confidenceGain*maxMissedShare.
	confidenceGain = 0.1
	minConfidence  = 1
	maxConfidence  = 4
	// defaultStopAfter covers two reports that lag by 10 s each.
	defaultStopAfter = 30 * time.Second
	minLimitPercent  = 5
	limitStepPercent = 5
	// maxHarmlessCoefficient is the coefficient up to which a batch class is not
	// throttled. It adds about 10% to the latency when the class has the whole
	// host at full load.
	maxHarmlessCoefficient = 0.1
	// offsetGain is the weight of a new residual in a host's offset, and
	// maxOffset the limit of the offset's magnitude.
	offsetGain = 0.05
	maxOffset  = 0.5
)

// Controller decides for the hosts of one cell. It is not safe for concurrent
// use.
type Controller struct {
	opts        Options
	learner     *Learner
	hosts       map[model.WorkerID]*hostState
	confidences map[model.Service]float64 // in standard deviations
}

// hostState is what a controller keeps for a host.
type hostState struct {
	loads             map[ServiceClass]*loadTracker
	offsets           map[ServiceClass]float64 // smoothed residuals: the host's difference from the model
	history           history
	windows           map[model.Service]countedWindow // the newest window of each service
	raisableSince     time.Duration                   // when limits became raisable; 0 if none is
	insufficientSince time.Duration                   // when the lowest limits became insufficient; 0 if they suffice
}

// countedWindow is a window that the confidence was adjusted for.
type countedWindow struct {
	to     time.Duration
	missed bool // a class missed its target
}

// New returns a controller without samples.
func New(opts Options) *Controller {
	opts.Confidence = cmp.Or(opts.Confidence, defaultConfidence)
	opts.RelaxAfter = cmp.Or(opts.RelaxAfter, defaultRelaxAfter)
	opts.StopAfter = cmp.Or(opts.StopAfter, defaultStopAfter)
	return &Controller{opts: opts, learner: NewLearner(), hosts: map[model.WorkerID]*hostState{}, confidences: map[model.Service]float64{}}
}

// Learner returns the learner, from which the caller may read coefficients.
func (c *Controller) Learner() *Learner { return c.learner }

// host returns the state of a host, a new one if necessary.
func (c *Controller) host(id model.WorkerID) *hostState {
	h := c.hosts[id]
	if h == nil {
		h = &hostState{loads: map[ServiceClass]*loadTracker{}, offsets: map[ServiceClass]float64{}, windows: map[model.Service]countedWindow{}}
		c.hosts[id] = h
	}
	return h
}

// Remove deletes the state of a worker. The coefficients stay.
func (c *Controller) Remove(id model.WorkerID) { delete(c.hosts, id) }

// Decide returns the actions for the tasks of a host. It also records the
// exposure and load with which later reports are compared, so it must be
// called at least once a second while tasks run.
func (c *Controller) Decide(now time.Duration, h Host) []Action {
	state := c.host(h.Worker)
	d := decision{controller: c, state: state, host: &h, limits: make([]int, len(h.Tasks))}
	for _, s := range h.Services {
		tracker := state.loads[s.Service]
		if tracker == nil {
			tracker = &loadTracker{}
			state.loads[s.Service] = tracker
		}
		d.loads = append(d.loads, tracker.update(now, s.Forecast()))
	}
	for i, t := range h.Tasks {
		d.limits[i] = cmp.Or(t.CPULimitPercent, 100)
	}
	state.history.add(now, &h, d.exposure())
	sufficient := d.chooseTargets()
	actions := append(d.applyTargets(now), d.stopVictim(now, sufficient)...)
	return actions
}

// Admit returns the highest limit in percent with which a task may start on a
// host so that the services are predicted to meet their targets, or
// minLimitPercent if none is low enough. A harmless task gets 100.
func (c *Controller) Admit(h Host, t Task) int {
	if c.MaxCoefficient(h.Services, t.Class) <= maxHarmlessCoefficient {
		return 100
	}
	h.Tasks = append(slices.Clone(h.Tasks), t)
	state := c.host(h.Worker)
	d := decision{controller: c, state: state, host: &h, limits: make([]int, len(h.Tasks))}
	for _, s := range h.Services {
		load := s.Forecast()
		if tracker := state.loads[s.Service]; tracker != nil {
			load = max(load, tracker.value)
		}
		d.loads = append(d.loads, load)
	}
	last := len(h.Tasks) - 1
	for i, t := range h.Tasks {
		d.limits[i] = cmp.Or(t.CPULimitPercent, 100)
	}
	for d.limits[last] = 100; d.limits[last] > minLimitPercent && d.upperBound() > 0; {
		d.limits[last] -= limitStepPercent
	}
	return d.limits[last]
}

// confidence returns the number of standard deviations by which a prediction
// for a service class must stay below the target.
func (c *Controller) confidence(s ServiceClass) float64 {
	if confidence, ok := c.confidences[s.Service]; ok {
		return confidence
	}
	return c.opts.Confidence
}

// calibrate adjusts the confidence so that the share of windows in which a
// service misses a target approaches maxMissedShare. The deviation of a
// prediction alone does not cover the errors of the model. The reports of a
// service's classes on the same window count once, because a window with
// several misses is one missed window and classes miss in different windows.
func (c *Controller) calibrate(state *hostState, r Report) {
	window, counted := state.windows[r.Service.Service]
	confidence := c.confidence(r.Service)
	if middle := r.From + (r.To-r.From)/2; !counted || middle >= window.to {
		window = countedWindow{to: r.To}
		confidence -= confidenceGain * maxMissedShare
	}
	if r.P99 > r.Target && !window.missed {
		window.missed = true
		confidence += confidenceGain
	}
	state.windows[r.Service.Service] = window
	c.confidences[r.Service.Service] = max(minConfidence, min(maxConfidence, confidence))
}

// MaxCoefficient returns the largest mean coefficient of a batch class for the
// services, or 0 if none is positive.
func (c *Controller) MaxCoefficient(services []ServiceLoad, class model.Class) float64 {
	highest := 0.0
	for _, s := range services {
		highest = max(highest, c.learner.Coefficient(s.Service, class).Mean)
	}
	return highest
}
