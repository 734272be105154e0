package jobs

import (
	"slices"
	"sort"

	"github.com/bambooscale/bambooscale/internal/workload"
)

// charge adds a run to the host and its task.
func (h *host) charge(t *task, id workload.RunID) *run {
	r := &run{id: id, task: t, host: h, state: runChart.Initial(), orderedAt: h.core.now}
	h.runs[id] = r
	r.count()
	t.runs = append(t.runs, r)
	h.adjustUsage(t.step, 1)
	h.schedule()
	return r
}

// uncharge removes a run from the host.
func (h *host) uncharge(r *run) {
	if _, ok := h.runs[r.id]; !ok {
		return
	}
	delete(h.runs, r.id)
	r.uncount()
	delete(h.core.throttled, r)
	h.adjustUsage(r.task.step, -1)
	h.schedule()
	h.improve()
}

// servingGroup is the serving tasks of one job with one image.
type servingGroup struct {
	job   *job
	image string
}

// bestEffortUse is the sum of the best-effort runs of one image on a host.
type bestEffortUse struct {
	image    string
	runs     int
	milliCPU int64 // declared
}

// adjustUsage adds a run of step s to the host's usage, or subtracts it if sign
// is -1.
func (h *host) adjustUsage(s *step, sign int) {
	spec, n := s.spec, int64(sign)
	c := spec.Charge()
	h.used.MilliCPU += n * c.MilliCPU
	h.used.MemoryMB += n * c.MemoryMB
	h.used.Accelerators += n * c.Accelerators
	adjustCount(h.runsByStep, s, sign)
	if spec.BestEffort {
		h.bestEffortCPU += n * spec.Need.MilliCPU
		h.adjustBestEffort(spec, sign)
	}
	if spec.Serves() {
		h.servingRuns += sign
		adjustCount(h.servingByImage, spec.Image, sign)
		adjustCount(h.servingByGroup, servingGroup{s.job, spec.Image}, sign)
	}
}

// adjustBestEffort adds a best-effort run to the use of its image, or subtracts it
// if sign is -1.
func (h *host) adjustBestEffort(spec *workload.Step, sign int) {
	i := sort.Search(len(h.bestEffortByImage), func(i int) bool { return h.bestEffortByImage[i].image >= spec.Image })
	if i == len(h.bestEffortByImage) || h.bestEffortByImage[i].image != spec.Image {
		h.bestEffortByImage = slices.Insert(h.bestEffortByImage, i, bestEffortUse{image: spec.Image})
	}
	u := &h.bestEffortByImage[i]
	u.runs += sign
	u.milliCPU += int64(sign) * spec.Need.MilliCPU
	if u.runs == 0 {
		h.bestEffortByImage = slices.Delete(h.bestEffortByImage, i, i+1)
	}
}

// adjustCount adds n to a count, and deletes a count of zero.
func adjustCount[K comparable](counts map[K]int, key K, n int) {
	if counts[key] += n; counts[key] == 0 {
		delete(counts, key)
	}
}
