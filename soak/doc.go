// Package soak contains randomized soak tests of the real programs. They start edge and
// storage processes on loopback addresses, inject faults from outside and check the
// guarantees of the system meanwhile. A seed determines the sequence of faults.
//
//	go test ./soak                                  a short run
//	SOAK_SEEDS=1-50 SOAK_SECONDS=20 go test -parallel 4 -timeout 30m ./soak
//	                                                a long one
//	SOAK_EDGES=100 SOAK_STORAGES=40 go test ./soak  a large one
//	SOAK_PLANTS=1 go test ./soak                    faults planted in the daemon,
//	                                                which must be detected
//	SOAK_FAULTS=power,full go test -run TestLostSoak ./soak
//	                                                only some classes of faults
//
// TestLostSoak gives the storage processes simulated disks: the daemon is built with
// package testdata/tracedisk in place of package os, and the soak rewrites the data
// folders of processes that lose power.
package soak
