package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// reservedDecode has all decode engines name a limit that is far above the load. Long prompts wait at a
// busy prefill engine while one of the decode engines drains. No request may reach that engine
// later than drain_ms after the acknowledgement.
func reservedDecode(r *run) (broken bool, err error) {
	const (
		limitNamed  = 200.0 // requests a second, far above the load
		shortPrompt = 8000  // tokens
		longPrompt  = 57000 // the longest of shift-handover: 39,600 + 6,290 + 11,300 tokens
		longPrompts = 12
	)
	seeds := []int{0, 1, 2}
	for n := range 4 {
		if err := r.newControl(n, seeds, false).start(true); err != nil {
			return false, err
		}
	}
	if err := r.newEntry(0, seeds).start(true); err != nil {
		return false, err
	}
	var engines []*engine
	for n := range 6 {
		stage := "decode"
		if n < 2 {
			stage = "prefill"
		}
		e, err := r.startEngine(n, fmt.Sprintf("i-engine%d", n), stage)
		if err != nil {
			return false, err
		}
		e.announce(r.controlAddress(3))
		engines = append(engines, e)
	}
	op := r.newOperator(0, 1, 2, 3)
	if _, ok := op.replace(1, modelConfiguration(1), 20*time.Second); !ok {
		return false, fmt.Errorf("the first configuration was not acknowledged")
	}
	time.Sleep(12 * time.Second) // the first orders of stages have been carried out
	clients, stop := r.newClient(), make(chan struct{})
	var running sync.WaitGroup
	for range 3 { // short prompts
		running.Add(1)
		go func() {
			defer running.Done()
			for {
				select {
				case <-stop:
					return
				default:
					clients.prompt(r.frontAddress(0), "/m/short", shortPrompt)
				}
				time.Sleep(50 * time.Millisecond)
			}
		}()
	}
	time.Sleep(time.Second)
	for _, e := range engines {
		if os.Getenv("LIMIT") != "0" { // for trials without a limit
			e.name(limitNamed)
		}
	}
	time.Sleep(3 * time.Second)
	close(stop)
	running.Wait()
	var leaving *engine
	for _, e := range engines {
		if e.stageNow() == "decode" && len(e.ran(time.Now().Add(-3*time.Second))) > 0 {
			leaving = e
		}
	}
	if leaving == nil {
		return false, fmt.Errorf("no decode engine gets requests")
	}
	served := make(chan int, longPrompts)
	for range longPrompts {
		go func() { served <- clients.prompt(r.frontAddress(0), "/m/long", longPrompt) }()
		time.Sleep(25 * time.Millisecond) // so that each decode engine gets some
	}
	acked := time.Now()
	if r.trouble {
		var ok bool
		if acked, ok = leaving.drain(r.controlAddress(3)); !ok {
			return false, fmt.Errorf("the heartbeat was not acknowledged")
		}
	}
	answered := 0
	for range longPrompts {
		if <-served == http.StatusOK {
			answered++
		}
	}
	if answered == 0 {
		return false, fmt.Errorf("no long prompt was answered")
	}
	r.record.log("%d of %d long prompts answered", answered, longPrompts)
	if !r.trouble {
		return false, nil // no engine has left
	}
	late := leaving.ran(acked.Add(drain))
	r.record.log("%d requests reached %s later than drain_ms after the acknowledgement", len(late), leaving.id)
	for _, a := range late {
		r.record.log("%s %s reached it %v after", a.id, a.path, a.at.Sub(acked).Round(time.Millisecond))
	}
	return len(late) > 0, nil
}
