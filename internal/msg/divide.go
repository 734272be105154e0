package msg

import "github.com/bambooscale/bambooscale/internal/workload"

// Divisible is a message whose lists may exceed what a link sends at once.
type Divisible interface {
	Control
	// Items returns the number of items in the lists.
	Items() int
	// Size returns about the size of the encoded items, in bytes. It is not below it.
	Size() int
	// Divide returns two messages with a part of the items each, in order. It is called
	// with two items or more.
	Divide() (first, second Control)
}

// Joinable is a Divisible whose receiver may not apply a part of it. The parts are joined
// before they are delivered.
type Joinable interface {
	Divisible
	// Continued reports whether the next message of the type continues this one.
	Continued() bool
	// Join returns the message with the items of next, which continues it.
	Join(next Control) (Control, bool)
}

// halves divides a list after n items. What it returns shares the items of list.
func halves[T any](list []T, n int) (first, second []T) {
	n = min(n, len(list))
	return list[:n:n], list[n:]
}

const (
	// itemBytes is about the encoding of an item beside its texts, at most.
	itemBytes = 48
	// numberBytes is the encoding of the numbers of a run, at most.
	numberBytes = 48
)

// sum returns the sum of the sizes of the items of a list.
func sum[T any](list []T, size func(*T) int) int {
	n := 0
	for i := range list {
		n += size(&list[i])
	}
	return n
}

func runBytes(id *workload.RunID) int { return len(id.Task.Job) + numberBytes }

func (s *RunStatus) bytes() int { return runBytes(&s.Run) + len(s.Checkpoint) + itemBytes }

func (e *RunEnd) bytes() int { return runBytes(&e.Run) + len(e.Checkpoint) + itemBytes }

func (s *RunSize) bytes() int { return runBytes(&s.Run) + len(s.Image) + 2*itemBytes }

// Items implements Divisible.
func (m *Members) Items() int { return len(m.Entries) }

// Size implements Divisible.
func (m *Members) Size() int {
	return sum(m.Entries, func(e *Member) int { return len(e.Name) + len(e.Address) + itemBytes })
}

// Divide implements Divisible.
func (m *Members) Divide() (first, second Control) {
	a, b := *m, *m
	a.Entries, b.Entries = halves(m.Entries, m.Items()/2)
	return &a, &b
}

// Items implements Divisible.
func (m *StartRuns) Items() int { return len(m.Starts) }

// Size implements Divisible.
func (m *StartRuns) Size() int {
	return sum(m.Starts, func(s *RunStart) int { return s.Size.bytes() + len(s.Specification) + len(s.Checkpoint) + itemBytes })
}

// Divide implements Divisible.
func (m *StartRuns) Divide() (first, second Control) {
	a, b := *m, *m
	a.Starts, b.Starts = halves(m.Starts, m.Items()/2)
	return &a, &b
}

// Items implements Divisible.
func (m *StopRuns) Items() int { return len(m.Runs) }

// Size implements Divisible.
func (m *StopRuns) Size() int {
	return sum(m.Runs, runBytes)
}

// Divide implements Divisible.
func (m *StopRuns) Divide() (first, second Control) {
	a, b := *m, *m
	a.Runs, b.Runs = halves(m.Runs, m.Items()/2)
	return &a, &b
}

// Items implements Divisible.
func (m *RunsChanged) Items() int {
	return len(m.Started) + len(m.Refused) + len(m.Unconfirmed) + len(m.Ended)
}

// Size implements Divisible.
func (m *RunsChanged) Size() int {
	return sum(m.Started, runBytes) + sum(m.Refused, runBytes) + sum(m.Unconfirmed, runBytes) + sum(m.Ended, (*RunEnd).bytes)
}

// Divide implements Divisible. Started and unconfirmed runs come first: what follows may
// be their end.
func (m *RunsChanged) Divide() (first, second Control) {
	a, b := *m, *m
	n := m.Items() / 2
	a.Started, b.Started = halves(m.Started, n)
	n -= len(a.Started)
	a.Unconfirmed, b.Unconfirmed = halves(m.Unconfirmed, n)
	n -= len(a.Unconfirmed)
	a.Refused, b.Refused = halves(m.Refused, n)
	n -= len(a.Refused)
	a.Ended, b.Ended = halves(m.Ended, n)
	return &a, &b
}

