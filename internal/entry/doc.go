// Package entry serves callers: it admits, queues and dispatches requests
// against the credits that agents grant. It knows nothing of jobs.
package entry
