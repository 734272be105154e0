package jobs

import (
	"sort"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/policy/interfere"
)

// fullLoad stands for the load of a serving task, which is not reported.
const fullLoad = 1

// learn takes what a report of an agent shows of the interference on its
// host. The latencies are those of the time before the report, so they are
// compared with the fillers that the report before listed.
func (h *host) learn(m *msg.RunsProgress) {
	before := h.exposure
	h.exposure = interfere.Exposure{}
	h.strain = 0
	capacity := float64(max(1, h.info.Capacity.MilliCPU))
	for _, s := range m.Runs {
		r, ok := h.runs[s.Run]
		if !ok {
			continue
		}
		spec := r.task.step.spec
		if spec.Filler {
			h.core.images[spec.Image] = true
			h.exposure[model.Class(spec.Image)] += float64(spec.Need.MilliCPU) / capacity * float64(s.Pace) / 100
		}
		if !spec.Serves() || s.Usage <= 0 {
			continue
		}
		h.strain = max(h.strain, float64(s.Usage)/float64(spec.TargetLatency.Milliseconds()))
		if before != nil {
			h.core.learner.Observe(interfere.Sample{
				Service: interfere.ServiceClass{Service: model.Service(spec.Image)},
				P99:     time.Duration(s.Usage) * time.Millisecond, Target: spec.TargetLatency, Load: fullLoad, Exposure: before,
			})
		}
	}
}

// harms lists what is known of the fillers' images, for a host on which both
// kinds of tasks run.
func (h *host) harms() []msg.ImageHarm {
	if h.serving == 0 || h.fillerCPU == 0 {
		return nil
	}
	list := make([]msg.ImageHarm, 0, len(h.core.images))
	for image := range h.core.images {
		list = append(list, msg.ImageHarm{Image: image, Harm: h.core.learner.ClassEffect(model.Class(image))})
	}
	sort.Slice(list, func(i, k int) bool { return list[i].Image < list[k].Image })
	return list
}
