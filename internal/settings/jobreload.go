package settings

import "slices"

// Changes returns the keys whose values differ in next, those that take effect at once
// and those that need a restart of the process.
func (d *JobDaemon) Changes(next *JobDaemon) (atOnce, restart []string) {
	if !slices.Equal(d.Seeds, next.Seeds) {
		atOnce = append(atOnce, "[links] seeds")
	}
	if d.GracePeriod != next.GracePeriod {
		atOnce = append(atOnce, "[entry] grace-period-s")
	}
	for _, k := range []struct {
		key     string
		changed bool
	}{
		{"[node] name", d.Name != next.Name},
		{"[node] ip", d.IP != next.IP},
		{"[node] data-centre", d.DataCentre != next.DataCentre},
		{"[node] link-port", d.LinkPort != next.LinkPort},
		{"[entry] callers", d.Callers != next.Callers},
		{"[entry] readiness", d.Readiness != next.Readiness},
		{"[entry] processor-share", d.ProcessorShare != next.ProcessorShare},
		{"[entry] link-mbps", d.LinkRate != next.LinkRate},
		{"[entry] memory-mb", d.Memory != next.Memory},
		{"[agent] registry", d.Registry != next.Registry},
		{"[agent] backend", d.Backend != next.Backend},
		{"[agent] max-lease", d.MaxLease != next.MaxLease},
		{"[store] address", d.Store != next.Store},
	} {
		if k.changed {
			restart = append(restart, k.key)
		}
	}
	return atOnce, restart
}
