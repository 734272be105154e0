package agent

import (
	"encoding/json"
	"net"
	"net/http"

	"github.com/bambooscale/bambooscale/internal/finding"
	"github.com/bambooscale/bambooscale/internal/model"
)

// maxAnnouncementBytes bounds the body of an announcement.
const maxAnnouncementBytes = 16 << 10

// Upper bounds of announced values.
const (
	maxSlots       = 4096
	maxConnections = 65_536
)

// announcement is the JSON body of POST /v1/announce. docs/OPERATIONS.md
// documents its fields.
type announcement struct {
	ID          model.BackendID `json:"id"`
	Service     model.Service   `json:"service"`
	Address     string          `json:"address"`
	Slots       int             `json:"slots"`
	Connections int             `json:"connections"`
	Instance    string          `json:"instance"`
}

// validate returns the fields with missing or invalid values.
func (a announcement) validate() finding.List {
	var findings finding.List
	if a.Service == "" {
		findings.Add("announcement", 0, "service", "is missing")
	}
	if host, _, err := net.SplitHostPort(a.Address); err != nil || net.ParseIP(host) == nil {
		findings.Add("announcement", 0, "address", "%q is not an IP address with a port", a.Address)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		findings.Add("announcement", 0, "slots", "%d is not between 1 and %d", a.Slots, maxSlots)
	}
	if a.Connections < 1 || a.Connections > maxConnections {
		findings.Add("announcement", 0, "connections", "%d is not between 1 and %d", a.Connections, maxConnections)
	}
	return findings
}

// AnnounceHandler serves the HTTP requests with which the backend server of the
// host announces and drains itself. An announcement without an ID gets one
// formed from the service and worker.
func AnnounceHandler(slots Address, worker model.WorkerID) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", func(w http.ResponseWriter, r *http.Request) {
		var a announcement
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementBytes)).Decode(&a); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := a.validate().Err(); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if a.ID == "" {
			a.ID = model.BackendID(string(a.Service) + "@" + string(worker))
		}
		m := Announce{Backend: a.ID, Service: a.Service, Address: a.Address, Slots: a.Slots,
			Connections: a.Connections, Instance: a.Instance}
		writeReply(w, slots.Send(r.Context(), m))
	})
	mux.HandleFunc("POST /v1/drain", func(w http.ResponseWriter, r *http.Request) {
		writeReply(w, slots.Send(r.Context(), Drain{}))
	})
	return mux
}

// writeReply writes status 204, or 503 with the error of the slots actor.
func writeReply(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
