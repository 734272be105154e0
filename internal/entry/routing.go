package entry

import (
	"cmp"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Header fields with which callers steer a request, and the prefix of all.
const (
	headerPrefix   = "Bambooscale-"
	headerService  = "Bambooscale-Service"
	headerTenant   = "Bambooscale-Tenant"
	headerDeadline = "Bambooscale-Deadline-Ms"
)

// DefaultDeadline bounds a request whose class has no deadline of its own.
const DefaultDeadline = 30 * time.Second

// maxNameBytes bounds names that callers choose.
const maxNameBytes = 63

// DefaultClass is the class of requests that match no class of the
// configuration.
const DefaultClass model.Class = "default"

// ClassRule is a class of requests of one service.
type ClassRule struct {
	Name         model.Class
	PathPrefixes []string
	Deadline     time.Duration // 0: DefaultDeadline
	Long         *bool         // nil: learned
	// Idempotent lists the methods that are idempotent for this class; nil
	// means those of RFC 9110.
	Idempotent map[string]bool
}

// ServiceRule is a service that callers may address.
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

// route is where a request belongs.
type route struct {
	service  model.Service
	tenant   model.Tenant
	class    ClassRule
	deadline time.Duration
}

// find returns the route of r, or false when it names no known service.
func (t *RoutingTable) find(r *http.Request) (route, bool) {
	rule, ok := t.service(r)
	if !ok {
		return route{}, false
	}
	rt := route{service: rule.Name, tenant: rule.DefaultTenant, class: rule.class(r.URL.Path)}
	if name := r.Header.Get(headerTenant); name != "" && len(name) <= maxNameBytes {
		rt.tenant = model.Tenant(name)
	}
	if rt.tenant == "" {
		rt.tenant = model.Tenant(rule.Name)
	}
	rt.deadline = cmp.Or(rt.class.Deadline, t.DefaultDeadline, DefaultDeadline)
	return rt, true
}

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

func (s *ServiceRule) class(path string) ClassRule {
	best, length := ClassRule{Name: DefaultClass}, -1
	for _, c := range s.Classes {
		for _, prefix := range c.PathPrefixes {
			if len(prefix) > length && strings.HasPrefix(path, prefix) {
				best, length = c, len(prefix)
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
