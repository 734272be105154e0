package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a process that a drain or a log which does not end keeps from ending.
func TestWhatDoesNotEndIsNotAwaited(t *testing.T) {
	block := make(chan struct{})
	t.Cleanup(func() { close(block) })
	runWithin(10*time.Millisecond, func() { <-block })

	called := false
	runWithin(time.Minute, func() { called = true })
	require.True(t, called)
}
