package settings

import (
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/model"
)

// Short names of the field types that the table of keys uses.
type (
	logLevel      = log.Level
	urlValue      = *url.URL
	durationValue = time.Duration
	labelsValue   = model.Labels
)

func isNil(u *url.URL) bool               { return u == nil }
func isZeroDuration(d time.Duration) bool { return d == 0 }

func parseText[T ~string](s string) (T, error) { return T(s), nil }

func parseList[T ~string](s string) ([]T, error) {
	var out []T
	for _, part := range strings.Split(s, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			return nil, errors.New("has an empty element")
		}
		out = append(out, T(part))
	}
	return out, nil
}

func parseRole(s string) (Role, error) {
	if r := Role(s); r == RoleEntry || r == RoleAgent {
		return r, nil
	}
	return "", fmt.Errorf("unknown role %q; use entry or agent", s)
}

func parseLevel(s string) (log.Level, error) {
	switch s {
	case "debug", "info", "warn", "error":
		return log.ParseLevel(s)
	}
	return 0, fmt.Errorf("unknown level %q; use debug, info, warn or error", s)
}

// parseAddress checks an address of the form host:port. Port 0, any free port,
// is accepted only for 127.0.0.0/8.
func parseAddress(s string) (string, error) {
	_, port, err := net.SplitHostPort(s)
	var addrErr *net.AddrError
	if errors.As(err, &addrErr) {
		if addrErr.Err == "missing port in address" {
			return "", errors.New("missing port")
		}
		return "", errors.New(addrErr.Err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil {
		return "", fmt.Errorf("port %q is not a number from 0 to 65535", port)
	} else if n == 0 && !strings.HasPrefix(s, "127.") {
		return "", errors.New("port 0 is allowed only on loopback addresses")
	}
	return s, nil
}

func parseAddresses(s string) ([]string, error) {
	list, err := parseList[string](s)
	if err != nil {
		return nil, err
	}
	for _, a := range list {
		if _, err := parseAddress(a); err != nil {
			return nil, fmt.Errorf("%s: %w", a, err)
		}
	}
	return list, nil
}

func parseURL(s string) (*url.URL, error) {
	u, err := url.Parse(s)
	if err != nil {
		return nil, fmt.Errorf("not a URL: %w", err)
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return nil, fmt.Errorf("%q is not an http or https URL with a host", s)
	}
	return u, nil
}

// sizeUnits holds the suffixes of sizes. A suffix comes before every shorter
// one that it ends with, such as KiB before B.
var sizeUnits = []struct {
	suffix string
	factor int64
}{
	{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"TiB", 1 << 40},
	{"Ki", 1 << 10}, {"Mi", 1 << 20}, {"Gi", 1 << 30}, {"Ti", 1 << 40},
	{"KB", 1e3}, {"MB", 1e6}, {"GB", 1e9}, {"TB", 1e12}, {"B", 1},
}

// ParseBytes reads a positive size, such as 512, 64KiB or 125GB.
func ParseBytes(s string) (model.Bytes, error) {
	digits, factor := s, int64(1)
	for _, u := range sizeUnits {
		if d, ok := strings.CutSuffix(s, u.suffix); ok {
			digits, factor = strings.TrimSpace(d), u.factor
			break
		}
	}
	n, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || n <= 0 {
		return 0, fmt.Errorf("%q is not a positive size; write for example 64KiB or 125GB", s)
	}
	if n > (1<<62)/factor {
		return 0, fmt.Errorf("%q is too large", s)
	}
	return model.Bytes(n * factor), nil
}

func parseCount(s string) (int, error) {
	n, err := strconv.Atoi(s)
	if err != nil || n <= 0 {
		return 0, fmt.Errorf("%q is not a positive whole number", s)
	}
	return n, nil
}

func parseAccelerators(s string) (int64, error) {
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n < 0 {
		return 0, fmt.Errorf("%q is not a whole number of accelerators", s)
	}
	return n, nil
}

// ParseCPU reads a positive number of cores, such as 32, or of thousandths of a
// core, such as 500m.
func ParseCPU(s string) (model.MilliCPU, error) {
	digits, factor := s, int64(1000)
	if d, ok := strings.CutSuffix(s, "m"); ok {
		digits, factor = d, 1
	}
	n, err := strconv.ParseInt(digits, 10, 32)
	if err != nil || n <= 0 {
		return 0, fmt.Errorf("%q is not a positive number of cores; write for example 32 or 500m", s)
	}
	return model.MilliCPU(n * factor), nil
}

func parseDuration(s string) (time.Duration, error) {
	d, err := time.ParseDuration(s)
	if err != nil || d <= 0 {
		return 0, fmt.Errorf("%q is not a positive duration; write for example 500ms or 30s", s)
	}
	return d, nil
}

func parseLabels(s string) (model.Labels, error) {
	list, err := parseList[string](s)
	if err != nil {
		return nil, err
	}
	out := model.Labels{}
	for _, l := range list {
		k, v, ok := strings.Cut(l, "=")
		if !ok || k == "" {
			return nil, fmt.Errorf("%q is not key=value", l)
		}
		out[k] = v
	}
	return out, nil
}

// parseRequired reads the value of [agent] config.
func parseRequired(s string) (bool, error) {
	switch s {
	case "required":
		return true, nil
	case "optional":
		return false, nil
	}
	return false, fmt.Errorf("unknown value %q; use required or optional", s)
}
