// Package ledger is a replicated store for state that must survive the failure
// of any process: the turns of programs whose history the system keeps, and how
// much of its budget each program has used. The records are stored on the disks
// of the storage processes.
//
// The records of a program are replicated to a group of at most five active
// storage processes, its members. A record is acknowledged once a majority of
// the group has synced it to disk. Records are only added, or replaced by a
// newer version of themselves, so the union of the replies of any majority
// contains every acknowledged record, and no leader is needed. A storage process
// that lost its disk is incomplete until it has copied the records of all others,
// first the usage records and then the turns. Until then its replies to writes
// count, but a record missing from its replies to reads proves nothing, so those
// do not count.
//
// State holds the records in memory, Log writes them to disk, Store combines
// both, Server handles the requests of peers, and Client reads and writes at a
// majority.
package ledger
