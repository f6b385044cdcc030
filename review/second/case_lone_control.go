package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// loneControl replaces the three control hosts that control3 has as its seeds, as planned work, and
// isolates control3 from all other hosts for isolatedFor. Later an entry host is added, with seeds
// among the other control hosts, and a worker deregisters at control3. No request may reach
// the worker later than drain_ms after the acknowledgement.
func loneControl(r *run) (broken bool, err error) {
	const (
		isolatedFor = 30 * time.Second
		rejoinFor   = 10 * time.Second // from the end of the cut to the start of the entry host
		senders     = 4
		serveFor    = 6 * time.Second // the worker serves, from the acknowledgement
	)
	seeds := []int{0, 1, 2}
	relays, controls := map[int]*relay{}, map[int]*host{}
	begin := func(n int, bootstrap bool, seeds []int) (err error) {
		if relays[n], err = r.startRelay(n, "control3"); err != nil {
			return err
		}
		controls[n] = r.newControl(n, seeds, true)
		return controls[n].start(bootstrap)
	}
	for n := range 4 {
		if err := begin(n, true, seeds); err != nil {
			return false, err
		}
	}
	if err := r.newEntry(0, seeds).start(true); err != nil {
		return false, err
	}
	op := r.newOperator(0, 1, 2, 3)
	if _, ok := op.replace(1, configuration(1, routeOf{"r-1", "/a/", "unsafe", service}), 20*time.Second); !ok {
		return false, fmt.Errorf("the first configuration was not acknowledged")
	}
	serving := []int{0, 1, 2, 3}
	for n := range 3 { // planned: the new one first, then SIGTERM
		next := 4 + n
		if err := begin(next, false, serving[:3]); err != nil {
			return false, err
		}
		time.Sleep(catchUp + time.Second)
		if !controls[next].logged("this host is a member of the control group") {
			return false, fmt.Errorf("control host %d has not joined", next)
		}
		r.record.log("control%d: SIGTERM, it does not come back", n)
		if !controls[n].end(syscall.SIGTERM, 8*time.Second) {
			controls[n].kill()
		}
		serving = append(serving[1:], next)
		op.know(serving...)
	}
	stays, err := r.startWorker(0, "i-stays")
	if err != nil {
		return false, err
	}
	leaves, err := r.startWorker(1, "i-leaves")
	if err != nil {
		return false, err
	}
	stays.announce(func() []int { return []int{5, 6, 4} })
	r.onClose(stays.silence)
	leaves.announce(func() []int { return []int{4, 5, 6} })
	if r.trouble {
		r.record.log("control3 is isolated from all other hosts for %v", isolatedFor)
		for n, y := range relays {
			y.separate(n == 3)
		}
	}
	time.Sleep(isolatedFor)
	if r.trouble {
		for _, y := range relays {
			y.join()
		}
		r.record.log("the cut has healed")
	}
	time.Sleep(rejoinFor)
	if err := r.newEntry(1, []int{4, 5, 6}).start(false); err != nil {
		return false, err
	}
	clients, started := r.newClient(), time.Now()
	for time.Since(started) < 10*time.Second && (len(stays.ran(started)) < 3 || len(leaves.ran(started)) < 3) {
		clients.send(r.frontAddress(1), "/a/before")
		time.Sleep(50 * time.Millisecond)
	}
	if len(stays.ran(started)) < 3 || len(leaves.ran(started)) < 3 {
		return false, fmt.Errorf("the workers get no requests")
	}
	time.Sleep(time.Until(started.Add(contact + 2*time.Second)))
	leaves.silence()
	body, _ := leaves.beat("ready")
	if !leaves.call(r.controlAddress(4), "Heartbeat", body) {
		return false, fmt.Errorf("the heartbeat was not acknowledged")
	}
	time.Sleep(100 * time.Millisecond)
	_, number := leaves.beat("draining")
	if body, err = json.Marshal(map[string]any{"born": leaves.born, "sequence": number}); err != nil {
		return false, err
	}
	if !leaves.call(r.controlAddress(3), "Deregister", body) {
		return false, fmt.Errorf("the deregistration was not acknowledged")
	}
	acked := time.Now()
	r.record.log("worker i-leaves: deregistration acknowledged by control3")
	served := make(chan int, senders)
	for range senders {
		go func() {
			n := 0
			for time.Since(acked) < serveFor {
				if _, status := clients.send(r.frontAddress(1), "/a/after"); status == http.StatusOK {
					n++
				}
				time.Sleep(50 * time.Millisecond)
			}
			served <- n
		}()
	}
	total := 0
	for range senders {
		total += <-served
	}
	late := leaves.ran(acked.Add(drain))
	r.record.log("%d requests served after the acknowledgement; %d reached i-leaves later than drain_ms after it", total, len(late))
	if len(late) > 0 {
		r.record.log("the last reached it %v after the acknowledgement, drain_ms is %v", late[len(late)-1].at.Sub(acked).Round(time.Millisecond), drain)
	}
	controls[3].quote(12, "was removed", "discarding", "replica opened", "member of the control group", "request to join", "control host forgotten")
	if total == 0 {
		return false, fmt.Errorf("entry1 does not serve")
	}
	return len(late) > 0, nil
}
