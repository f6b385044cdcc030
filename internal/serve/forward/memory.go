package forward

import "filberthook/internal/serve/upstream"

// readWhole reads an answer's body. Its memory is held until the call ends, as the caller may read
// it slowly.
func (c *call) readWhole(answer *upstream.Answer) ([]byte, error) {
	body, err := c.readAll(answer, maxAnswerBytes)
	if !c.ended { // else the answer is closed by its attempt alone
		c.memory = append(c.memory, answer.TakeMemory())
	}
	return body, err
}

// releaseMemory ends the holds of the call's answers.
func (c *call) releaseMemory() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for _, hold := range c.memory {
		hold.Release()
	}
}
