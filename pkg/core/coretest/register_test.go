package coretest

import (
	"fmt"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// registers holds the ownership operations of each slot for the linearizability
// check.
type registers struct {
	ownership map[core.Slot][]porcupine.Operation
}

// ownershipOp is a change of owner, or an answer given by an owner.
type ownershipOp struct {
	by   core.Incarnation
	move bool
}

func (r *registers) add(slot core.Slot, op porcupine.Operation) {
	if r.ownership == nil {
		r.ownership = make(map[core.Slot][]porcupine.Operation)
	}
	op.ClientId = len(r.ownership[slot])
	r.ownership[slot] = append(r.ownership[slot], op)
}

func (r *registers) moved(s *sim, slot core.Slot, to core.Incarnation) {
	s.clock++
	r.add(slot, porcupine.Operation{Input: ownershipOp{to, true}, Call: s.clock, Return: s.clock})
}

// acknowledged records that an owner gave an answer. It must have owned the
// slot at some time between the event that caused the dispatch and the reply.
func (r *registers) acknowledged(s *sim, n *node, id core.ProgramID, a core.AttemptID) {
	at := s.attempts[a]
	if at == nil || at.node != n {
		return // the answer of an earlier owner's claim
	}
	s.clock++
	r.add(core.SlotOf(id, simSlots), porcupine.Operation{Input: ownershipOp{n.inc, false}, Call: at.sent, Return: s.clock})
}

var ownershipModel = porcupine.Model{
	Init: func() any { return core.Incarnation("") },
	Step: func(state, input, _ any) (bool, any) {
		op := input.(ownershipOp)
		if op.move {
			return true, op.by
		}
		return state == op.by, state
	},
	DescribeOperation: func(input, _ any) string { return fmt.Sprintf("%+v", input) },
}

// configModel is a register that keeps the highest version written. A write
// returns the version after it.
var configModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		next := max(state.(uint64), input.(uint64))
		return output == next, next
	},
}

// checkRegisters checks that the owners of the slots and the configurations of
// the nodes are linearizable registers.
func (s *sim) checkRegisters() {
	for _, slot := range sortedKeys(s.registers.ownership) {
		ops := s.registers.ownership[slot]
		if porcupine.CheckOperationsTimeout(ownershipModel, ops, 20*time.Second) == porcupine.Illegal {
			s.fail("ownership", "slot %d: an answer was given by an entry that did not own it", slot)
		}
	}
	for _, n := range s.nodes {
		if !porcupine.CheckOperations(configModel, n.configOps) {
			s.fail("config-register", "%s does not keep the highest configuration", n.inc)
		}
	}
}
