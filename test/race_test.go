//go:build race

package test

// The programs are built with the race detector if the tests are.
func init() { buildFlags = []string{"-race"} }
