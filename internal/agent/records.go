package agent

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

const (
	keepRecords = 65_536          // outcomes kept per agent
	keepFor     = 2 * time.Minute // after the end of the exchange
)

// exchangeRecord is what the agent knows of one request.
type exchangeRecord struct {
	id      model.RequestID
	state   chart.State
	entry   model.EntryID
	class   model.Class
	long    bool
	began   time.Time // of the wait, then of the run
	refusal msg.RefusedReason
	reply   chan<- verdict
	cancel  func()
	credit  *credit
	address string
	settles time.Time // the backend server may run the request until then
}

func (r *exchangeRecord) tell(v verdict) {
	if r.reply == nil {
		return
	}
	v.address = r.address
	select {
	case r.reply <- v:
	default: // the exchange takes one verdict; a second one comes too late
	}
}

// incarnation identifies an entry process.
type incarnation struct {
	entry model.EntryID
	boot  model.Boot
}

// records holds the exchanges of an agent and the outcome of ended ones.
type records struct {
	byID map[model.RequestID]*exchangeRecord
	// dropped is the highest sequence number whose outcome was dropped: of a
	// lower unknown one it is not known whether it ever arrived.
	dropped map[incarnation]uint64
	ended   []endedRecord // oldest first
}

type endedRecord struct {
	id model.RequestID
	at time.Time
}

func newRecords() records {
	return records{byID: map[model.RequestID]*exchangeRecord{}, dropped: map[incarnation]uint64{}}
}

// get returns the record of id, a new one if it may be created, or nil if the
// outcome was dropped.
func (r *records) get(id model.RequestID) *exchangeRecord {
	if rec, ok := r.byID[id]; ok {
		return rec
	}
	if id.Seq <= r.dropped[incarnation{id.Entry, id.Boot}] {
		return nil
	}
	rec := &exchangeRecord{id: id, state: exchangeChart.Initial()}
	r.byID[id] = rec
	return rec
}

// retire starts the time for which the outcome of rec is kept.
func (r *records) retire(rec *exchangeRecord, now time.Time) {
	rec.reply, rec.cancel, rec.credit = nil, nil, nil
	r.ended = append(r.ended, endedRecord{rec.id, now})
	for len(r.ended) > keepRecords || (len(r.ended) > 0 && now.Sub(r.ended[0].at) > keepFor) {
		old := r.ended[0].id
		r.ended = r.ended[1:]
		delete(r.byID, old)
		from := incarnation{old.Entry, old.Boot}
		r.dropped[from] = max(r.dropped[from], old.Seq)
	}
}

// outcome is the state that an OutcomeReply reports.
func (r *exchangeRecord) outcome(now time.Time) msg.ExchangeState {
	switch {
	case r.state == exRefused:
		return msg.ExchangeNotStarted
	case r.state == exFinished && !now.Before(r.settles):
		return msg.ExchangeFinished
	}
	return msg.ExchangeStarted
}
