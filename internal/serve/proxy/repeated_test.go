package proxy_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
)

func TestBookingThatComesAgainUnderOtherKeysEndsFewInstances(t *testing.T) {
	const allowed = 4
	e := newEntry(t, newMemoryLog(), nil)
	for range 2 * allowed {
		var s *service
		s = newService(t, func(w http.ResponseWriter, r *http.Request) {
			s.server.Listener.Close()
			e.sched.mu.Lock() // its lease expires
			e.sched.instances = slices.DeleteFunc(e.sched.instances, func(address string) bool { return address == s.address() })
			e.sched.mu.Unlock()
			drop(w, r)
		})
		e.sched.instances = append(e.sched.instances, s.address())
	}
	for n := range 4 * allowed {
		e.book(fmt.Sprint("key-", n), "lethal")
	}
	e.sched.mu.Lock()
	defer e.sched.mu.Unlock()
	if ended := 2*allowed - len(e.sched.instances); ended == 0 || ended > allowed {
		t.Errorf("%d instances ended under one booking, want 1 to %d", ended, allowed)
	}
}
