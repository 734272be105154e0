// Package standin simulates the systems that bambooscale meets: the table
// service, the object store, workers and backend servers. Each simulator is
// an actor that owns its state. It is used directly inside a process, or over
// HTTP in the external interfaces of docs/design.md section 7.
//
// Every simulator serves POST /control, which sets the faults to simulate,
// and GET /control, which returns them with counters. Faults that are absent
// from the posted JSON object are switched off.
package standin
