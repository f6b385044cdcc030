package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// longCut replaces the three control hosts that an entry host has as its seeds, one after the
// other as planned work, and then cuts the entry host off from all control hosts for cutFor. Once
// the link has been sound again for longer than contact_ms, a configuration is acknowledged that
// adds a route and drops another one.
func longCut(r *run) (broken bool, err error) {
	const (
		entries = 6 // with four control hosts, so that the one that is cut off is a tenth
		cutFor  = 40 * time.Second
	)
	seeds := []int{0, 1, 2}
	var relays []*relay
	controls := map[int]*host{}
	begin := func(n int, bootstrap bool, seeds []int) error {
		y, err := r.startRelay(n, "entry0")
		if err != nil {
			return err
		}
		relays = append(relays, y)
		controls[n] = r.newControl(n, seeds, true)
		return controls[n].start(bootstrap)
	}
	for n := range 4 {
		if err := begin(n, true, seeds); err != nil {
			return false, err
		}
	}
	for n := range entries {
		if err := r.newEntry(n, seeds).start(true); err != nil {
			return false, err
		}
	}
	serving := []int{0, 1, 2, 3}
	op := r.newOperator(serving...)
	w, err := r.startWorker(0, "i-kept")
	if err != nil {
		return false, err
	}
	w.announce(func() []int { op.mu.Lock(); defer op.mu.Unlock(); return op.controls })
	r.onClose(w.silence)
	old := routeOf{"r-old", "/old/", "unsafe", service}
	kept := routeOf{"r-kept", "/kept/", "unsafe", service}
	added := routeOf{"r-new", "/new/", "unsafe", service}
	if _, ok := op.replace(1, configuration(1, old), 20*time.Second); !ok {
		return false, fmt.Errorf("the first configuration was not acknowledged")
	}
	clients := r.newClient()
	for n := range entries {
		if !clients.until(r.frontAddress(n), "/old/a", http.StatusOK, 10*time.Second) {
			return false, fmt.Errorf("entry host %d does not serve", n)
		}
	}
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
	time.Sleep(contact)
	if _, ok := op.replace(2, configuration(2, old, kept), 10*time.Second); !ok {
		return false, fmt.Errorf("version 2 was not acknowledged")
	}
	for n := range entries {
		if !clients.until(r.frontAddress(n), "/kept/a", http.StatusOK, 5*time.Second) {
			return false, fmt.Errorf("entry host %d does not follow the control hosts that are left", n)
		}
	}
	if r.trouble {
		r.record.log("entry0 is cut off from all control hosts for %v", cutFor)
		for _, y := range relays {
			y.separate(false)
		}
	}
	time.Sleep(cutFor)
	if r.trouble {
		for _, y := range relays {
			y.join()
		}
		r.record.log("the cut has healed")
	}
	time.Sleep(contact + 2*time.Second)
	acked, ok := op.replace(3, configuration(3, kept, added), 10*time.Second)
	if !ok {
		return false, fmt.Errorf("version 3 was not acknowledged")
	}
	time.Sleep(time.Until(acked.Add(configApply + 200*time.Millisecond)))
	stale := map[int]int{}
	for time.Since(acked) < 10*time.Second {
		for n := range entries {
			if _, status := clients.send(r.frontAddress(n), "/new/b"); status == http.StatusNotFound {
				stale[n]++ // refused with 404 though the route is there
			}
			if _, status := clients.send(r.frontAddress(n), "/old/b"); status == http.StatusOK {
				stale[n]++ // run with a dropped route
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	for n := range entries {
		r.record.log("entry%d, later than config_apply_ms after the acknowledgement of version 3: %d requests handled as only version 2 allows; ready %v",
			n, stale[n], r.ready(n))
	}
	for _, h := range r.hosts {
		if h.name == "entry0" {
			h.quote(30, "control host forgotten", "control host lost", "control host reached")
		}
	}
	total := 0
	for _, n := range stale {
		total += n
	}
	return total > 0, nil
}
