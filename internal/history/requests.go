package history

import (
	"fmt"
	"net/http"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/standin"
)

const (
	// cancelDetectionTime is the time within which a backend server notices that
	// its client cancelled a request. Until then the request may overlap a retry.
	cancelDetectionTime = time.Second
	// sentMargin is the time after which a request has reached the entry. A
	// later one may be on a connection that is still in the kernel's accept queue.
	sentMargin = time.Second
)

func taskID(job string, attempt uint32) string { return fmt.Sprintf("%s/%d", job, attempt) }

// placedRecord is a request with the id of its backend server.
type placedRecord struct {
	standin.RequestRecord
	backend string
}

// ran reports whether the request took a slot.
func (r placedRecord) ran() bool { return r.End != "refused" }

// recordsByKey groups the requests at backend servers by their key.
func (h *History) recordsByKey() map[string][]placedRecord {
	m := map[string][]placedRecord{}
	for _, b := range h.Backends {
		for _, r := range b.Records {
			m[r.Key] = append(m[r.Key], placedRecord{r, b.ID})
		}
	}
	return m
}

// completeResponses finds successful responses that are truncated or belong to
// another request, and responses to requests that no backend server completed.
func completeResponses(h *History, report reportFunc) {
	records := h.recordsByKey()
	for _, c := range h.Calls {
		if c.Error != "" || c.Status != http.StatusOK {
			continue
		}
		complete := 0
		for _, r := range records[c.Key] {
			if r.End == "complete" {
				complete++
			}
		}
		switch {
		case c.Body != c.Want:
			report("response to %s is %q, want %q", c.Key, c.Body, c.Want)
		case complete == 0:
			report("%s has a response, but no backend server completed it", c.Key)
		}
	}
}

// notRunResponses finds requests that ran although their caller received the
// outcome "not run".
func notRunResponses(h *History, report reportFunc) {
	records := h.recordsByKey()
	for _, c := range h.Calls {
		if c.Outcome != model.OutcomeNotRun.String() {
			continue
		}
		for _, r := range records[c.Key] {
			if r.ran() {
				report("%s was answered as not run, but ran at %s", c.Key, r.backend)
			}
		}
	}
}

// atMostOnce finds requests that ran more than once. A retry of an idempotent
// method is allowed if the runs do not overlap in time.
func atMostOnce(h *History, report reportFunc) {
	for key, list := range h.recordsByKey() {
		for i, r := range list {
			for _, other := range list[:i] {
				switch {
				case !r.ran() || !other.ran():
				case r.Method == http.MethodPost || r.Method == http.MethodPatch:
					report("%s %s ran at %s and at %s", r.Method, key, other.backend, r.backend)
				case overlap(r.RequestRecord, other.RequestRecord):
					report("%s %s ran at %s and at %s at the same time", r.Method, key, other.backend, r.backend)
				}
			}
		}
	}
}

// overlap reports whether two requests ran at the same time, apart from the
// cancelDetectionTime at the end of a cancelled one.
func overlap(a, b standin.RequestRecord) bool {
	if b.Started < a.Started {
		a, b = b, a
	}
	ended := a.Finished
	if ended != 0 && a.End == "cancelled" {
		ended -= int64(cancelDetectionTime)
	}
	return a.Finished == 0 || ended > b.Started
}

// drain finds requests that started at a backend server more than drainBound
// after its agent accepted the drain.
func drain(h *History, report reportFunc) {
	for _, b := range h.Backends {
		for _, r := range b.Records {
			if b.Drained != 0 && r.Started > b.Drained+int64(drainBound) {
				report("%s started at %s %v after the drain", r.Key, b.ID, time.Duration(r.Started-b.Drained))
			}
		}
	}
}

// gracefulShutdown finds requests in flight that a graceful shutdown interrupted:
// those that an entry had received, and those that ran at a backend server of an
// agent.
func gracefulShutdown(h *History, report reportFunc) {
	calls := map[string]Call{}
	for _, c := range h.Calls {
		calls[c.Key] = c
	}
	for _, s := range h.Shutdowns {
		for _, c := range h.Calls {
			if c.Entry == s.Process && c.Sent+int64(sentMargin) < s.At && c.Ended > s.At {
				h.checkUninterrupted(c, s, report)
			}
		}
		for _, b := range h.Backends {
			for _, r := range b.Records {
				if b.Agent == s.Process && r.Started < s.At && (r.Finished == 0 || r.Finished > s.At) {
					h.checkUninterrupted(calls[r.Key], s, report)
				}
			}
		}
	}
}

// checkUninterrupted reports a call that did not succeed, unless a fault was
// active during the call and the shutdown.
func (h *History) checkUninterrupted(c Call, s Shutdown, report reportFunc) {
	if c.Error == "" && c.Status == http.StatusOK || h.overlapsFault(c.Sent, min(c.Ended, s.Ended), 0) {
		return
	}
	report("%s was in flight when %s was shut down and ended with status %d, error %q", c.Key, s.Process, c.Status, c.Error)
}
