package entry

import (
	"cmp"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Header fields that select the service, tenant and deadline of a request, and
// their common prefix.
const (
	headerPrefix   = "Bambooscale-"
	headerService  = "Bambooscale-Service"
	headerTenant   = "Bambooscale-Tenant"
	headerDeadline = "Bambooscale-Deadline-Ms"
)

// DefaultDeadline applies when neither the class nor the routing table sets a
// deadline.
const DefaultDeadline = 30 * time.Second

// maxNameBytes bounds tenant names that callers send; longer ones are ignored.
const maxNameBytes = 63

// DefaultClass is the class of requests that match no class of the
// configuration.
const DefaultClass model.Class = "default"

// ClassRule is a class of requests of one service.
type ClassRule struct {
	Name         model.Class
	PathPrefixes []string
	Deadline     time.Duration // 0: that of the routing table
	Long         *bool         // nil: estimated from durations
	// Idempotent lists the methods that are idempotent for this class; nil
	// means those of RFC 9110.
	Idempotent map[string]bool
}

// ServiceRule describes a service that callers may address.
type ServiceRule struct {
	Name          model.Service
	DefaultTenant model.Tenant
	Classes       []ClassRule // the longest matching prefix wins
}

// RoutingTable is an immutable set of services.
type RoutingTable struct {
	Services        map[model.Service]ServiceRule
	SharedClasses   []ClassRule   // classes of services that have no rule of their own
	DefaultService  model.Service // for requests that name none; may be empty
	DefaultDeadline time.Duration // of classes without one of their own; 0: DefaultDeadline
}

// route is the service, tenant, class and deadline of a request.
type route struct {
	service  model.Service
	tenant   model.Tenant
	class    ClassRule
	deadline time.Duration
}

// findRoute returns the route of r, or false when its service is unknown.
func (t *RoutingTable) findRoute(r *http.Request) (route, bool) {
	rule, ok := t.service(r)
	if !ok {
		return route{}, false
	}
	rt := route{service: rule.Name, tenant: rule.DefaultTenant, class: rule.classFor(r.URL.Path)}
	if name := r.Header.Get(headerTenant); name != "" && len(name) <= maxNameBytes {
		rt.tenant = model.Tenant(name)
	}
	if rt.tenant == "" {
		rt.tenant = model.Tenant(rule.Name)
	}
	rt.deadline = cmp.Or(rt.class.Deadline, t.DefaultDeadline, DefaultDeadline)
	return rt, true
}

// service selects the service by header field, by the first label of the host
// name, or by default.
func (t *RoutingTable) service(r *http.Request) (ServiceRule, bool) {
	if name := r.Header.Get(headerService); name != "" {
		rule, ok := t.Services[model.Service(name)]
		return rule, ok
	}
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	if net.ParseIP(host) == nil {
		label, _, _ := strings.Cut(host, ".")
		if rule, ok := t.Services[model.Service(label)]; ok {
			return rule, true
		}
	}
	rule, ok := t.Services[t.DefaultService]
	return rule, ok
}

// classFor returns the class with the longest prefix of path.
func (s *ServiceRule) classFor(path string) ClassRule {
	best, bestLength := ClassRule{Name: DefaultClass}, -1
	for _, c := range s.Classes {
		for _, prefix := range c.PathPrefixes {
			if len(prefix) > bestLength && strings.HasPrefix(path, prefix) {
				best, bestLength = c, len(prefix)
			}
		}
	}
	return best
}

// idempotent reports whether a request of the class may run more than once.
func (c *ClassRule) idempotent(method string) bool {
	if c.Idempotent != nil {
		return c.Idempotent[method]
	}
	return model.Idempotent(method)
}
