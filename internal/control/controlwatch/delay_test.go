package controlwatch

import "testing"

func TestHostThatHasJustStartedTellsOfEndsAtOnce(t *testing.T) {
	if got := exchangeDelay(unknownHostsInterval, 0, true); got != loadInterval {
		t.Errorf("next exchange after %v while instances have ended, want %v", got, loadInterval)
	}
	if got := exchangeDelay(unknownHostsInterval, 0, false); got != unknownHostsInterval {
		t.Errorf("next exchange after %v while none has ended, want %v", got, unknownHostsInterval)
	}
}
