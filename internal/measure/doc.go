// Package measure provides seeded synthetic inputs for measurements: the two
// deployments of docs/design.md section 1 and batch jobs for them. Equal seeds
// give equal inputs.
//
// Its tests measure the policies on such inputs: they run the production actors
// in virtual time, with fakes at their interfaces. docs/measurements.md has the
// commands and the results.
package measure
