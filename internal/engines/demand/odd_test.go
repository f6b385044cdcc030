package demand

import (
	"math"
	"testing"
)

func TestOddReportOfDemandLeavesTheSumANumber(t *testing.T) {
	for _, v := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), math.MaxFloat64, -1} {
		a := NewAggregator()
		a.Put(0, Report{Host: "sound", Sequence: 1, Rates: Rates{Requests: 3, PromptTokens: 100}})
		for _, host := range []string{"odd-1", "odd-2"} {
			a.Put(0, Report{Host: host, Sequence: 1, Rates: Rates{Requests: v, PromptTokens: v, OutputTokens: v, ContextTokens: v}})
		}
		sum, hosts := a.Total(0)
		if hosts != 3 || !(sum.Requests >= 3 && sum.Requests <= math.MaxFloat32) || !(sum.PromptTokens >= 100) || !(sum.ContextTokens >= 0) {
			t.Errorf("with rates of %v the sum of %d hosts is %+v", v, hosts, sum)
		}
	}
}
