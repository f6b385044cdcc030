package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// lateBeat has a worker deregister first and go on serving, as some do. Right after the
// acknowledgement, the control host that gave it and an entry host are killed at the same moment
// and start again. A heartbeat that the worker had sent to another control host before, without an
// answer, reaches that one late.
// No request may reach the worker later than drain_ms after the acknowledgement.
func lateBeat(r *run) (broken bool, err error) {
	const (
		killAfter  = 200 * time.Millisecond // all times are from the acknowledgement
		startAfter = 1200 * time.Millisecond
		beatAfter  = 7 * time.Second
		exitAfter  = 9 * time.Second // the worker serves until then
		sendUntil  = 10 * time.Second
		senders    = 4
	)
	seeds := []int{0, 1, 2}
	var controls []*host
	for n := range 4 {
		h := r.newControl(n, seeds, false)
		controls = append(controls, h)
		if err := h.start(true); err != nil {
			return false, err
		}
	}
	entry := r.newEntry(0, seeds)
	if err := entry.start(true); err != nil {
		return false, err
	}
	stays, err := r.startWorker(0, "i-stays")
	if err != nil {
		return false, err
	}
	leaves, err := r.startWorker(1, "i-leaves")
	if err != nil {
		return false, err
	}
	stays.announce(func() []int { return []int{3, 0, 2} })
	r.onClose(stays.silence)
	leaves.announce(func() []int { return []int{1, 0, 3} })
	op := r.newOperator(0, 1, 2, 3)
	if _, ok := op.replace(1, configuration(1, routeOf{"r-1", "/a/", "unsafe", service}), 20*time.Second); !ok {
		return false, fmt.Errorf("the first configuration was not acknowledged")
	}
	clients, begin := r.newClient(), time.Now()
	for time.Since(begin) < 10*time.Second && (len(stays.ran(begin)) < 3 || len(leaves.ran(begin)) < 3) {
		clients.send(r.frontAddress(0), "/a/before")
		time.Sleep(50 * time.Millisecond)
	}
	if len(stays.ran(begin)) < 3 || len(leaves.ran(begin)) < 3 {
		return false, fmt.Errorf("the workers get no requests")
	}
	time.Sleep(contact)
	leaves.silence()
	late, number := leaves.beat("ready")
	r.record.log("worker i-leaves sends heartbeat %d (ready) to control2; it is held up on its way", number)
	time.Sleep(time.Second) // without an answer, so it turns to the next control host
	body, _ := leaves.beat("ready")
	if !leaves.call(r.controlAddress(1), "Heartbeat", body) {
		return false, fmt.Errorf("the heartbeat was not acknowledged")
	}
	time.Sleep(100 * time.Millisecond)
	_, number = leaves.beat("draining")
	if body, err = json.Marshal(map[string]any{"born": leaves.born, "sequence": number}); err != nil {
		return false, err
	}
	if !leaves.call(r.controlAddress(1), "Deregister", body) {
		return false, fmt.Errorf("the deregistration was not acknowledged")
	}
	acked := time.Now()
	r.record.log("worker i-leaves: deregistration (sequence %d) acknowledged by control1", number)
	at := func(after time.Duration) { time.Sleep(time.Until(acked.Add(after))) }
	if r.trouble {
		at(killAfter)
		r.record.log("control1 and entry0 are killed")
		controls[1].kill()
		entry.kill()
		at(startAfter)
		if err := controls[1].start(false); err != nil {
			return false, err
		}
		if err := entry.start(false); err != nil {
			return false, err
		}
	}
	at(beatAfter)
	before := len(leaves.ran(acked.Add(drain)))
	ready := r.ready(0)
	r.record.log("entry0 ready: %v; the late heartbeat reaches control2: acknowledged %v", ready, leaves.call(r.controlAddress(2), "Heartbeat", late))
	var served, unserved atomic.Int64
	var sending sync.WaitGroup
	for range senders {
		sending.Add(1)
		go func() {
			defer sending.Done()
			for time.Since(acked) < sendUntil {
				if _, status := clients.send(r.frontAddress(0), "/a/after"); status == http.StatusOK {
					served.Add(1)
				} else {
					unserved.Add(1)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	at(exitAfter)
	leaves.exit()
	sending.Wait()
	after := leaves.ran(acked.Add(drain))
	r.record.log("after the late heartbeat %d requests were served and %d were not; %d reached i-leaves, and %d did between drain_ms and the heartbeat",
		served.Load(), unserved.Load(), len(after)-before, before)
	if len(after) > 0 {
		r.record.log("the first reached it %v after the acknowledgement, drain_ms is %v", after[0].at.Sub(acked).Round(time.Millisecond), drain)
	}
	if served.Load() == 0 || !ready {
		return false, fmt.Errorf("entry0 does not serve")
	}
	return len(after) > 0, nil
}
