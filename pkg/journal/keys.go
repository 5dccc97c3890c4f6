package journal

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/yuccaspindle/yuccaspindle/pkg/core"
)

// numberWidth is the number of digits of object and generation numbers in keys. A
// fixed width makes keys sort by number.
const numberWidth = 12

// ObjectKey returns the store key of the journal object with the given number.
func ObjectKey(inc core.Incarnation, object uint64) string {
	return fmt.Sprintf("%s%0*d", objectPrefix(inc), numberWidth, object)
}

func objectPrefix(inc core.Incarnation) string { return "journal/" + string(inc) + "/" }

func checkpointKey(inc core.Incarnation, generation, part uint64) string {
	return fmt.Sprintf("%s%06d", generationPrefix(inc, generation), part)
}

func generationPrefix(inc core.Incarnation, generation uint64) string {
	return fmt.Sprintf("%s%0*d/", checkpointPrefix(inc), numberWidth, generation)
}

func checkpointPrefix(inc core.Incarnation) string { return "checkpoint/" + string(inc) + "/" }

// objectNumber returns the object number at the end of a key.
func objectNumber(key string) (uint64, error) {
	n, err := strconv.ParseUint(key[strings.LastIndexByte(key, '/')+1:], 10, 64)
	if err != nil || n == 0 {
		return 0, fmt.Errorf("journal: key %q does not end in an object number", key)
	}
	return n, nil
}
