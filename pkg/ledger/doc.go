// Package ledger keeps what must outlast every process: the turns of programs
// whose history the system keeps, and how much of its budget each program has
// used. The records lie on the disks of the storage processes.
//
// A record counts once a majority of the active storage processes has synced
// it. Records are only added, or replaced by a later form of themselves, so the
// union of the answers of any majority holds every record that counts, and no
// process leads. A storage process that lost its disk answers nothing until it
// has the records of all others.
//
// State is the pure part; Log writes it to a disk, Server answers requests of
// peers, and Client reads and writes at a majority.
package ledger
