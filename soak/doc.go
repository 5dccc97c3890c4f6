// Package soak holds a randomized soak of the real programs: its tests start
// them as separate processes on loopback, inject faults from outside and check
// the promises of the system while it runs. A seed repeats the series of faults.
//
//	go test ./soak                                  a short run
//	SOAK_SEEDS=1-50 SOAK_SECONDS=20 go test -parallel 4 -timeout 30m ./soak
//	                                                a long one
//	SOAK_EDGES=100 SOAK_STORAGES=40 go test ./soak  a large one
//	SOAK_PLANTS=1 go test ./soak                    faults put into the daemon,
//	                                                which must be seen
package soak
