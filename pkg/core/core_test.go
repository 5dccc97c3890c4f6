package core

import "testing"

// Guards against a child program landing in a slot other than its root's,
// which would split one history between two owners.
func TestSlotOfChildIsSlotOfRoot(t *testing.T) {
	const slotCount = 256
	for _, root := range []ProgramID{NewProgramID(17, "a1b2"), "case-history-441", "pzzz-x", "p0ff-"} {
		child := ChildID(ChildID(root, 1), 3)
		if got, want := SlotOf(child, slotCount), SlotOf(root, slotCount); got != want {
			t.Errorf("SlotOf(%q) = %d, want %d", child, got, want)
		}
		if RootOf(child) != root {
			t.Errorf("RootOf(%q) = %q, want %q", child, RootOf(child), root)
		}
	}
	if got := SlotOf(NewProgramID(17, "a1b2"), slotCount); got != 17 {
		t.Errorf("SlotOf of an assigned id = %d, want 17", got)
	}
}
