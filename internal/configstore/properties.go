package configstore

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Labels that the system itself reads. Other labels are only matched by
// selectors.
const (
	LabelService           = "service"            // class: the service it belongs to; absent: every service
	LabelDeadline          = "deadline-ms"        // class: default deadline of its requests in milliseconds
	LabelPathPrefix        = "path-prefix"        // class: comma-separated path prefixes of its requests
	LabelLong              = "long"               // class: true if its requests are scheduled as long from their arrival
	LabelIdempotentMethods = "idempotent-methods" // class, service: comma-separated; replaces those of RFC 9110
	LabelDefaultTenant     = "default-tenant"     // service: tenant of requests that name none
	LabelQuotaCPU          = "quota-cpu"          // team: milli-CPU
	LabelQuotaMemory       = "quota-memory"       // team: bytes
	LabelQuotaAccelerators = "quota-accelerators" // team: number of accelerators
)

// ClassProperties are the properties of a class, read from its labels.
type ClassProperties struct {
	Class             model.Class
	Service           model.Service // empty: every service
	Deadline          time.Duration // 0: not set
	PathPrefixes      []string
	Long              bool     // requests are long from their arrival
	IdempotentMethods []string // nil: not set
	Labels            model.Labels
}

// ServiceProperties are the properties of a service, read from its labels.
type ServiceProperties struct {
	DefaultTenant     model.Tenant // of requests that name no tenant; empty: not set
	IdempotentMethods []string     // nil: not set
	Labels            model.Labels
}

// Class returns the properties of a class; a class without labels has the
// defaults.
func (s *Snapshot) Class(c model.Class) ClassProperties {
	return newClassProperties(c, s.Labels(model.KindClass, string(c)))
}

// Classes returns the classes of a service, those with the longest path
// prefix first, so that the first class with a matching prefix is the most
// specific.
func (s *Snapshot) Classes(service model.Service) []ClassProperties {
	var list []ClassProperties
	for _, k := range s.Keys(model.KindClass) {
		if p := s.Class(model.Class(k.Name)); p.Service == "" || p.Service == service {
			list = append(list, p)
		}
	}
	sort.SliceStable(list, func(i, j int) bool { return list[i].longestPrefixLen() > list[j].longestPrefixLen() })
	return list
}

func (p ClassProperties) longestPrefixLen() int {
	n := 0
	for _, prefix := range p.PathPrefixes {
		n = max(n, len(prefix))
	}
	return n
}

// ClassOf returns the class of a request path: the one with the longest
// matching prefix.
func ClassOf(classes []ClassProperties, path string) (class ClassProperties, ok bool) {
	longest := -1
	for _, c := range classes {
		for _, prefix := range c.PathPrefixes {
			if len(prefix) > longest && strings.HasPrefix(path, prefix) {
				class, ok, longest = c, true, len(prefix)
			}
		}
	}
	return class, ok
}

// Service returns the properties of a service.
func (s *Snapshot) Service(name model.Service) ServiceProperties {
	l := s.Labels(model.KindService, string(name))
	return ServiceProperties{
		DefaultTenant:     model.Tenant(l[LabelDefaultTenant]),
		IdempotentMethods: splitList(l[LabelIdempotentMethods]),
		Labels:            l,
	}
}

// Quota returns the quota of a team. A resource without a valid label is
// unlimited (math.MaxInt64); ok is false when no resource is limited.
func (s *Snapshot) Quota(t model.Team) (quota model.Resources, ok bool) {
	l := s.Labels(model.KindTeam, string(t))
	const unlimited = 1<<63 - 1
	read := func(key string) int64 {
		n, err := strconv.ParseInt(l[key], 10, 64)
		if err != nil || n < 0 {
			return unlimited
		}
		ok = true
		return n
	}
	quota = model.Resources{CPU: model.MilliCPU(read(LabelQuotaCPU)), Memory: model.Bytes(read(LabelQuotaMemory)),
		Accelerators: read(LabelQuotaAccelerators)}
	return quota, ok
}

