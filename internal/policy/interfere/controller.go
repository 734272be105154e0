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
	CPULimitPercent int // present throttle; 100 is none
	YieldRank       int // index of the first yields-first selector that matches
	LostWork        time.Duration
	Protected       bool // urgent work: throttled last and never stopped
	Stopping        bool // was told to stop; still runs
}

// Host is a worker with a service and batch tasks.
type Host struct {
	Worker   model.WorkerID
	CPU      model.MilliCPU // capacity
	Services []ServiceLoad
	Tasks    []Task
}

// Step is what to do with a task.
type Step uint8

// Steps, from mild to severe.
const (
	StepThrottle       Step = iota // limit to Percent; 100 removes the limit
	StepCheckpointStop             // checkpoint, commit, stop
)

// Action is one step for one task.
type Action struct {
	Attempt         model.AttemptID
	Step            Step
	CPULimitPercent int
	Reason          string
}

// Options of a controller. Zero values take the defaults.
type Options struct {
	// Confidence is the number of standard deviations of the bound that a
	// prediction must keep below the target at first. It then follows the
	// missed windows.
	Confidence float64
	RelaxAfter time.Duration // a limit is raised after so long without need
	StopAfter  time.Duration // a task is stopped after so long at its lowest limit
}

const (
	defaultConfidence = 2
	defaultRelaxAfter = time.Second
	// missedWindows is the part of a service class's windows that may miss the
	// target; with three classes a host stays below 1%.
	maxMissedShare = 0.005
	confidenceGain = 0.2
	minConfidence  = 1
	maxConfidence  = 4
	// defaultStopAfter covers two reports that lag by 10 s each.
	defaultStopAfter = 30 * time.Second
	minLimitPercent  = 5
	limitStepPercent = 5
	// relaxMargin keeps a limit from swinging: it is raised only if the
	// prediction then still is this much below the target.
	raiseMargin = 0.01
	// leastHarm is the effect up to which a batch class is left alone: less
	// than 10% of the latency with the whole host at full load.
	maxHarmless = 0.1
	// offsetGain is how fast a host's own offset follows its residuals.
	offsetGain = 0.05
	maxOffset  = 0.5
)

// Controller decides for the hosts of one cell. It has one owner.
type Controller struct {
	opts        Options
	learner     *Learner
	hosts       map[model.WorkerID]*hostState
	confidences map[ServiceClass]float64 // confidence in standard deviations
}

type hostState struct {
	loads             map[ServiceClass]*loadTracker
	offsets           map[ServiceClass]float64 // how far the host is from the model
	history           history
	raisableSince     time.Duration // since when every limit could be raised; 0: not now
	insufficientSince time.Duration // since when throttling is not enough; 0: it is
}

// New returns a controller that has learned nothing.
func New(opts Options) *Controller {
	opts.Confidence = cmp.Or(opts.Confidence, defaultConfidence)
	opts.RelaxAfter = cmp.Or(opts.RelaxAfter, defaultRelaxAfter)
	opts.StopAfter = cmp.Or(opts.StopAfter, defaultStopAfter)
	return &Controller{opts: opts, learner: NewLearner(), hosts: map[model.WorkerID]*hostState{}, confidences: map[ServiceClass]float64{}}
}

// Learner gives read access to the effects.
func (c *Controller) Learner() *Learner { return c.learner }

func (c *Controller) host(id model.WorkerID) *hostState {
	h := c.hosts[id]
	if h == nil {
		h = &hostState{loads: map[ServiceClass]*loadTracker{}, offsets: map[ServiceClass]float64{}}
		c.hosts[id] = h
	}
	return h
}

// Remove forgets a worker; the effects stay.
func (c *Controller) Remove(id model.WorkerID) { delete(c.hosts, id) }

// Decide returns the steps for the tasks of a host, none when all may stay as
// they are. The exposure that it sees is what later reports are compared
// with, so it is called at least once a second while tasks run.
func (c *Controller) Decide(now time.Duration, h Host) []Action {
	state := c.host(h.Worker)
	decision := decision{controller: c, state: state, host: &h, limits: make([]int, len(h.Tasks))}
	for _, s := range h.Services {
		tracker := state.loads[s.Service]
		if tracker == nil {
			tracker = &loadTracker{}
			state.loads[s.Service] = tracker
		}
		decision.loads = append(decision.loads, tracker.update(now, s.Forecast()))
	}
	for i, t := range h.Tasks {
		decision.limits[i] = cmp.Or(t.CPULimitPercent, 100)
	}
	state.history.add(now, &h, decision.exposure())
	sufficient := decision.chooseTargets()
	actions := append(decision.applyTargets(now), decision.stopVictim(now, sufficient)...)
	return actions
}

// Admit returns the limit in percent with which a task of a class may start
// on a host without a service missing its target.
func (c *Controller) Admit(h Host, t Task) int {
	if c.MaxCoefficient(h.Services, t.Class) <= maxHarmless {
		return 100
	}
	h.Tasks = append(slices.Clone(h.Tasks), t)
	state := c.host(h.Worker)
	decision := decision{controller: c, state: state, host: &h, limits: make([]int, len(h.Tasks))}
	for _, s := range h.Services {
		load := s.Forecast()
		if tracker := state.loads[s.Service]; tracker != nil {
			load = max(load, tracker.value)
		}
		decision.loads = append(decision.loads, load)
	}
	last := len(h.Tasks) - 1
	for i, t := range h.Tasks {
		decision.limits[i] = cmp.Or(t.CPULimitPercent, 100)
	}
	for decision.limits[last] = 100; decision.limits[last] > minLimitPercent && decision.upperBound() > 0; {
		decision.limits[last] -= limitStepPercent
	}
	return decision.limits[last]
}

// bound returns the confidence for a service class.
func (c *Controller) confidence(s ServiceClass) float64 {
	if confidence, ok := c.confidences[s]; ok {
		return confidence
	}
	return c.opts.Confidence
}

// calibrate moves the confidence so that the windows that miss the target
// become as many as may: the deviation alone does not cover what the model
// does not know.
func (c *Controller) calibrate(s ServiceClass, missed bool) {
	confidence := c.confidence(s) - confidenceGain*maxMissedShare
	if missed {
		confidence += confidenceGain
	}
	c.confidences[s] = max(minConfidence, min(maxConfidence, confidence))
}

// MaxCoefficient returns the greatest mean effect of a batch class on the services, 0
// if it harms none.
func (c *Controller) MaxCoefficient(services []ServiceLoad, class model.Class) float64 {
	highest := 0.0
	for _, s := range services {
		highest = max(highest, c.learner.Coefficient(s.Service, class).Mean)
	}
	return highest
}
