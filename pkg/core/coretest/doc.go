// Package coretest holds the tests of package core: scripts of events with
// their expected effects, and property tests that run several cores against a
// simulated journal, simulated sidecars and a service that counts its
// executions.
package coretest
