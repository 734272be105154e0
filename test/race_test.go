//go:build race

package test

// Builds the programs with the race detector if the tests are built with it.
func init() { buildFlags = []string{"-race"} }
