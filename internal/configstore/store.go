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
	editorMailbox = 32 // edits that may wait; more are refused as not run
)

// Handle gives access to a daemon's configuration. It may be copied and used
// by any goroutine.
type Handle struct{ addr actor.Address[message] }

// LinkUp announces a link to a peer whose hello named the version. Messages
// for the peer are sent to the address given; a message that its mailbox has
// no room for is sent again later.
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

// Subscribe has deliver called from the configuration's actor with the
// configuration in force, if there is one, and at each change. It must put
// the update into the subscriber's mailbox without waiting (TrySend) and say
// whether it did; otherwise the newest update is offered again.
func (h Handle) Subscribe(ctx context.Context, deliver func(Update) bool) error {
	return h.addr.Send(ctx, &subscribe{deliver: deliver})
}

// Current returns the configuration in force. In state empty nothing is, and
// the snapshot is the empty one.
func (h Handle) Current(ctx context.Context) (Update, error) {
	return actor.Ask(ctx, h.addr, func(r actor.Reply[Update]) message { return &getUpdate{answer: r} })
}

// Status returns the versions in force at the daemon and its linked peers.
func (h Handle) Status(ctx context.Context) (Status, error) {
	return actor.Ask(ctx, h.addr, func(r actor.Reply[Status]) message { return &getStatus{answer: r} })
}

// StartApplier starts the configuration of an agent, whose peers are entries.
func StartApplier(g *actor.Group, worker model.WorkerID, l log.Interface) Handle {
	n := newNode(string(worker), false, l)
	return Handle{spawnNode(g, n)}
}

func spawnNode(g *actor.Group, n *node) actor.Address[message] {
	return actor.Spawn(g, actor.Spec[message]{Name: "config", Mailbox: nodeMailbox, Restart: actor.OnFailure, Run: n.run})
}

// StoreConfig is what an entry's Store needs.
type StoreConfig struct {
	ID        model.EntryID
	Table     storage.Table
	Validator Validator
	Log       log.Interface
	// KeepVersions is how many versions stay in the log; 0 means 10,000.
	KeepVersions model.ConfigVersion
}

func (c StoreConfig) keepVersions() model.ConfigVersion {
	if c.KeepVersions == 0 {
		return defaultKeepVersions
	}
	return c.KeepVersions
}

// Store is the configuration of an entry, whose peers are agents. It also
// accepts edits.
type Store struct {
	Handle
	table     storage.Table
	validator Validator
	editor    actor.Address[editRequest]
}

// StartStore starts the configuration of an entry.
func StartStore(g *actor.Group, c StoreConfig) *Store {
	addr := spawnNode(g, newNode(string(c.ID), true, c.Log))
	p := &poller{table: c.Table, node: addr, log: c.Log}
	poller := actor.Spawn(g, actor.Spec[pollRequest]{Name: "config-poller", Mailbox: 1, Restart: actor.OnFailure, Run: p.run})
	_ = addr.Send(g.Context(), &setSource{poller}) // fails only when the group has ended
	e := &editor{table: c.Table, node: addr, log: c.Log, keepVersions: c.keepVersions()}
	return &Store{Handle: Handle{addr}, table: c.Table, validator: c.Validator,
		editor: actor.Spawn(g, actor.Spec[editRequest]{Name: "config-editor", Mailbox: editorMailbox, Restart: actor.OnFailure, Run: e.run})}
}

// Edit makes an edit. Errors: a finding.List when it is invalid,
// *ConflictError, storage.ErrUnavailable or ErrRefused when it certainly had
// no effect, and storage.ErrOutcomeUnknown when that could not be determined.
func (s *Store) Edit(ctx context.Context, e Edit) (EditResult, error) {
	findings := s.validator.Validate(e)
	if err := findings.Err(); err != nil {
		return EditResult{}, err
	}
	r := editRequest{ctx: ctx, edit: e, answer: actor.NewReply[editAnswer]()}
	if !s.editor.TrySend(r) {
		return EditResult{}, fmt.Errorf("%w: too many edits are waiting", storage.ErrUnavailable)
	}
	select {
	case a := <-r.answer.C():
		return a.accepted, baseErrorAsFinding(e, a.err)
	case <-s.editor.Done():
	case <-ctx.Done():
	}
	return EditResult{}, fmt.Errorf("%w: edit %s did not end in time", storage.ErrOutcomeUnknown, e.ID)
}

// refusal makes a base that cannot be used a finding of the edit.
func baseErrorAsFinding(e Edit, err error) error {
	if !errors.Is(err, errBaseTooNew) && !errors.Is(err, errBaseTooOld) {
		return err
	}
	return editFinding("base", err)
}

// History returns accepted edits, newest first, from before a version (0: the
// newest) and at most limit of them.
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
