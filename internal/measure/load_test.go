package measure

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// requestKind describes one kind of request in a mix. Its service time is
// log-normal.
type requestKind struct {
	method, path, tenant string
	share                float64 // fraction of the requests
	median               time.Duration
	sigma                float64 // standard deviation of the logarithm
}

func (k requestKind) mean() float64 { return float64(k.median) * math.Exp(k.sigma*k.sigma/2) }

// permitMix consists of short reads, consent POSTs and grade rosters.
var permitMix = []requestKind{
	{"GET", "/slips/7", "", 0.60, 10 * time.Millisecond, 0.5},
	{"POST", "/consent", "", 0.37, 25 * time.Millisecond, 0.6},
	{"POST", "/roster", "", 0.03, 250 * time.Millisecond, 0.5},
}

// meanOf returns the mean service time of a mix.
func meanOf(mix []requestKind) time.Duration {
	sum := 0.0
	for _, k := range mix {
		sum += k.share * k.mean()
	}
	return time.Duration(sum)
}

// generate returns a load of Poisson arrivals; rate returns the requests per
// second at a time.
func generate(seed uint64, mix []requestKind, length time.Duration, rate func(time.Duration) float64) []arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	var load []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / max(rate(at), 1) * float64(time.Second))
		if at >= length {
			return load
		}
		load = append(load, drawArrival(r, mix, at))
	}
}

func drawArrival(r *rand.Rand, mix []requestKind, at time.Duration) arrival {
	x := r.Float64()
	k := mix[len(mix)-1]
	for _, m := range mix {
		if x -= m.share; x < 0 {
			k = m
			break
		}
	}
	d := time.Duration(float64(k.median) * math.Exp(r.NormFloat64()*k.sigma))
	return arrival{at: at, method: k.method, path: k.path, tenant: k.tenant, service: d}
}

// surge returns a rate of base requests per second that rises linearly to peak
// within 2 s of begin and returns to base at end.
func surge(base, peak float64, begin, end time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		switch {
		case at < begin || at >= end:
			return base
		case at < begin+2*time.Second:
			return base + (peak-base)*float64(at-begin)/float64(2*time.Second)
		}
		return peak
	}
}

// arrivedIn returns the answers to requests that arrived in [from, to).
func arrivedIn(answers []answer, from, to time.Duration) []answer {
	var arrived []answer
	for _, a := range answers {
		if a.at >= from && a.at < to {
			arrived = append(arrived, a)
		}
	}
	return arrived
}

// quantile returns the q-quantile of a value of the answers.
func quantile(answers []answer, q float64, value func(answer) time.Duration) time.Duration {
	if len(answers) == 0 {
		return 0
	}
	values := make([]time.Duration, len(answers))
	for i, a := range answers {
		values[i] = value(a)
	}
	sort.Slice(values, func(i, j int) bool { return values[i] < values[j] })
	return values[min(len(values)-1, int(q*float64(len(values))))]
}

func latencyOf(a answer) time.Duration { return a.latency }

// served returns the answers with status 200.
func served(answers []answer) []answer {
	var answered []answer
	for _, a := range answers {
		if a.status == 200 {
			answered = append(answered, a)
		}
	}
	return answered
}

// share returns the number of answers in part as a fraction of those in whole.
func share(part, whole []answer) float64 { return float64(len(part)) / float64(max(1, len(whole))) }

// mergeLoads returns the requests of both loads in order of arrival.
func mergeLoads(a, b []arrival) []arrival {
	all := append(append([]arrival(nil), a...), b...)
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}

// delayLoad returns a copy of the load that arrives later.
func delayLoad(load []arrival, by time.Duration) []arrival {
	later := make([]arrival, len(load))
	for i, a := range load {
		later[i] = a
		later[i].at += by
	}
	return later
}
