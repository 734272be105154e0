package operator

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/configstore"
	"github.com/bambooscale/bambooscale/internal/httpserve/servetest"
	"github.com/bambooscale/bambooscale/internal/model"
)

// operatorConn is an operator's connection to the API of a fixture.
type operatorConn struct {
	here   net.Conn
	in     *bufio.Reader
	server *servetest.HeldConn
}

func (f *fixture) serveOne() *operatorConn {
	l := servetest.Listen(f.t.Context())
	f.api.Serve(f.group, l)
	c := &operatorConn{server: servetest.NewHeldConn()}
	c.here = l.Dial(c.server.Wrap)
	c.in = bufio.NewReader(c.here)
	return c
}

func (c *operatorConn) send(path string) error {
	_, err := io.WriteString(c.here, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
	return err
}

// status reads an answer to its end and returns its status, or 0.
func (c *operatorConn) status() int {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0
	}
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}

// closeTimeout is the limit of Close in these tests.
const closeTimeout = time.Minute

func (f *fixture) closeAPI() actor.Reply[error] {
	closed := actor.NewReply[error]()
	go func() {
		ctx, cancel := context.WithTimeout(f.t.Context(), closeTimeout)
		defer cancel()
		closed.Put(f.api.Close(ctx))
	}()
	return closed
}

// Guards against an operator's request that is read from an idle connection and
// not answered because the entry ends at that moment: Shutdown of net/http closes
// connections that it takes for idle.
func TestEndOfTheAPIAnswersARequestThatWasJustRead(t *testing.T) {
	withFixture(t, "", func(f *fixture) {
		c := f.serveOne()
		require.NoError(f.t, c.send("/healthz"))
		require.Equal(f.t, 200, c.status())
		c.server.Hold <- true
		sent := actor.NewReply[error]()
		go func() { sent.Put(c.send("/healthz")) }()
		<-c.server.Held // the server has the request, and net/http does not know it yet
		closed := f.closeAPI()
		synctest.Wait()
		c.server.Released <- struct{}{}
		require.Equal(f.t, 200, c.status())
		require.NoError(f.t, <-sent.C())
		require.NoError(f.t, <-closed.C())
	})
}

// Guards against a wait for a configuration that holds up the end of the entry,
// and against one that is cut without an answer.
func TestEndOfTheAPIAnswersAWaitForAConfiguration(t *testing.T) {
	withFixture(t, "", func(f *fixture) {
		f.store.status = configstore.Status{Version: 3, Daemons: []model.AppliedVersion{{Daemon: "w1", Version: 2}}}
		c := f.serveOne()
		require.NoError(f.t, c.send("/v1/config/status?wait=50s"))
		synctest.Wait()
		started, closed := time.Now(), f.closeAPI()
		require.NotZero(f.t, c.status())
		require.NoError(f.t, <-closed.C())
		require.LessOrEqual(f.t, time.Since(started), answerTime+time.Second)
	})
}
