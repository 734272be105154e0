package place

import "github.com/bambooscale/bambooscale/internal/model"

// Weights of the score. Tight packing decides between workers unless their
// domains hold clearly different shares of the job's class.
const (
	balanceWeight = 0.5
	rackWeight    = 0.3
	centreWeight  = 0.15
	// An accelerator that stays idle because processors ran out is the most
	// expensive waste, so work without accelerators avoids its host.
	acceleratorWeight = 2.0
)

// cost rates a worker for a job: lower is better. It is best fit over the
// dimensions, with a preference for a balanced remainder and for domains that
// hold few tasks of the job's class.
func (v *view) cost(d *domains, class int, size model.Resources) float64 {
	remaining := v.available().Sub(size)
	cpu := fraction(int64(remaining.CPU), int64(v.capacity.CPU))
	memory := fraction(int64(remaining.Memory), int64(v.capacity.Memory))
	cost := (cpu+memory)/2 + balanceWeight*max(cpu-memory, memory-cpu)
	cost += acceleratorWeight * fraction(remaining.Accelerators, v.capacity.Accelerators)
	return cost + rackWeight*d.share(class, v.rack) + centreWeight*d.share(class, v.dataCentre)
}

func fraction(n, of int64) float64 {
	if of <= 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// dominant is the largest part of a whole that an amount takes.
func dominantShare(amount, of model.Resources) float64 {
	return max(fraction(int64(amount.CPU), int64(of.CPU)), fraction(int64(amount.Memory), int64(of.Memory)),
		fraction(amount.Accelerators, of.Accelerators))
}
