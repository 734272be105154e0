package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/configstore"
	"github.com/bambooscale/bambooscale/internal/finding"
	"github.com/bambooscale/bambooscale/internal/model"
)

const (
	dialTimeout = 3 * time.Second
	// callTimeout is longer than any request takes at the server.
	callTimeout = 80 * time.Second
	maxAnswer   = 64 << 20 // bytes
)

// client speaks the operators' API.
type client struct {
	base  *url.URL
	token string
	http  *http.Client
}

func newClient(server, token string) (*client, error) {
	if !strings.Contains(server, "://") {
		server = "http://" + server
	}
	u, err := url.Parse(server)
	if err != nil || u.Host == "" {
		return nil, fmt.Errorf("--server %q is not a URL", server)
	}
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, Proxy: http.ProxyFromEnvironment}
	return &client{base: u, token: token, http: &http.Client{Transport: transport, Timeout: callTimeout}}, nil
}

// remoteError is an answer of the API that is not a success.
type remoteError struct {
	Status   int                        `json:"-"`
	Text     string                     `json:"error"`
	Findings finding.List               `json:"findings"`
	Conflict *configstore.ConflictError `json:"conflict"`
	Outcome  string                     `json:"outcome"`
}

func (e *remoteError) Error() string {
	if len(e.Findings) > 0 {
		return e.Text + ":\n" + e.Findings.Error()
	}
	if e.Outcome != "" {
		return fmt.Sprintf("%s (outcome: %s)", e.Text, e.Outcome)
	}
	return e.Text
}

func (e *remoteError) exitCode() int {
	switch e.Status {
	case http.StatusBadRequest, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity:
		return ExitUsage
	case http.StatusConflict:
		return ExitConflict
	case http.StatusNotFound:
		return ExitNotFound
	case http.StatusUnauthorized, http.StatusForbidden:
		return ExitUnavailable
	case http.StatusServiceUnavailable:
		if e.Outcome == model.OutcomeUnknown.String() {
			return ExitUnknown
		}
		return ExitUnavailable
	}
	return ExitFailure
}

// get reads a resource into out.
func (c *client) get(ctx context.Context, path string, query url.Values, out any) error {
	raw, err := c.raw(ctx, http.MethodGet, path, query, nil)
	if err != nil {
		return err
	}
	return decodeAnswer(raw, out)
}

// send changes something and reads the answer into out.
func (c *client) send(ctx context.Context, method, path string, query url.Values, body, out any) error {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return err
		}
	}
	raw, err := c.raw(ctx, method, path, query, raw)
	if err != nil {
		return err
	}
	return decodeAnswer(raw, out)
}

func decodeAnswer(raw []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber() // large numbers are shown as they were sent
	if err := dec.Decode(out); err != nil {
		return fmt.Errorf("the server's answer cannot be decoded: %w", err)
	}
	return nil
}

// raw sends a request and returns the answer's body.
func (c *client) raw(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, error) {
	u := c.base.JoinPath(path)
	u.RawQuery = query.Encode()
	req, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if c.token != "" {
		req.Header.Set("Authorization", "Bearer "+c.token)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, lost(method, err)
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
	if err != nil {
		return nil, lost(method, err)
	}
	if res.StatusCode >= 300 {
		e := &remoteError{Status: res.StatusCode}
		if json.Unmarshal(raw, e) != nil || e.Text == "" {
			e.Text = fmt.Sprintf("the server answered %s", res.Status)
		}
		return nil, e
	}
	return raw, nil
}

// lost gives an error of the connection its exit code: a change may have
// taken effect unless the connection could not be opened.
func lost(method string, err error) error {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return failure{ExitUnavailable, fmt.Errorf("%w; name the operators' API of a running entry with --server or BAMBOOSCALE_SERVER", err)}
	case method == http.MethodGet:
		return failure{ExitUnavailable, err}
	}
	return failure{ExitUnknown, fmt.Errorf("the answer was lost, so it may have been done: %w", err)}
}
