package core

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// childSeparator separates the root of a program id from the numbers of its
// children.
const childSeparator = "~"

// RootOf returns the root program of a program id.
func RootOf(id ProgramID) ProgramID {
	root, _, _ := strings.Cut(string(id), childSeparator)
	return ProgramID(root)
}

// DepthOf returns the number of levels of a program below its root.
func DepthOf(id ProgramID) int {
	return strings.Count(string(id), childSeparator)
}

// ChildID returns the id of the n-th child of a program.
func ChildID(parent ProgramID, n int) ProgramID {
	return ProgramID(string(parent) + childSeparator + strconv.Itoa(n))
}

// NewProgramID returns an id that belongs to the slot. The random part must be
// unique within the slot.
func NewProgramID(slot Slot, random string) ProgramID {
	return ProgramID(fmt.Sprintf("p%03x-%s", uint16(slot), random))
}

// SlotOf returns the slot of a program. Ids made by NewProgramID contain their
// slot; other ids are hashed.
func SlotOf(id ProgramID, slotCount int) Slot {
	root := string(RootOf(id))
	if len(root) > 5 && root[0] == 'p' && root[4] == '-' {
		if n, err := strconv.ParseUint(root[1:4], 16, 16); err == nil && int(n) < slotCount {
			return Slot(n)
		}
	}
	return Slot(xxhash.Sum64String(root) % uint64(slotCount))
}

// RegionOf returns the region that owns a slot. The regions own contiguous
// ranges of nearly equal size.
func RegionOf(slot Slot, slotCount int, regions []string) string {
	if len(regions) == 0 {
		return ""
	}
	return regions[int(slot)*len(regions)/slotCount]
}

// RegionSlots returns the first slot and the number of slots that a region
// owns.
func RegionSlots(region string, slotCount int, regions []string) (first Slot, count int) {
	for s := range slotCount {
		if RegionOf(Slot(s), slotCount, regions) != region {
			continue
		}
		if count == 0 {
			first = Slot(s)
		}
		count++
	}
	return first, count
}

// ProgramIDForOpen returns the id of a root program that is opened with an
// idempotency key. It depends on caller and key only, so that a resent open
// reaches the same owner.
func ProgramIDForOpen(caller, key string) ProgramID { return derivedID("o", caller, key) }

// ProgramIDForCall returns the id of the program of a call that has an
// idempotency key and names no program. It depends on caller and key only.
func ProgramIDForCall(caller, key string) ProgramID { return derivedID("k", caller, key) }

// derivedID uses a cryptographic hash: callers choose their keys and must not
// be able to make a key that leads to the program of another caller.
func derivedID(prefix, caller, key string) ProgramID {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d/%s/%s", len(caller), caller, key))
	return ProgramID(prefix + hex.EncodeToString(sum[:16]))
}
