package daemon

import (
	"context"

	"github.com/apex/log"

	"github.com/bambooscale/bambooscale/internal/actor"
	"github.com/bambooscale/bambooscale/internal/configstore"
	"github.com/bambooscale/bambooscale/internal/control"
	"github.com/bambooscale/bambooscale/internal/entry"
	"github.com/bambooscale/bambooscale/internal/labels"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
	"github.com/bambooscale/bambooscale/internal/peer"
	"github.com/bambooscale/bambooscale/internal/policy/place"
	"github.com/bambooscale/bambooscale/internal/storage"
)

// cellControllers holds the controllers of the cells whose ownership an entry
// contends for. The map does not change after start. A message about another
// cell goes to the zero Address, which refuses it. Otherwise Send fails only when
// the process ends, so its errors are ignored.
type cellControllers struct {
	ctx         context.Context
	controllers map[model.Cell]actor.Address[control.Message]
}

func startCellControllers(g *actor.Group, names []model.Cell, self entry.Self, address string, table storage.Table, l log.Interface) *cellControllers {
	c := &cellControllers{ctx: g.Context(), controllers: map[model.Cell]actor.Address[control.Message]{}}
	for _, name := range names {
		c.controllers[name] = control.Start(g, control.Config{
			Options: control.Options{Cell: name, Entry: self.Entry, Boot: self.Boot, Address: address},
			Table:   table, Log: l,
		})
	}
	return c
}

// AgentUp implements entry.Subscriber.
func (c *cellControllers) AgentUp(hello msg.AgentHello, out peer.Out) {
	_ = c.controllers[hello.Cell].Send(c.ctx, control.AgentUp{Worker: hello.Worker, Cell: hello.Cell, Boot: hello.Boot, Link: out})
}

// AgentDown implements entry.Subscriber.
func (c *cellControllers) AgentDown(hello msg.AgentHello, out peer.Out) {
	_ = c.controllers[hello.Cell].Send(c.ctx, control.AgentDown{Worker: hello.Worker.ID, Link: out})
}

// FromAgent implements entry.Subscriber.
func (c *cellControllers) FromAgent(hello msg.AgentHello, m msg.Control) {
	switch m.(type) {
	case *msg.TaskReport, *msg.Inventory, *msg.LeaseAck, *msg.UsageReport, *msg.BackendState:
		_ = c.controllers[hello.Cell].Send(c.ctx, control.FromAgent{Worker: hello.Worker.ID, Msg: m})
	}
}

// setConfig sends the configuration in use to every controller. It reports
// whether every mailbox accepted the message.
func (c *cellControllers) setConfig(s *configstore.Snapshot) bool {
	m := control.ConfigChanged{Config: placementConfig(s)}
	accepted := true
	for _, controller := range c.controllers {
		accepted = controller.TrySend(m) && accepted
	}
	return accepted
}

// placementConfig returns the part of a configuration that controllers use.
func placementConfig(s *configstore.Snapshot) control.Configuration {
	c := control.Configuration{
		Quotas: s.Quotas(),
		Teams:  labelsOf[model.Team](s, model.KindTeam), Classes: labelsOf[model.Class](s, model.KindClass),
		Jobs: labelsOf[model.JobID](s, model.KindJob), Workers: labelsOf[model.WorkerID](s, model.KindWorker),
		Services: labelsOf[model.Service](s, model.KindService),
	}
	for _, sel := range s.Selectors("") {
		c.Selectors = append(c.Selectors, place.NamedSelector{Name: sel.Name, Selector: sel.Selector})
	}
	return c
}

// labelsOf returns the labels of every object of a kind by name.
func labelsOf[K ~string](s *configstore.Snapshot, kind model.ConfigKind) map[K]model.Labels {
	m := map[K]model.Labels{}
	for _, k := range s.Keys(kind) {
		m[K(k.Name)] = s.Labels(kind, k.Name)
	}
	return m
}

// status returns the status of every cell, in no particular order.
func (c *cellControllers) status(ctx context.Context) ([]model.CellStatus, error) {
	var list []model.CellStatus
	for _, controller := range c.controllers {
		status, err := actor.Ask(ctx, controller, func(r actor.Reply[model.CellStatus]) control.Message {
			return control.StatusQuery{Reply: r}
		})
		if err != nil {
			return nil, err
		}
		list = append(list, status)
	}
	return list, nil
}

// explainJob returns the explanation of the controller that knows the job, or
// storage.ErrNotFound.
func (c *cellControllers) explainJob(ctx context.Context, id model.JobID) (any, error) {
	for _, controller := range c.controllers {
		explanation, err := actor.Ask(ctx, controller, func(r actor.Reply[control.Explanation]) control.Message {
			return control.ExplainQuery{Job: id, Reply: r}
		})
		if err != nil {
			return nil, err
		}
		if explanation.Known {
			return explanation, nil
		}
	}
	return nil, storage.ErrNotFound
}

// parseSelector parses a label selector for the operators' API and returns the
// function that matches labels against it.
func parseSelector(text string) (func(model.Labels) bool, error) {
	s, err := labels.Parse(text)
	if err != nil {
		return nil, err
	}
	return s.Matches, nil
}
