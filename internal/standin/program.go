package standin

import (
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Program describes what a simulated task does. Its text form is a list of
// statements separated by semicolons, in any order, each at most once:
//
//	sleep DURATION    run time at full speed, such as 300ms; default 0
//	steps N           a checkpoint holds the number of complete steps out of N
//	                  of equal length; default 1
//	autosave          write a checkpoint after each step, not only on request
//	fail              fail after the run time
//	fail N            fail when step N is complete
//	usage cpu=MILLI memory=BYTES accelerators=N
//	                  actual consumption where it differs from the declared
//	                  resources
//	result TEXT       content of the result; default is the task's id
//
// A task with an empty program ends at once.
type Program struct {
	Sleep    time.Duration
	Steps    int
	Autosave bool
	Fails    bool
	FailStep int // used if Fails
	Usage    model.Resources
	Result   string

	usageGiven [3]bool // whether Usage holds CPU, memory, accelerators
}

// ParseProgram parses the text form of a program.
func ParseProgram(text string) (Program, error) {
	p := Program{Steps: 1, FailStep: -1}
	seen := map[string]bool{}
	for _, statement := range strings.Split(text, ";") {
		word, rest, _ := strings.Cut(strings.TrimSpace(statement), " ")
		if word == "" {
			continue
		}
		if seen[word] {
			return p, errors.Newf("program %q: statement %q is given twice", text, word)
		}
		seen[word] = true
		if err := p.parseStatement(word, strings.TrimSpace(rest)); err != nil {
			return p, errors.Wrapf(err, "program %q: statement %q", text, word)
		}
	}
	if p.FailStep < 0 {
		p.FailStep = p.Steps
	}
	if p.Fails && p.FailStep > p.Steps {
		return p, errors.Newf("program %q: step %d does not exist", text, p.FailStep)
	}
	return p, nil
}

func (p *Program) parseStatement(word, rest string) (err error) {
	switch word {
	case "sleep":
		if p.Sleep, err = time.ParseDuration(rest); err == nil && p.Sleep < 0 {
			err = errors.New("negative duration")
		}
	case "steps":
		if p.Steps, err = strconv.Atoi(rest); err == nil && p.Steps < 1 {
			err = errors.New("at least one step is needed")
		}
	case "autosave":
		p.Autosave = true
	case "fail":
		p.Fails = true
		if rest != "" {
			p.FailStep, err = strconv.Atoi(rest)
		}
	case "usage":
		err = p.parseUsage(rest)
	case "result":
		p.Result = rest
	default:
		err = errors.New("unknown statement")
	}
	return err
}

func (p *Program) parseUsage(text string) error {
	for _, field := range strings.Fields(text) {
		name, value, _ := strings.Cut(field, "=")
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return err
		}
		switch name {
		case "cpu":
			p.Usage.CPU, p.usageGiven[0] = model.MilliCPU(n), true
		case "memory":
			p.Usage.Memory, p.usageGiven[1] = model.Bytes(n), true
		case "accelerators":
			p.Usage.Accelerators, p.usageGiven[2] = n, true
		default:
			return errors.Newf("unknown resource %q", name)
		}
	}
	return nil
}

// fullSpeedUsage returns the consumption of a task that runs at full speed and
// declares the given resources.
func (p *Program) fullSpeedUsage(declared model.Resources) model.Resources {
	r := declared
	if p.usageGiven[0] {
		r.CPU = p.Usage.CPU
	}
	if p.usageGiven[1] {
		r.Memory = p.Usage.Memory
	}
	if p.usageGiven[2] {
		r.Accelerators = p.Usage.Accelerators
	}
	return r
}

// runTimeTo returns the run time at full speed from the start of the program to
// the end of a step.
func (p *Program) runTimeTo(step int) time.Duration {
	return time.Duration(int64(p.Sleep) / int64(p.Steps) * int64(step))
}

// completedSteps returns the number of steps that are complete after a run time
// at full speed.
func (p *Program) completedSteps(ran time.Duration) int {
	length := int64(p.Sleep) / int64(p.Steps)
	if length == 0 {
		return p.Steps
	}
	return min(int(int64(ran)/length), p.Steps)
}

// totalRunTime returns the run time at full speed after which the program
// succeeds or fails.
func (p *Program) totalRunTime() time.Duration {
	if p.Fails {
		return p.runTimeTo(p.FailStep)
	}
	return p.runTimeTo(p.Steps)
}
