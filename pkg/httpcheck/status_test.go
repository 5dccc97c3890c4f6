package httpcheck

import "testing"

// Guards against a range other than that of RFC 9110.
func TestValidStatus(t *testing.T) {
	for status, want := range map[int]bool{-1: false, 0: false, 20: false, 99: false, 100: true, 200: true, 599: true, 600: false, 999: false, 2000: false} {
		if ValidStatus(status) != want || ValidFinalStatus(status) != (want && status >= 200) {
			t.Errorf("%d: valid %v, final %v", status, ValidStatus(status), ValidFinalStatus(status))
		}
	}
}
