// Package soak holds a randomized soak of the real programs: its tests start
// them as separate processes on loopback, inject faults from outside and check
// the promises of the system while it runs. A seed repeats the series of faults.
//
//	go test ./soak                                  a short run
//	SOAK_SEEDS=1-50 SOAK_SECONDS=20 go test ./soak  a long one
package soak