// Items implements Divisible.
func (m *LeaseGrant) Items() int { return len(m.Interference) }

// Size implements Divisible.
func (m *LeaseGrant) Size() int {
	return sum(m.Interference, func(i *Interference) int { return len(i.ServingImage) + len(i.BestEffortImage) + itemBytes })
}

// Divide implements Divisible.
func (m *LeaseGrant) Divide() (first, second Control) {
	a, b := *m, *m
	a.Interference, b.Interference = halves(m.Interference, m.Items()/2)
	return &a, &b
}

// Items implements Divisible.
func (m *RunsProgress) Items() int { return len(m.Runs) }

// Size implements Divisible.
func (m *RunsProgress) Size() int {
	return sum(m.Runs, (*RunStatus).bytes)
}

// Divide implements Divisible.
func (m *RunsProgress) Divide() (first, second Control) {
	a, b := *m, *m
	a.Runs, b.Runs = halves(m.Runs, m.Items()/2)
	a.More = true
	return &a, &b
}

// Continued implements Joinable.
func (m *RunsProgress) Continued() bool { return m.More }

// Join implements Joinable.
func (m *RunsProgress) Join(next Control) (Control, bool) {
	n, ok := next.(*RunsProgress)
	if !ok {
		return nil, false
	}
	joined := *n
	joined.Runs = append(m.Runs, n.Runs...)
	return &joined, true
}

// Items implements Divisible.
func (m *HostInventory) Items() int { return len(m.Runs) + len(m.Ended) }

// Size implements Divisible.
func (m *HostInventory) Size() int {
	return sum(m.Runs, (*RunStatus).bytes) + sum(m.Ended, (*RunEnd).bytes)
}

// Divide implements Divisible.
func (m *HostInventory) Divide() (first, second Control) {
	a, b := *m, *m
	n := m.Items() / 2
	a.Runs, b.Runs = halves(m.Runs, n)
	a.Ended, b.Ended = halves(m.Ended, n-len(a.Runs))
	a.More = true
	return &a, &b
}

// Continued implements Joinable.
func (m *HostInventory) Continued() bool { return m.More }

// Join implements Joinable.
func (m *HostInventory) Join(next Control) (Control, bool) {
	n, ok := next.(*HostInventory)
	if !ok || n.Number != m.Number {
		return nil, false
	}
	joined := *n
	joined.Runs, joined.Ended = append(m.Runs, n.Runs...), append(m.Ended, n.Ended...)
	return &joined, true
}

// Items implements Divisible.
func (m *InventoryAccepted) Items() int { return len(m.Sizes) }

// Size implements Divisible.
func (m *InventoryAccepted) Size() int {
	return sum(m.Sizes, (*RunSize).bytes)
}

// Divide implements Divisible.
func (m *InventoryAccepted) Divide() (first, second Control) {
	a, b := *m, *m
	a.Sizes, b.Sizes = halves(m.Sizes, m.Items()/2)
	a.More = true
	return &a, &b
}

// Continued implements Joinable.
func (m *InventoryAccepted) Continued() bool { return m.More }

// Join implements Joinable.
func (m *InventoryAccepted) Join(next Control) (Control, bool) {
	n, ok := next.(*InventoryAccepted)
	if !ok || n.Number != m.Number {
		return nil, false
	}
	joined := *n
	joined.Sizes = append(m.Sizes, n.Sizes...)
	return &joined, true
}

// Items implements Divisible.
func (m *RunsReleased) Items() int { return len(m.Hosts) }

// Size implements Divisible.
func (m *RunsReleased) Size() int {
	return sum(m.Hosts, func(h *HostRuns) int { return len(h.Host) + sum(h.Runs, runBytes) + itemBytes })
}

// Divide implements Divisible.
func (m *RunsReleased) Divide() (first, second Control) {
	a, b := *m, *m
	a.Hosts, b.Hosts = halves(m.Hosts, m.Items()/2)
	return &a, &b
}
