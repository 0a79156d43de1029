package httpfront

// readAheadRun is the goroutine that reads ahead on a connection while a request is open.
type readAheadRun struct {
	ended chan struct{} // closed when the goroutine has ended; nil: no request was open yet
	err   error         // valid once ended is closed
}

// startReadAhead starts to read ahead. Until stopReadAhead returns, the connection must not be read otherwise.
func (c *conn) startReadAhead() {
	ended := make(chan struct{})
	c.readAhead = readAheadRun{ended: ended}
	go func() {
		defer close(ended)
		c.readAhead.err = c.text.ReadAhead(maxReadAheadBytes, c.reserveReadAhead, func() { c.lastReadAt = c.server.Clock.Now() })
	}()
}

// stopReadAhead stops to read ahead, so that the connection has one reader at a time. It returns the error that ended
// the reading, which is a timeout if the connection is still open. It may be called again.
func (c *conn) stopReadAhead() error {
	if c.readAhead.ended == nil {
		return nil
	}
	c.setReadTimeout(0)
	<-c.readAhead.ended
	return c.readAhead.err
}
