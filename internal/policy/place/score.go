package place

import "github.com/bambooscale/bambooscale/internal/model"

// Weights of the score. The fit decides between workers unless their domains
// hold clearly different shares of the tasks of the job's class.
const (
	balanceWeight = 0.5
	rackWeight    = 0.3
	centreWeight  = 0.15
	// An accelerator that stays idle because its host has no free processors
	// is the most expensive waste, so jobs that need no accelerator prefer
	// other hosts.
	acceleratorWeight = 2.0
)

// cost returns the score of a worker for a job; lower is better. It is the
// best fit over processors, memory and accelerators, with a preference for a
// balanced remainder and for racks and data centres that run few tasks of the
// job's class.
func (v *view) cost(d *domains, class int, size model.Resources) float64 {
	remaining := v.available().Sub(size)
	cpu := fraction(int64(remaining.CPU), int64(v.capacity.CPU))
	memory := fraction(int64(remaining.Memory), int64(v.capacity.Memory))
	cost := (cpu+memory)/2 + balanceWeight*max(cpu-memory, memory-cpu)
	cost += acceleratorWeight * fraction(remaining.Accelerators, v.capacity.Accelerators)
	return cost + rackWeight*d.share(class, v.rack) + centreWeight*d.share(class, v.dataCentre)
}

// fraction returns n/of, or 0 if of is not positive.
func fraction(n, of int64) float64 {
	if of <= 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// dominantShare returns the largest share that amount has of any resource of
// a whole.
func dominantShare(amount, of model.Resources) float64 {
	return max(fraction(int64(amount.CPU), int64(of.CPU)), fraction(int64(amount.Memory), int64(of.Memory)),
		fraction(amount.Accelerators, of.Accelerators))
}
