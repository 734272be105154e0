// Package measure holds the synthetic inputs that the measurements share: the
// two deployments of docs/design.md section 1 and seeded batch jobs for them.
// Equal seeds give equal inputs.
package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Deployment is the hardware of one organisation.
type Deployment struct {
	Name     string
	Service  model.Service
	Workers  []model.Worker
	Reserved model.Resources // of each worker's backend server
	Slots    int             // of each backend server
}

const (
	workersToday = 11
	rackSize     = 3
	slotsToday   = 8
	gigabyte     = 1_000_000_000
)

// Nilegate returns the deployment of Nilegate Learning Services.
func Nilegate() Deployment {
	return today("nilegate", "permit-desk", host(32, 125), "cairo-nasr", "cairo-maadi", "cairo-giza")
}

// Wick returns the deployment of Wickramasinghe Wick & Braid.
func Wick() Deployment {
	return today("wick", "wick-orders", host(16, 60), "dip-shed", "braid-hall", "dye-yard")
}

func host(cores, gigabytes int64) model.Resources {
	return model.Resources{CPU: model.MilliCPU(cores * 1000), Memory: model.Bytes(gigabytes * gigabyte)}
}

func today(name string, service model.Service, size model.Resources, centres ...model.DataCentre) Deployment {
	d := Deployment{Name: name, Service: service, Slots: slotsToday,
		// A quarter of a core for each slot, and a sixteenth of the memory.
		Reserved: model.Resources{CPU: slotsToday * 250, Memory: size.Memory / 16}}
	for i := range workersToday {
		rack := i / rackSize
		d.Workers = append(d.Workers, model.Worker{
			ID: model.WorkerID(fmt.Sprintf("%s-%02d", name, i)), Capacity: size,
			Rack: model.Rack(fmt.Sprintf("rack-%d", rack)), DataCentre: centres[rack%len(centres)]})
	}
	return d
}

// Cell returns a cell of the target size's hardware: n workers in racks of
// 30, a quarter of them with 8 accelerators.
func Cell(n int) Deployment {
	d := Deployment{Name: "target", Service: "service", Slots: slotsToday}
	for i := range n {
		size := host(32, 125)
		if i%4 == 0 {
			size.Accelerators = 8
		}
		d.Workers = append(d.Workers, model.Worker{
			ID: model.WorkerID(fmt.Sprintf("target-%04d", i)), Capacity: size,
			Rack: model.Rack(fmt.Sprintf("rack-%d", i/30)), DataCentre: "target-dc"})
	}
	return d
}

// Job is a batch job with its true run time, which no policy sees.
type Job struct {
	Spec    model.JobSpec
	Runtime time.Duration
}

// Mix draws batch jobs.
type Mix struct {
	rng     *rand.Rand
	next    int
	largest model.Resources
}

// NewMix returns a mix for workers of a size. Sizes are a thirty-second to a
// half of a worker, log-uniform, and processors and memory differ by up to a
// factor of 2; run times are log-normal with a median of 60 s, and one in a
// hundred is a straggler that runs 50 times as long.
func NewMix(seed uint64, worker model.Resources) *Mix {
	return &Mix{rng: rand.New(rand.NewPCG(seed, 7)), largest: worker}
}

// Classes and teams of the mix.
var (
	Classes = []model.Class{"spool", "dye", "braid", "roster", "audit", "index"}
	Teams   = []model.Team{"wick", "braid", "permits", "records"}
)

// Job draws the next job.
func (m *Mix) Job() Job {
	m.next++
	part := math.Exp2(-1 - 4*m.rng.Float64()) // 1/2 to 1/32
	skew := math.Exp2(m.rng.Float64()*2 - 1)  // memory relative to processors
	runtime := 60 * math.Exp(0.7*m.rng.NormFloat64())
	if m.rng.IntN(100) == 0 {
		runtime = 60 * 50
	}
	size := model.Resources{
		CPU:    model.MilliCPU(part * float64(m.largest.CPU)),
		Memory: model.Bytes(min(0.5, part*skew) * float64(m.largest.Memory)),
	}
	return Job{Spec: model.JobSpec{
		ID: model.JobID(fmt.Sprintf("job-%06d", m.next)), Team: Teams[m.rng.IntN(len(Teams))],
		Class: Classes[m.rng.IntN(len(Classes))], Resources: size,
	}, Runtime: time.Duration(runtime * float64(time.Second))}
}
