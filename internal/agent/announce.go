package agent

import (
	"encoding/json"
	"net"
	"net/http"

	"github.com/bambooscale/bambooscale/internal/finding"
	"github.com/bambooscale/bambooscale/internal/model"
)

// maxAnnouncement bounds the body of an announcement in bytes.
const maxAnnouncement = 16 << 10

// Limits of what a backend server may announce.
const (
	maxSlots       = 4096
	maxConnections = 65_536
)

// announcement is the JSON body of POST /v1/announce, docs/OPERATIONS.md.
type announcement struct {
	ID          model.BackendID `json:"id"`
	Service     model.Service   `json:"service"`
	Address     string          `json:"address"`
	Slots       int             `json:"slots"`
	Connections int             `json:"connections"`
	Instance    string          `json:"instance"`
}

func (a announcement) check() finding.List {
	var found finding.List
	if a.Service == "" {
		found.Add("announcement", 0, "service", "is missing")
	}
	if host, _, err := net.SplitHostPort(a.Address); err != nil || net.ParseIP(host) == nil {
		found.Add("announcement", 0, "address", "%q is not an IP address with a port", a.Address)
	}
	if a.Slots < 1 || a.Slots > maxSlots {
		found.Add("announcement", 0, "slots", "%d is not between 1 and %d", a.Slots, maxSlots)
	}
	if a.Connections < 1 || a.Connections > maxConnections {
		found.Add("announcement", 0, "connections", "%d is not between 1 and %d", a.Connections, maxConnections)
	}
	return found
}

// AnnounceHandler serves the calls by which the backend server of the host
// announces itself. worker names the backend server if it does not.
func AnnounceHandler(slots Address, worker model.WorkerID) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", func(w http.ResponseWriter, r *http.Request) {
		var a announcement
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement)).Decode(&a); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if err := a.check().Err(); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		if a.ID == "" {
			a.ID = model.BackendID(string(a.Service) + "@" + string(worker))
		}
		m := Announce{Backend: a.ID, Service: a.Service, Address: a.Address, Slots: a.Slots,
			Connections: a.Connections, Instance: a.Instance}
		reply(w, slots.Send(r.Context(), m))
	})
	mux.HandleFunc("POST /v1/drain", func(w http.ResponseWriter, r *http.Request) {
		reply(w, slots.Send(r.Context(), Drain{}))
	})
	return mux
}

func reply(w http.ResponseWriter, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}
