//go:build race

package singlecpu

import "runtime"

func init() { runtime.GOMAXPROCS(1) }
