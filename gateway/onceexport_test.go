package gateway

// FailDecisions makes the decision loop fail once.
func (g *Gateway) FailDecisions() {
	g.decisions.post(inspection{
		inspect: func() { panic("injected panic") },
		done:    make(chan struct{}),
	})
}
