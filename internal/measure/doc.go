// Package measure holds the measurements of the policies: assemblies of the
// production actors in virtual time, with small fakes at their interfaces, on
// seeded input. docs/measurements.md has the commands and the results.
package measure
