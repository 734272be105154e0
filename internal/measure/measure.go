package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Deployment describes the hosts of one organisation and its backend servers.
type Deployment struct {
	Name     string
	Service  model.Service
	Workers  []model.Worker
	Reserved model.Resources // set aside on each worker for its backend server
	Slots    int             // concurrent requests of each backend server
}

const (
	workersPerDeployment = 11
	rackSize             = 3
	slotsPerServer       = 8
	gigabyte             = 1_000_000_000
)

// Nilegate returns the deployment of Nilegate Learning Services.
func Nilegate() Deployment {
	return newDeployment("nilegate", "permit-desk", hostSize(32, 125), "cairo-nasr", "cairo-maadi", "cairo-giza")
}

// Wick returns the deployment of Wickramasinghe Wick & Braid.
func Wick() Deployment {
	return newDeployment("wick", "wick-orders", hostSize(16, 60), "dip-shed", "braid-hall", "dye-yard")
}

func hostSize(cores, gigabytes int64) model.Resources {
	return model.Resources{CPU: model.MilliCPU(cores * 1000), Memory: model.Bytes(gigabytes * gigabyte)}
}

// newDeployment returns a deployment whose racks are spread over the data
// centres in turn.
func newDeployment(name string, service model.Service, size model.Resources, centres ...model.DataCentre) Deployment {
	d := Deployment{Name: name, Service: service, Slots: slotsPerServer,
		// A quarter of a core for each slot, and a sixteenth of the memory.
		Reserved: model.Resources{CPU: slotsPerServer * 250, Memory: size.Memory / 16}}
	for i := range workersPerDeployment {
		rack := i / rackSize
		d.Workers = append(d.Workers, model.Worker{
			ID: model.WorkerID(fmt.Sprintf("%s-%02d", name, i)), Capacity: size,
			Rack: model.Rack(fmt.Sprintf("rack-%d", rack)), DataCentre: centres[rack%len(centres)]})
	}
	return d
}

// Cell returns a cell of the target deployment: n workers in one data centre, in
// racks of 30. A quarter of the workers have 8 accelerators.
func Cell(n int) Deployment {
	d := Deployment{Name: "target", Service: "service", Slots: slotsPerServer}
	for i := range n {
		size := hostSize(32, 125)
		if i%4 == 0 {
			size.Accelerators = 8
		}
		d.Workers = append(d.Workers, model.Worker{
			ID: model.WorkerID(fmt.Sprintf("target-%04d", i)), Capacity: size,
			Rack: model.Rack(fmt.Sprintf("rack-%d", i/30)), DataCentre: "target-dc"})
	}
	return d
}

// Job is a batch job with its actual run time, which is hidden from the
// policies.
type Job struct {
	Spec    model.JobSpec
	Runtime time.Duration
}

// Mix generates random batch jobs.
type Mix struct {
	rng    *rand.Rand
	lastID int
	worker model.Resources
}

// NewMix returns a mix for workers of the given capacity. Job sizes are
// log-uniform between 1/32 and 1/2 of a worker, and the shares of processors
// and memory differ by up to a factor of 2. Run times are log-normal with a
// median of 60 s; 1% of the jobs are stragglers that run for 50 times the
// median.
func NewMix(seed uint64, worker model.Resources) *Mix {
	return &Mix{rng: rand.New(rand.NewPCG(seed, 7)), worker: worker}
}

// Classes and Teams are those of the jobs of a Mix.
var (
	Classes = []model.Class{"spool", "dye", "braid", "roster", "audit", "index"}
	Teams   = []model.Team{"wick", "braid", "permits", "records"}
)

// Job generates the next job.
func (m *Mix) Job() Job {
	m.lastID++
	fraction := math.Exp2(-1 - 4*m.rng.Float64())    // 1/2 to 1/32
	memoryFactor := math.Exp2(m.rng.Float64()*2 - 1) // share of memory relative to that of processors
	runtime := 60 * math.Exp(0.7*m.rng.NormFloat64())
	if m.rng.IntN(100) == 0 {
		runtime = 60 * 50
	}
	size := model.Resources{
		CPU:    model.MilliCPU(fraction * float64(m.worker.CPU)),
		Memory: model.Bytes(min(0.5, fraction*memoryFactor) * float64(m.worker.Memory)),
	}
	return Job{Spec: model.JobSpec{
		ID: model.JobID(fmt.Sprintf("job-%06d", m.lastID)), Team: Teams[m.rng.IntN(len(Teams))],
		Class: Classes[m.rng.IntN(len(Classes))], Resources: size,
	}, Runtime: time.Duration(runtime * float64(time.Second))}
}
