// Package capacity measures the cost of each agent, link, task, job, request,
// configuration item and edit to the daemons of each role, and computes the
// tables of docs/CAPACITY.md from the recorded slopes. All of its code is in
// tests and benchmarks.
package capacity
