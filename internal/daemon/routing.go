package daemon

import (
	"github.com/bambooscale/bambooscale/internal/configstore"
	"github.com/bambooscale/bambooscale/internal/entry"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/settings"
)

// routing derives the services and classes of requests from the labels in
// force.
func routing(s *configstore.Snapshot, set *settings.Settings) *entry.RoutingTable {
	t := &entry.RoutingTable{
		Services:       map[model.Service]entry.ServiceRule{},
		DefaultService: set.Entry.DefaultService, DefaultDeadline: set.Entry.RequestDeadline,
	}
	t.SharedClasses = classRules(s.Classes(""), nil)
	for _, name := range configuredServices(s) {
		p := s.Service(name)
		t.Services[name] = entry.ServiceRule{
			Name: name, DefaultTenant: p.DefaultTenant,
			Classes: classRules(s.Classes(name), p.IdempotentMethods),
		}
	}
	return t
}

// configuredServices lists the services that have labels or classes of their
// own.
func configuredServices(s *configstore.Snapshot) []model.Service {
	var list []model.Service
	for _, k := range s.Keys(model.KindService) {
		list = append(list, model.Service(k.Name))
	}
	for _, k := range s.Keys(model.KindClass) {
		if p := s.Class(model.Class(k.Name)); p.Service != "" {
			list = append(list, p.Service)
		}
	}
	return list
}

func classRules(classes []configstore.ClassProperties, methods []string) []entry.ClassRule {
	rules := make([]entry.ClassRule, 0, len(classes))
	for _, c := range classes {
		r := entry.ClassRule{Name: c.Class, PathPrefixes: c.PathPrefixes, Deadline: c.Deadline}
		if c.Long {
			r.Long = &c.Long
		}
		own := c.IdempotentMethods
		if own == nil {
			own = methods
		}
		r.Idempotent = set(own)
		rules = append(rules, r)
	}
	return rules
}

// set returns nil for a nil list: the methods of RFC 9110 apply then.
func set(list []string) map[string]bool {
	if list == nil {
		return nil
	}
	m := make(map[string]bool, len(list))
	for _, v := range list {
		m[v] = true
	}
	return m
}
