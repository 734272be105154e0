package history

import (
	"fmt"
	"net/http"
	"time"

	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/standin"
)

const (
	// A backend server notices later than its client that a request was
	// cancelled; until then it may overlap with a retry.
	cancelDetectionTime = time.Second
	// A request that was sent this long before the signal has reached the
	// entry. A connection that is still in the kernel's queue has not.
	sentMargin = time.Second
)

func taskID(job string, attempt uint32) string { return fmt.Sprintf("%s/%d", job, attempt) }

// placedRecord is a request at a backend server.
type placedRecord struct {
	standin.RequestRecord
	backend string
}

// ran reports whether the request took a slot.
func (r placedRecord) ran() bool { return r.End != "refused" }

func (h *History) recordsByKey() map[string][]placedRecord {
	m := map[string][]placedRecord{}
	for _, b := range h.Backends {
		for _, r := range b.Records {
			m[r.Key] = append(m[r.Key], placedRecord{r, b.ID})
		}
	}
	return m
}

// wholeAnswers finds successful answers that are cut, or another request's,
// and answers without a run.
func wholeAnswers(h *History, report reportFunc) {
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
			report("%s was answered %q, not %q", c.Key, c.Body, c.Want)
		case complete == 0:
			report("%s was answered, but no backend server completed it", c.Key)
		}
	}
}

// notRun finds requests that ran although the caller was told that they did
// not.
func notRun(h *History, report reportFunc) {
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

// atMostOnce finds requests that ran twice: at all, unless the method is
// idempotent, or at the same time.
func atMostOnce(h *History, report reportFunc) {
	for key, list := range h.recordsByKey() {
		for i, r := range list {
			for _, o := range list[:i] {
				switch {
				case !r.ran() || !o.ran():
				case r.Method == http.MethodPost || r.Method == http.MethodPatch:
					report("%s %s ran at %s and at %s", r.Method, key, o.backend, r.backend)
				case overlap(r.RequestRecord, o.RequestRecord):
					report("%s %s ran at %s and at %s at the same time", r.Method, key, o.backend, r.backend)
				}
			}
		}
	}
}

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

// drain finds requests that started at a backend server later than the bound
// after its drain.
func drain(h *History, report reportFunc) {
	for _, b := range h.Backends {
		for _, r := range b.Records {
			if b.Drained != 0 && r.Started > b.Drained+int64(drainBound) {
				report("%s started at %s %v after the drain", r.Key, b.ID, time.Duration(r.Started-b.Drained))
			}
		}
	}
}

// gracefulShutdown finds requests in flight that a graceful shutdown cut:
// those that an entry had received, and those that ran behind an agent.
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

func (h *History) checkUninterrupted(c Call, s Shutdown, report reportFunc) {
	if c.Error == "" && c.Status == http.StatusOK || h.overlapsFault(c.Sent, min(c.Ended, s.Ended), 0) {
		return
	}
	report("%s was in flight when %s was shut down and ended with status %d, error %q", c.Key, s.Process, c.Status, c.Error)
}
