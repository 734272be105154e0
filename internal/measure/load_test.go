package measure

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"
)

// kind is one kind of request in a mix.
type kind struct {
	method, path, tenant string
	share                float64
	median               time.Duration
	sigma                float64 // of the logarithm; the tail grows with it
}

func (k kind) mean() float64 { return float64(k.median) * math.Exp(k.sigma*k.sigma/2) }

// permitMix is short reads, consent POSTs and grade rosters.
var permitMix = []kind{
	{"GET", "/slips/7", "", 0.60, 10 * time.Millisecond, 0.5},
	{"POST", "/consent", "", 0.37, 25 * time.Millisecond, 0.6},
	{"POST", "/roster", "", 0.03, 250 * time.Millisecond, 0.5},
}

func meanOf(mix []kind) time.Duration {
	sum := 0.0
	for _, k := range mix {
		sum += k.share * k.mean()
	}
	return time.Duration(sum)
}

// generate draws a Poisson load whose rate in requests per second is a
// function of time.
func generate(seed uint64, mix []kind, length time.Duration, rate func(time.Duration) float64) []arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	var load []arrival
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() / max(rate(at), 1) * float64(time.Second))
		if at >= length {
			return load
		}
		load = append(load, draw(r, mix, at))
	}
}

func draw(r *rand.Rand, mix []kind, at time.Duration) arrival {
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

// crest is a demand of base requests per second that rises to peak within 2 s
// from begin on and falls back at end.
func crest(base, peak float64, begin, end time.Duration) func(time.Duration) float64 {
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

// window returns the answers to requests that arrived in [from, to).
func window(answers []answer, from, to time.Duration) []answer {
	var list []answer
	for _, a := range answers {
		if a.at >= from && a.at < to {
			list = append(list, a)
		}
	}
	return list
}

func quantile(answers []answer, q float64, of func(answer) time.Duration) time.Duration {
	if len(answers) == 0 {
		return 0
	}
	list := make([]time.Duration, len(answers))
	for i, a := range answers {
		list[i] = of(a)
	}
	sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
	return list[min(len(list)-1, int(q*float64(len(list))))]
}

func took(a answer) time.Duration { return a.took }

// served returns the answers with status 200.
func served(answers []answer) []answer {
	var list []answer
	for _, a := range answers {
		if a.status == 200 {
			list = append(list, a)
		}
	}
	return list
}

func share(part, whole []answer) float64 { return float64(len(part)) / float64(max(1, len(whole))) }

// merge returns two loads in order of arrival.
func merge(a, b []arrival) []arrival {
	all := append(append([]arrival(nil), a...), b...)
	sort.SliceStable(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}

// shift delays a load.
func shift(load []arrival, by time.Duration) []arrival {
	later := make([]arrival, len(load))
	for i, a := range load {
		later[i] = a
		later[i].at += by
	}
	return later
}
