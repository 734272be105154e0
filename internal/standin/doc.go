// Package standin simulates the systems that bambooscale depends on: the
// table service, the object store, workers and backend servers. Each simulator
// is an actor that owns its state. Its methods can be called inside the
// process, or it serves the HTTP interface that docs/design.md section 7
// specifies for the real system.
//
// Every simulator serves POST /control, which sets the faults to simulate, and
// GET /control, which returns its state and counters. Faults that are absent
// from the posted JSON object are switched off.
package standin
