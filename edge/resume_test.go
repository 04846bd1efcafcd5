package edge

import "testing"

func TestResumedStreamReservesTheRest(t *testing.T) {
	for _, test := range []struct {
		after                    string
		most, tokensPerEvent, to int
	}{
		{"2", 50, 10, 30},
		{"0", 50, 10, 50},
		{"5", 50, 10, 10},
		{"99999999999", 50, 10, 10},
		{"3", 50, 0, 50},
		{"not a number", 50, 10, 50},
		{"-1", 50, 10, 50},
		{"1", 5, 10, 5},
		{"2", 0, 10, 0},
	} {
		r := &requestState{resumedAfter: test.after, maxTokens: test.most}
		r.limitToRest(test.tokensPerEvent)
		if r.maxTokens != test.to {
			t.Errorf("after %s of %d tokens at %d each: got %d, want %d", test.after, test.most, test.tokensPerEvent, r.maxTokens, test.to)
		}
	}
}
