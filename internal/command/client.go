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
	// requestTimeout is longer than the server takes for any request.
	requestTimeout  = 80 * time.Second
	maxResponseSize = 64 << 20 // bytes
)

// client sends requests to the operators' API of one entry.
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
	transport := &http.Transport{DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, Proxy: http.ProxyFromEnvironment, MaxIdleConnsPerHost: 1}
	return &client{base: u, token: token, http: &http.Client{Transport: transport, Timeout: requestTimeout}}, nil
}

// apiError is an error response of the API.
type apiError struct {
	Status   int                        `json:"-"`
	Text     string                     `json:"error"`
	Findings finding.List               `json:"findings"`
	Conflict *configstore.ConflictError `json:"conflict"`
	Outcome  string                     `json:"outcome"`
}

func (e *apiError) Error() string {
	if len(e.Findings) > 0 {
		return e.Text + ":\n" + e.Findings.Error()
	}
	if e.Outcome != "" {
		return fmt.Sprintf("%s (outcome: %s)", e.Text, e.Outcome)
	}
	return e.Text
}

func (e *apiError) exitCode() int {
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
			return ExitOutcomeUnknown
		}
		return ExitUnavailable
	}
	return ExitFailure
}

// get decodes a resource into out.
func (c *client) get(ctx context.Context, path string, query url.Values, out any) error {
	raw, err := c.do(ctx, http.MethodGet, path, query, nil)
	if err != nil {
		return err
	}
	return decodeResponse(raw, out)
}

// send requests a change and decodes the response into out.
func (c *client) send(ctx context.Context, method, path string, query url.Values, body, out any) error {
	var raw []byte
	if body != nil {
		var err error
		if raw, err = json.Marshal(body); err != nil {
			return err
		}
	}
	raw, err := c.do(ctx, method, path, query, raw)
	if err != nil {
		return err
	}
	return decodeResponse(raw, out)
}

func decodeResponse(raw []byte, out any) error {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber() // large numbers keep all their digits
	if err := dec.Decode(out); err != nil {
		return fmt.Errorf("decode server response: %w", err)
	}
	return nil
}

// do sends a request and returns the body of the response. The error is an
// *apiError if the server answered with one.
func (c *client) do(ctx context.Context, method, path string, query url.Values, body []byte) ([]byte, error) {
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
		return nil, connectionError(method, err)
	}
	defer res.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(res.Body, maxResponseSize))
	if err != nil {
		return nil, connectionError(method, err)
	}
	if res.StatusCode >= 300 {
		e := &apiError{Status: res.StatusCode}
		if json.Unmarshal(raw, e) != nil || e.Text == "" {
			e.Text = fmt.Sprintf("the server answered %s", res.Status)
		}
		return nil, e
	}
	return raw, nil
}

// connectionError adds the exit code to an error of the connection. A change
// may have taken effect unless the connection could not be opened.
func connectionError(method string, err error) error {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		return exitError{ExitUnavailable, fmt.Errorf("%w; name the operators' API of a running entry with --server or BAMBOOSCALE_SERVER", err)}
	case method == http.MethodGet:
		return exitError{ExitUnavailable, err}
	}
	return exitError{ExitOutcomeUnknown, fmt.Errorf("the response was lost, so the change may have taken effect: %w", err)}
}
