package configstore

import (
	"context"
	"fmt"

	"github.com/apex/log"
	"github.com/cockroachdb/errors"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/rows"
	"github.com/bambooscale/bambooscale/internal/storage"
)

const (
	nodeMailbox   = 256
	editorMailbox = 32 // queued edits; Edit returns ErrUnavailable for more
)

// Handle gives access to a daemon's configuration. It may be copied and used
// by any goroutine.
type Handle struct{ addr actor.Address[message] }

// LinkUp announces a link to a peer and the version that the peer named in its
// hello. Messages for the peer are sent to the given address; a message that
// its full mailbox drops is sent again later.
func (h Handle) LinkUp(ctx context.Context, peer string, version model.ConfigVersion, to actor.Address[msg.Control]) error {
	return h.addr.Send(ctx, &linkUp{peer: peer, version: version, to: to})
}

// LinkDown announces the end of the link with this address.
func (h Handle) LinkDown(ctx context.Context, peer string, to actor.Address[msg.Control]) error {
	return h.addr.Send(ctx, &linkDown{peer: peer, to: to})
}

// Deliver passes on a ConfigDelta, ConfigRequest or ConfigApplied of a peer.
// Other messages are ignored.
func (h Handle) Deliver(ctx context.Context, peer string, m msg.Control) error {
	return h.addr.Send(ctx, &fromPeer{peer: peer, m: m})
}

// Subscribe registers deliver, which the configuration's actor calls with the
// configuration in use, if there is one, and after each change. deliver must
// put the update into the subscriber's mailbox without waiting (TrySend) and
// report whether it did; if not, it is called again with the newest update.
func (h Handle) Subscribe(ctx context.Context, deliver func(Update) bool) error {
	return h.addr.Send(ctx, &subscribe{deliver: deliver})
}

// Current returns the configuration in use. In state empty it is the empty
// snapshot.
func (h Handle) Current(ctx context.Context) (Update, error) {
	return actor.Ask(ctx, h.addr, func(r actor.Reply[Update]) message { return &getUpdate{answer: r} })
}

// Status returns the versions in use at the daemon and its linked peers.
func (h Handle) Status(ctx context.Context) (Status, error) {
	return actor.Ask(ctx, h.addr, func(r actor.Reply[Status]) message { return &getStatus{answer: r} })
}

// StartApplier starts the actor that receives the configuration of an agent.
// Its peers are entries.
func StartApplier(g *actor.Group, worker model.WorkerID, l log.Interface) Handle {
	n := newNode(string(worker), false, l)
	return Handle{spawnNode(g, n)}
}

func spawnNode(g *actor.Group, n *node) actor.Address[message] {
	return actor.Spawn(g, actor.Spec[message]{Name: "config", Mailbox: nodeMailbox, Restart: actor.OnFailure, Run: n.run})
}

// StoreConfig holds the parameters of a Store.
type StoreConfig struct {
	ID        model.EntryID
	Table     storage.Table
	Validator Validator
	Log       log.Interface
	// KeepVersions is the number of versions kept in the log; 0 means 10,000.
	KeepVersions model.ConfigVersion
}

func (c StoreConfig) keepVersions() model.ConfigVersion {
	if c.KeepVersions == 0 {
		return defaultKeepVersions
	}
	return c.KeepVersions
}

// Store gives access to the configuration of an entry, whose peers are agents,
// and accepts edits. Any goroutine may use it.
type Store struct {
	Handle
	table     storage.Table
	validator Validator
	editor    actor.Address[editRequest]
}

// StartStore starts the actors of an entry's configuration.
func StartStore(g *actor.Group, c StoreConfig) *Store {
	addr := spawnNode(g, newNode(string(c.ID), true, c.Log))
	p := &poller{table: c.Table, node: addr, log: c.Log}
	poller := actor.Spawn(g, actor.Spec[pollRequest]{Name: "config-poller", Mailbox: 1, Restart: actor.OnFailure, Run: p.run})
	_ = addr.Send(g.Context(), &setSource{poller}) // fails only when the group has ended
	e := &editor{table: c.Table, node: addr, log: c.Log, keepVersions: c.keepVersions()}
	return &Store{Handle: Handle{addr}, table: c.Table, validator: c.Validator,
		editor: actor.Spawn(g, actor.Spec[editRequest]{Name: "config-editor", Mailbox: editorMailbox, Restart: actor.OnFailure, Run: e.run})}
}

// Edit commits an edit. The error is a finding.List if the edit is invalid, a
// *ConflictError, storage.ErrUnavailable or storage.ErrRefused if the edit had
// no effect, or storage.ErrOutcomeUnknown if it may have taken effect.
func (s *Store) Edit(ctx context.Context, e Edit) (EditResult, error) {
	findings := s.validator.Validate(e)
	if err := findings.Err(); err != nil {
		return EditResult{}, err
	}
	request := editRequest{ctx: ctx, edit: e, reply: actor.NewReply[editReply]()}
	if !s.editor.TrySend(request) {
		return EditResult{}, fmt.Errorf("%w: too many edits are waiting", storage.ErrUnavailable)
	}
	select {
	case reply := <-request.reply.C():
		return reply.result, baseErrorAsFinding(e, reply.err)
	case <-s.editor.Done():
	case <-ctx.Done():
	}
	return EditResult{}, fmt.Errorf("%w: edit %s did not end in time", storage.ErrOutcomeUnknown, e.ID)
}

// baseErrorAsFinding returns an error about the edit's base as a finding, and
// other errors unchanged.
func baseErrorAsFinding(e Edit, err error) error {
	if !errors.Is(err, errBaseTooNew) && !errors.Is(err, errBaseTooOld) {
		return err
	}
	return editFinding("base", err)
}

// History returns at most limit accepted edits with versions below before,
// newest first. With before 0 it starts at the newest edit.
func (s *Store) History(ctx context.Context, before model.ConfigVersion, limit int) ([]rows.ConfigLog, error) {
	if before == 0 {
		head, _, err := readRow[rows.ConfigHead](ctx, s.table, rows.ConfigHeadKey)
		if err != nil {
			return nil, err
		}
		before = head.Version + 1
	}
	list := []rows.ConfigLog{}
	for v := before - 1; v > 0 && len(list) < limit; v-- {
		entry, rev, err := readRow[rows.ConfigLog](ctx, s.table, rows.ConfigLogKey(v))
		if err != nil {
			return nil, err
		}
		if rev == 0 {
			break // older edits are no longer kept
		}
		list = append(list, entry)
	}
	return list, nil
}
