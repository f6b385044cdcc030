package routing

import (
	"math"
	"testing"
	"time"
)

func TestAnswerThatNeverEndsMeetsNoDeadline(t *testing.T) {
	for _, firstToken := range []float64{3600, 1e300, math.Inf(1)} {
		if p := (prediction{firstToken: firstToken}); p.meetsDeadline(&Request{Deadline: time.Second}) {
			t.Errorf("a first token after %v s meets a deadline of 1 s", firstToken)
		}
	}
}
