package broker

// maxKeptState is the size of the texts of settings and prepared statements that an idle connection remembers. With 72
// connections to each of some servers they take a few MB.
const maxKeptState = 16 << 10

// forgetLargeState drops the texts of a connection's session state if they are large. The next statement discards the
// state at the server.
func (c *conn) forgetLargeState() {
	size := 0
	for name, value := range c.settings {
		size += len(name) + len(value)
	}
	for query := range c.prepared {
		size += len(query.Text)
	}
	if size > maxKeptState {
		clear(c.settings)
		clear(c.prepared)
		c.unknownState = true
	}
}
