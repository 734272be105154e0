// Package entry serves callers: it admits, queues and dispatches requests
// against the credits that agents grant. It does not depend on jobs.
package entry
