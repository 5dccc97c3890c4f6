// Package ledger keeps what must outlast every process: the turns of programs
// whose history the system keeps, and how much of its budget each program has
// used. The records lie on the disks of the storage processes.
//
// The records of a program lie with a group of the active storage processes, at
// most five, and count once a majority of the group has synced them. Records are
// only added, or replaced by a later form of themselves, so the union of the
// answers of any majority holds every record that counts, and no process leads.
// The answers of a storage process that lost its disk do not count until it has
// the records of all others.
//
// State is the pure part; Log writes it to a disk, Server answers requests of
// peers, and Client reads and writes at a majority.
package ledger