// Quotas returns the quotas of the teams that have one.
func (s *Snapshot) Quotas() map[model.Team]model.Resources {
	quotas := map[model.Team]model.Resources{}
	for _, k := range s.Keys(model.KindTeam) {
		if q, ok := s.Quota(model.Team(k.Name)); ok {
			quotas[model.Team(k.Name)] = q
		}
	}
	return quotas
}

// NamedSelector is a selector item with its name.
type NamedSelector struct {
	Name string
	model.Selector
}

// Selectors returns the selectors of a kind, or of every kind when kind is
// empty, sorted by name.
func (s *Snapshot) Selectors(kind model.SelectorKind) []NamedSelector {
	var list []NamedSelector
	for _, k := range s.Keys(model.KindSelector) {
		if sel := s.items[k].Selector; sel != nil && (kind == "" || sel.Kind == kind) {
			list = append(list, NamedSelector{Name: k.Name, Selector: *sel})
		}
	}
	return list
}

func newClassProperties(c model.Class, l model.Labels) ClassProperties {
	p := ClassProperties{Class: c, Service: model.Service(l[LabelService]), Labels: l,
		PathPrefixes: splitList(l[LabelPathPrefix]), IdempotentMethods: splitList(l[LabelIdempotentMethods])}
	if ms, err := strconv.ParseInt(l[LabelDeadline], 10, 32); err == nil {
		p.Deadline = time.Duration(ms) * time.Millisecond
	}
	p.Long, _ = strconv.ParseBool(l[LabelLong])
	return p
}

func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

// maxListBytes is the maximum length of the value of a label that is a list.
const maxListBytes = 1024

// isList reports whether the value of a label is a comma-separated list, which
// the syntax of other labels does not allow.
func isList(kind model.ConfigKind, label string) bool {
	return (kind == model.KindClass && label == LabelPathPrefix) ||
		((kind == model.KindClass || kind == model.KindService) && label == LabelIdempotentMethods)
}

// withoutLists returns the labels without those whose value is a list.
func withoutLists(kind model.ConfigKind, l model.Labels) model.Labels {
	plain := make(model.Labels, len(l))
	for k, v := range l {
		if !isList(kind, k) {
			plain[k] = v
		}
	}
	return plain
}

// checkValue returns an error if the system reads this label on items of this
// kind and the value is invalid.
func checkValue(kind model.ConfigKind, label, value string) error {
	checkNumber := func(low, high int64) error {
		if n, err := strconv.ParseInt(value, 10, 64); err != nil || n < low || n > high {
			return fmt.Errorf("%q is not a whole number from %d to %d", value, low, high)
		}
		return nil
	}
	switch {
	case isList(kind, label) && len(value) > maxListBytes:
		return fmt.Errorf("is longer than %d bytes", maxListBytes)
	case kind == model.KindClass && (label == LabelDeadline || label == model.LabelTargetP99):
		return checkNumber(1, 24*3600*1000) // milliseconds; one day
	case kind == model.KindClass && label == LabelLong, kind == model.KindWorker && label == model.LabelDrain:
		if value != "true" && value != "false" {
			return fmt.Errorf("%q is neither true nor false", value)
		}
	case kind == model.KindClass && label == LabelPathPrefix:
		for _, p := range strings.Split(value, ",") {
			if !strings.HasPrefix(p, "/") || !isValidName(p) {
				return fmt.Errorf("path prefix %q does not begin with /, or has spaces", p)
			}
		}
	case isList(kind, label): // methods
		for _, m := range strings.Split(value, ",") {
			if m == "" || strings.ToUpper(m) != m || !isValidName(m) {
				return fmt.Errorf("%q is not an upper-case HTTP method", m)
			}
		}
	case kind == model.KindTeam && (label == LabelQuotaCPU || label == LabelQuotaMemory || label == LabelQuotaAccelerators):
		return checkNumber(0, 1<<62)
	}
	return nil
}
