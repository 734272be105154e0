package standin

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// Objects simulates the object store. It implements storage.Objects for use
// inside the process. Callers must not modify the data that Get returns.
type Objects struct {
	to actor.Address[message[*objectState]]
}

// objectState is owned by the object store's actor.
type objectState struct {
	*faultInjector
	data map[string][]byte
}

// NewObjects starts an object store in g.
func NewObjects(g *actor.Group, f StoreFaults) *Objects {
	s := &objectState{newFaultInjector(f), map[string][]byte{}}
	return &Objects{spawn(g, "object store", s.timers, s)}
}

type objectReply[T any] = actor.Reply[answer[T]]

// objectWriteMsg stores data, or deletes the object if data is nil.
type objectWriteMsg struct {
	name  string
	data  []byte
	reply objectReply[struct{}]
}

func (m objectWriteMsg) handle(s *objectState) {
	s.write(func() error {
		if m.data == nil {
			delete(s.data, m.name)
		} else {
			s.data[m.name] = m.data
		}
		return nil
	}, func(err error) { m.reply.Put(answer[struct{}]{err: err}) })
}

type objectReadMsg struct {
	name  string
	reply objectReply[[]byte]
}

func (m objectReadMsg) handle(s *objectState) {
	s.read(func(err error) {
		data, ok := s.data[m.name]
		if err == nil && !ok {
			err = storage.ErrNotFound
		}
		m.reply.Put(answer[[]byte]{data, err})
	})
}

type objectControlMsg struct {
	faults *StoreFaults
	reply  objectReply[StoreState]
}

func (m objectControlMsg) handle(s *objectState) {
	if m.faults != nil {
		s.faultInjector.set(*m.faults)
	}
	m.reply.Put(answer[StoreState]{value: s.StoreState})
}

type objectNamesMsg struct{ reply objectReply[[]string] }

func (m objectNamesMsg) handle(s *objectState) {
	names := make([]string, 0, len(s.data))
	for n := range s.data {
		names = append(names, n)
	}
	sort.Strings(names)
	m.reply.Put(answer[[]string]{value: names})
}

// Put implements storage.Objects.
func (o *Objects) Put(ctx context.Context, name string, data []byte) error {
	return o.write(ctx, name, append([]byte{}, data...))
}

// Delete implements storage.Objects. Deleting an absent object has no effect.
func (o *Objects) Delete(ctx context.Context, name string) error { return o.write(ctx, name, nil) }

func (o *Objects) write(ctx context.Context, name string, data []byte) error {
	_, err := ask(ctx, o.to, func(r objectReply[struct{}]) message[*objectState] { return objectWriteMsg{name, data, r} })
	return err
}

// Get implements storage.Objects.
func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	data, err := ask(ctx, o.to, func(r objectReply[[]byte]) message[*objectState] { return objectReadMsg{name, r} })
	return slices.Clip(data), readError(err)
}

// SetFaults replaces the faults. Limits take effect at once.
func (o *Objects) SetFaults(ctx context.Context, f StoreFaults) error {
	_, err := o.control(ctx, &f)
	return err
}

// State returns the current faults and the counters.
func (o *Objects) State(ctx context.Context) (StoreState, error) { return o.control(ctx, nil) }

func (o *Objects) control(ctx context.Context, f *StoreFaults) (StoreState, error) {
	return ask(ctx, o.to, func(r objectReply[StoreState]) message[*objectState] { return objectControlMsg{f, r} })
}

// Names lists the objects in alphabetical order. It is not subject to faults.
func (o *Objects) Names(ctx context.Context) ([]string, error) {
	return ask(ctx, o.to, func(r objectReply[[]string]) message[*objectState] { return objectNamesMsg{r} })
}

// Serve serves the object store's HTTP interface on l until ctx ends.
func (o *Objects) Serve(ctx context.Context, l net.Listener) error {
	return serve(ctx, l, &http.Server{Handler: o.Handler()})
}

// Handler returns the object store's HTTP interface. GET /control/names lists
// the objects.
func (o *Objects) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/objects/{name...}", o.serveObject)
	mux.HandleFunc("/control", serveControl(o.control))
	mux.HandleFunc("GET /control/names", func(w http.ResponseWriter, r *http.Request) {
		names, err := o.Names(r.Context())
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, names)
	})
	return mux
}

func (o *Objects) serveObject(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	// A write that has arrived is applied even if its client disconnects.
	ctx := context.WithoutCancel(r.Context())
	var data []byte
	var err error
	switch r.Method {
	case http.MethodPut:
		if data, err = io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
			http.Error(w, "request body: "+err.Error(), http.StatusBadRequest)
			return
		}
		err = o.Put(ctx, name, data)
	case http.MethodGet:
		data, err = o.Get(r.Context(), name)
	case http.MethodDelete:
		err = o.Delete(ctx, name)
	default:
		http.Error(w, "use PUT, GET or DELETE", http.StatusMethodNotAllowed)
		return
	}
	switch {
	case err != nil:
		writeError(w, err)
	case r.Method == http.MethodGet:
		_, _ = w.Write(data)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}
