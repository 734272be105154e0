package settings

import (
	"errors"
	"fmt"
	"net"
	"strconv"
	"time"

	"gopkg.in/ini.v1"

	"github.com/bambooscale/bambooscale/internal/finding"
)

// JobDaemon holds the settings of a bamboojobd process.
type JobDaemon struct {
	Name       string
	IP         string
	DataCentre string
	LinkPort   int
	Callers    string // entry: address for submitters
	Readiness  string // entry: address for the balancer's checks
	Registry   string // agent: address for the backend server's announcements
	Backend    string // agent: address of the backend server
	MaxLease   time.Duration
	Seeds      []string // hosts on which entries may be found
	Store      string
}

// LinkAddress is where the process accepts links.
func (n *JobDaemon) LinkAddress() string { return n.linkTo(n.IP) }

func (n *JobDaemon) linkTo(ip string) string { return net.JoinHostPort(ip, strconv.Itoa(n.LinkPort)) }

// SeedLinks returns the addresses of the links at the seeds.
func (n *JobDaemon) SeedLinks() []string {
	var list []string
	for _, s := range n.Seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			list = append(list, n.linkTo(host))
		}
	}
	return list
}

// LoadJobDaemon reads and checks a settings file for a role, entry or agent.
// The error lists every finding.
func LoadJobDaemon(file, role string) (*JobDaemon, error) {
	f, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: true}, file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	r := jobNodeReader{file: file, ini: f}
	n := &JobDaemon{
		Name: r.text("node", "name"), IP: r.text("node", "ip"), DataCentre: r.text("node", "data-centre"),
		LinkPort: r.number("node", "link-port"), Store: r.text("store", "address"),
		Seeds: f.Section("links").Key("seeds").Strings(","),
	}
	switch role {
	case "entry":
		n.Callers, n.Readiness = r.text("entry", "callers"), r.text("entry", "readiness")
	case "agent":
		n.Registry, n.Backend = r.text("agent", "registry"), r.text("agent", "backend")
		n.MaxLease = r.duration("agent", "max-lease")
	default:
		return nil, errors.New("role must be entry or agent")
	}
	return n, r.found.Err()
}

// jobNodeReader collects what is wrong with the keys that it reads.
type jobNodeReader struct {
	file  string
	ini   *ini.File
	found finding.List
}

func (r *jobNodeReader) text(section, key string) string {
	v := r.ini.Section(section).Key(key).String()
	if v == "" {
		r.found.Add(r.file, 0, "["+section+"] "+key, "is missing")
	}
	return v
}

func (r *jobNodeReader) number(section, key string) int {
	v, err := strconv.Atoi(r.text(section, key))
	if err != nil {
		r.found.Add(r.file, 0, "["+section+"] "+key, "is not a number: %v", err)
	}
	return v
}

func (r *jobNodeReader) duration(section, key string) time.Duration {
	v, err := time.ParseDuration(r.text(section, key))
	if err != nil || v <= 0 {
		r.found.Add(r.file, 0, "["+section+"] "+key, "is not a positive duration: %v", err)
	}
	return v
}
