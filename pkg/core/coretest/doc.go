// Package coretest holds the tests of the reducer: scripts of events with
// their expected effects, and property tests that run several cores against a
// fake journal, fake sidecars and a service that counts its runs.
package coretest
