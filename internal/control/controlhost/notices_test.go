package controlhost

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"filberthook/internal/control/controlapi"
	"filberthook/internal/engines/notice"
	"filberthook/internal/engines/placement"
)

func TestNoticeReachesHostsOfOtherControlHosts(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	one, two := newLoads("one"), newLoads("two")
	heard := notice.Report{Instance: "i", Born: 7, Limit: 3, Age: 40 * time.Millisecond}
	one.exchange("a", controlapi.LoadReport{IntervalMS: 120, Requests: map[string]float64{"e": 5}, Notices: controlapi.Notices{heard}}, now)
	digest, _ := one.digest(0, now.Add(100*time.Millisecond))
	two.receiveDigest("one", digest, now.Add(100*time.Millisecond))
	answer := two.exchange("b", controlapi.LoadReport{IntervalMS: 120, Requests: map[string]float64{"e": 2}}, now.Add(200*time.Millisecond))
	want := notice.Report{Instance: "i", Born: 7, Limit: 3, Age: 240 * time.Millisecond}
	if len(answer.Notices) != 1 || answer.Notices[0] != want {
		t.Errorf("the host got %+v, want %+v", answer.Notices, want)
	}
	if answer.Requests["e"] != 5 {
		t.Errorf("the host got a request rate of %v of the others, want 5", answer.Requests["e"])
	}
	back, _ := two.digest(0, now.Add(300*time.Millisecond))
	if len(back.Notices) != 0 {
		t.Errorf("the digest returns notices of another control host: %+v", back.Notices)
	}
}

func TestOlderNoticeDoesNotReplaceTheEndOfALimit(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	l := newLoads("one")
	report := func(host string, r notice.Report, at time.Time) {
		l.exchange(host, controlapi.LoadReport{IntervalMS: 120, Notices: controlapi.Notices{r}}, at)
	}
	report("a", notice.Report{Instance: "i", Born: 7, Limit: 3, Age: 0}, now)
	report("b", notice.Report{Instance: "i", Born: 7, Limit: 0, Age: 0}, now.Add(time.Second))
	report("a", notice.Report{Instance: "i", Born: 7, Limit: 3, Age: 1100 * time.Millisecond}, now.Add(1100*time.Millisecond))
	report("a", notice.Report{Instance: "i", Born: 6, Limit: 9, Age: 0}, now.Add(1200*time.Millisecond))
	if got := l.notices.list(false, now.Add(1200*time.Millisecond)); len(got) != 1 || got[0].Limit != 0 || got[0].Born != 7 {
		t.Errorf("%+v, want the end of the limit of the start 7", got)
	}
	l.expire(now.Add(time.Minute))
	if got := l.notices.list(false, now.Add(time.Minute)); len(got) != 0 {
		t.Errorf("still there a minute after the last report: %+v", got)
	}
}

// BenchmarkExchangeOfNotices measures an exchange of one of 49 hosts of a zone, at the control
// host and at the entry host, when none or all of 329 instances have said something.
func BenchmarkExchangeOfNotices(b *testing.B) {
	for _, speaking := range []int{0, 329} {
		b.Run(fmt.Sprint(speaking), func(b *testing.B) {
			l := newLoads("1")
			now := time.Unix(1_800_000_000, 0)
			fleet := placement.New(placement.DefaultSettings(), rand.Float64, func(string) bool { return true })
			bytes := 0
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(5 * time.Millisecond)
				report := controlapi.LoadReport{IntervalMS: 245, Requests: map[string]float64{"lm": 3.5, "plain": 1.2}}
				for n := i % 49; n < speaking; n += 49 { // each host hears a few instances
					report.Notices = append(report.Notices, notice.Report{Instance: fmt.Sprintf("i-%010x", n*7919), Born: 1, Limit: 3})
				}
				answer := l.exchange(fmt.Sprint(i%49), report, now)
				text, err := json.Marshal(answer)
				if err != nil {
					b.Fatal(err)
				}
				var got controlapi.LoadReport
				if err := json.Unmarshal(text, &got); err != nil {
					b.Fatal(err)
				}
				fleet.LearnNotices(got.Notices, now)
				bytes += len(text)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "B/answer")
		})
	}
}
