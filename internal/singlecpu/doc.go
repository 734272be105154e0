// Package singlecpu runs the tests of a package on one CPU when the race detector
// is on. A test file of each package that uses testing/synctest imports it;
// internal/shape checks that.
//
// A channel timer of a synctest bubble that becomes due while nobody is blocked on
// it runs in the goroutine that receives from it. All these runs use one race
// context, that of the bubble, without a lock (bubble.timers.raceCtx in unlockAndRun
// of runtime/time.go, Go 1.26). Two of them on different CPUs corrupt the state of
// the race detector, which then ends the process with a failed CHECK or a
// segmentation violation in some later test. On one CPU they can't overlap.
// The detector compares logical clocks, so it reports races on one CPU too.
package singlecpu
