// Package capacity measures what each role costs for each agent, link, task,
// job, request, configuration item and edit, and computes docs/CAPACITY.md
// from the recorded slopes. It has no code outside of its tests.
package capacity
