package agent

import (
	"time"

	"github.com/bambooscale/bambooscale/internal/chart"
	"github.com/bambooscale/bambooscale/internal/model"
	"github.com/bambooscale/bambooscale/internal/msg"
)

const (
	maxRecords      = 65_536          // of ended exchanges
	recordRetention = 2 * time.Minute // after the end of the exchange
)

// exchangeRecord is the agent's record of a request.
type exchangeRecord struct {
	id         model.RequestID
	state      chart.State
	entry      model.EntryID
	class      model.Class
	long       bool
	stateSince time.Time // start of the wait, then of the run
	refusal    msg.RefusedReason
	reply      chan<- decision
	cancel     func()    // cancels the HTTP request to the backend server
	credit     *credit   // spent on the request; nil after its end
	address    string    // of the backend server, host:port
	settledAt  time.Time // until then the backend server may still run the request
}

// sendDecision sends d to the exchange, if one waits for a decision.
func (r *exchangeRecord) sendDecision(d decision) {
	if r.reply == nil {
		return
	}
	d.address = r.address
	select {
	case r.reply <- d:
	default: // the exchange reads only the first decision
	}
}

// entryIncarnation identifies an entry process.
type entryIncarnation struct {
	entry model.EntryID
	boot  model.Boot
}

// records holds the exchanges of an agent, including ended ones for
// recordRetention.
type records struct {
	byID map[model.RequestID]*exchangeRecord
	// highestDropped is the highest sequence number of a deleted record. A
	// request with a lower number and no record may have arrived or not.
	highestDropped map[entryIncarnation]uint64
	ended          []endedRecord // oldest first
}

// endedRecord is the time at which an exchange ended.
type endedRecord struct {
	id model.RequestID
	at time.Time // of its end
}

func newRecords() records {
	return records{byID: map[model.RequestID]*exchangeRecord{}, highestDropped: map[entryIncarnation]uint64{}}
}

// get returns the record of id. It creates one for a request that cannot have
// arrived before, and returns nil if the record may have been deleted.
func (r *records) get(id model.RequestID) *exchangeRecord {
	if rec, ok := r.byID[id]; ok {
		return rec
	}
	if id.Seq <= r.highestDropped[entryIncarnation{id.Entry, id.Boot}] {
		return nil
	}
	rec := &exchangeRecord{id: id, state: exchangeChart.Initial()}
	r.byID[id] = rec
	return rec
}

// retire starts the retention of an ended exchange and deletes old records.
func (r *records) retire(rec *exchangeRecord, now time.Time) {
	rec.reply, rec.cancel, rec.credit = nil, nil, nil
	r.ended = append(r.ended, endedRecord{rec.id, now})
	for len(r.ended) > maxRecords || (len(r.ended) > 0 && now.Sub(r.ended[0].at) > recordRetention) {
		old := r.ended[0].id
		r.ended = r.ended[1:]
		delete(r.byID, old)
		process := entryIncarnation{old.Entry, old.Boot}
		r.highestDropped[process] = max(r.highestDropped[process], old.Seq)
	}
}

// outcome returns the state that an OutcomeReply reports. An exchange counts as
// started until settledAt, so that the entry does not run the request again
// while the backend server may still run it.
func (r *exchangeRecord) outcome(now time.Time) msg.ExchangeState {
	switch {
	case r.state == exRefused:
		return msg.ExchangeNotStarted
	case r.state == exFinished && !now.Before(r.settledAt):
		return msg.ExchangeFinished
	}
	return msg.ExchangeStarted
}
