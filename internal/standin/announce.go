package standin

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"

	"github.com/bambooscale/bambooscale/internal/actor"
)

// announcer holds what a backend server needs to post its announcements.
type announcer struct {
	baseURL string
	body    []byte
	client  *http.Client
}

func newAnnouncer(c BackendConfig) announcer {
	body, err := json.Marshal(Announcement{c.Service, c.Address, c.Slots, c.Connections, c.Class, rand.Text()})
	if err != nil {
		panic(err) // unreachable: the type contains only strings and integers
	}
	// The timeout ends a call to a slow agent by the time of the next one.
	client := &http.Client{Timeout: announceInterval, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	return announcer{c.Agent, body, client}
}

// post sends an announcement to path at the agent from a goroutine of its own.
// If the agent answers with a 2xx status, onAccepted is sent to the backend
// server's actor, unless it is nil.
func (s *backendState) post(path string, onAccepted message[*backendState]) {
	if s.Agent == "" {
		return
	}
	a, self := s.announcer, s.self
	actor.Go(s.group, "announcement", func(ctx context.Context) error {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, a.baseURL+path, bytes.NewReader(a.body))
		if err != nil {
			return err
		}
		req.Header.Set("Content-Type", "application/json")
		resp, err := a.client.Do(req)
		if err != nil {
			return nil // the chart repeats it after announceInterval
		}
		_ = resp.Body.Close()
		if resp.StatusCode/100 == 2 && onAccepted != nil {
			_ = self.Send(ctx, onAccepted)
		}
		return nil
	})
}
