package settings

import (
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/bambooscale/bambooscale/internal/finding"
	"github.com/bambooscale/bambooscale/internal/model"
)

// JobDaemon holds the settings of a bamboojobd process.
type JobDaemon struct {
	Name       string
	IP         string // address of the process, for links and metrics
	DataCentre string
	LinkPort   int    // port on which the process accepts links
	Callers    string // entry: address on which jobs are submitted
	Readiness  string // entry: address for the balancer's health checks
	// GracePeriod of an entry is the time between the signal to stop and the
	// kill of the process.
	GracePeriod time.Duration
	// ProcessorShare of an entry is the processor time of its host that the
	// process may use. It is 0 if it is not known.
	ProcessorShare model.MilliCPU
	// LinkRate of an entry is that of its host's network connection in bits per
	// second. It is 0 if it is not known.
	LinkRate int64
	// Memory of an entry is that of its host in bytes. It is 0 if it is not known.
	Memory   int64
	Registry string        // agent: address for the backend server's announcements
	Backend  string        // agent: address of the backend server
	MaxLease time.Duration // agent: how long runs continue after the last grant of their owner
	Seeds    []string      // host:port of hosts on which entries may run
	Store    string        // address of the store
}

// LinkAddress returns the address on which the process accepts links.
func (d *JobDaemon) LinkAddress() string { return d.linkAddressAt(d.IP) }

func (d *JobDaemon) linkAddressAt(ip string) string {
	return net.JoinHostPort(ip, strconv.Itoa(d.LinkPort))
}

// SeedLinks returns the addresses on which the hosts of the seeds accept links:
// LinkPort replaces the port of each seed. Seeds without a port are ignored.
func (d *JobDaemon) SeedLinks() []string {
	var list []string
	for _, s := range d.Seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			list = append(list, d.linkAddressAt(host))
		}
	}
	return list
}

// LoadJobDaemon reads and checks a settings file for a role, "entry" or
// "agent". Unknown keys and lines that are no settings are ignored. Every key
// that the role reads must be set, except seeds, grace-period-s, processor-share,
// processor-cores, link-mbps and memory-mb. The error is a finding.List with every finding, unless the
// file cannot be read or the role is unknown.
func LoadJobDaemon(file, role string) (*JobDaemon, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	f, err := ini.LoadSources(ini.LoadOptions{SkipUnrecognizableLines: true}, text)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	r := jobDaemonReader{file: file, ini: f, lines: keyLines(string(text))}
	d := &JobDaemon{
		Name: r.text("node", "name"), IP: r.text("node", "ip"), DataCentre: r.text("node", "data-centre"),
		LinkPort: r.number("node", "link-port"), Store: r.text("store", "address"),
		Seeds: f.Section("links").Key("seeds").Strings(","),
	}
	switch role {
	case "entry":
		d.Callers, d.Readiness = r.text("entry", "callers"), r.text("entry", "readiness")
		d.GracePeriod = r.seconds("entry", "grace-period-s", defaultGracePeriod)
		d.ProcessorShare = r.processorShare()
		d.LinkRate = int64(math.Round(r.limited("link-mbps", 0, maxLinkMbps) * bitsPerMegabit))
		d.Memory = int64(r.limited("memory-mb", 0, maxMemoryMB) * bytesPerMegabyte)
	case "agent":
		d.Registry, d.Backend = r.text("agent", "registry"), r.text("agent", "backend")
		d.MaxLease = r.duration("agent", "max-lease")
	default:
		return nil, errors.New("role must be entry or agent")
	}
	return d, r.findings.Err()
}

// defaultGracePeriod is short enough for the hosts whose settings name none.
const defaultGracePeriod = 6 * time.Second

// jobDaemonReader reads keys and collects findings about missing and invalid
// values.
type jobDaemonReader struct {
	file     string
	ini      *ini.File
	lines    map[string]int // "[section] key" to its line number
	findings finding.List
}

// keyLines returns the line number of each key, as "[section] key".
func keyLines(text string) map[string]int {
	lines := map[string]int{}
	section := ""
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			section = line
			continue
		}
		if key, _, found := strings.Cut(line, "="); found {
			lines[section+" "+strings.TrimSpace(key)] = i + 1
		}
	}
	return lines
}

// add adds a finding about a key with its line; 0 if the key is missing.
func (r *jobDaemonReader) add(section, key, format string, args ...any) {
	name := "[" + section + "] " + key
	r.findings.Add(r.file, r.lines[name], name, format, args...)
}

func (r *jobDaemonReader) text(section, key string) string {
	v := r.ini.Section(section).Key(key).String()
	if v == "" {
		r.add(section, key, "is missing")
	}
	return v
}

func (r *jobDaemonReader) number(section, key string) int {
	v, err := strconv.Atoi(r.text(section, key))
	if err != nil {
		r.add(section, key, "is not a number: %v", err)
	}
	return v
}

func (r *jobDaemonReader) duration(section, key string) time.Duration {
	v, err := time.ParseDuration(r.text(section, key))
	if err != nil || v <= 0 {
		r.add(section, key, "is not a positive duration: %v", err)
	}
	return v
}

// seconds returns the value of an optional key in seconds, which may have a
// fraction.
func (r *jobDaemonReader) seconds(section, key string, absent time.Duration) time.Duration {
	text := r.ini.Section(section).Key(key).String()
	if text == "" {
		return absent
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v > 0 && v < maxSeconds) {
		r.add(section, key, "is not a number of seconds above 0 and below %d: %q", maxSeconds, text)
		return absent
	}
	return time.Duration(v * float64(time.Second))
}

const maxSeconds = 24 * 60 * 60

// processorShare returns the product of two optional keys: the share of each core
// that the process may use, and the number of cores, which may have a fraction if
// the cores are faster or slower than that of other hosts. It is 0 if the share is
// not known.
func (r *jobDaemonReader) processorShare() model.MilliCPU {
	share := r.limited("processor-share", 0, maxCores)
	cores := r.limited("processor-cores", 1, maxCores)
	return model.MilliCPU(math.Round(share * cores * milliCPUPerCore))
}

// limited returns the value of an optional key of an entry, a number from 0 to
// highest.
func (r *jobDaemonReader) limited(key string, absent float64, highest int) float64 {
	text := r.ini.Section("entry").Key(key).String()
	if text == "" {
		return absent
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0 && v <= float64(highest)) {
		r.add("entry", key, "is not a number from 0 to %d: %q", highest, text)
		return absent
	}
	return v
}

const (
	maxCores         = 4096
	milliCPUPerCore  = 1000
	maxLinkMbps      = 1_000_000
	bitsPerMegabit   = 1_000_000
	maxMemoryMB      = 100_000_000
	bytesPerMegabyte = 1 << 20
)
