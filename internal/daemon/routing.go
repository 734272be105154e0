package daemon

import (
	"github.com/bambooscale/bambooscale/internal/configstore"
	"github.com/bambooscale/bambooscale/internal/entry"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/settings"
)

// routingTable derives the services and classes of requests from the
// configuration in use and the settings.
func routingTable(s *configstore.Snapshot, cfg *settings.Settings) *entry.RoutingTable {
	table := &entry.RoutingTable{
		Services:       map[model.Service]entry.ServiceRule{},
		DefaultService: cfg.Entry.DefaultService, DefaultDeadline: cfg.Entry.RequestDeadline,
	}
	table.SharedClasses = classRules(s.Classes(""), nil)
	for _, name := range configuredServices(s) {
		properties := s.Service(name)
		table.Services[name] = entry.ServiceRule{
			Name: name, DefaultTenant: properties.DefaultTenant,
			Classes: classRules(s.Classes(name), properties.IdempotentMethods),
		}
	}
	return table
}

// configuredServices returns the services that have labels or classes of their
// own. A service may occur more than once.
func configuredServices(s *configstore.Snapshot) []model.Service {
	var list []model.Service
	for _, k := range s.Keys(model.KindService) {
		list = append(list, model.Service(k.Name))
	}
	for _, k := range s.Keys(model.KindClass) {
		if properties := s.Class(model.Class(k.Name)); properties.Service != "" {
			list = append(list, properties.Service)
		}
	}
	return list
}

// classRules returns the rules of the classes. defaultMethods are the idempotent
// methods of classes that set none.
func classRules(classes []configstore.ClassProperties, defaultMethods []string) []entry.ClassRule {
	rules := make([]entry.ClassRule, 0, len(classes))
	for _, c := range classes {
		r := entry.ClassRule{Name: c.Class, PathPrefixes: c.PathPrefixes, Deadline: c.Deadline}
		if c.Long {
			r.Long = &c.Long
		}
		idempotent := c.IdempotentMethods
		if idempotent == nil {
			idempotent = defaultMethods
		}
		r.Idempotent = methodSet(idempotent)
		rules = append(rules, r)
	}
	return rules
}

// methodSet returns nil for a nil list: the idempotent methods of RFC 9110 apply
// then.
func methodSet(methods []string) map[string]bool {
	if methods == nil {
		return nil
	}
	m := make(map[string]bool, len(methods))
	for _, v := range methods {
		m[v] = true
	}
	return m
}
