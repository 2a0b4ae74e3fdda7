package gossip

// startJoin starts a full exchange with an address, empty for none, and an attempt to join if one is due. It does nothing while an
// earlier one runs, which members that do not respond delay until their timeouts.
func (g *Group) startJoin(exchangeWith string, due, missing bool) {
	if !due && exchangeWith == "" || g.joining.Swap(true) {
		return
	}
	go func() {
		defer g.joining.Store(false)
		if exchangeWith != "" {
			_, _ = g.list.Join([]string{exchangeWith}) // fails if the member is gone by now
		}
		if due {
			g.join(missing)
		}
	}()
}

// join tries the next addresses of the schedule. If members are missing it first asks FindAddresses for more.
func (g *Group) join(missing bool) {
	var discovered []string
	if g.config.FindAddresses != nil && missing {
		var err error
		if discovered, err = g.config.FindAddresses(); err != nil {
			g.config.Log.Warn("peers", "trouble", "no addresses were found: "+err.Error())
			discovered = nil
		}
	}
	addresses := g.nextAddresses(discovered)
	if len(addresses) == 0 {
		return
	}
	reached, _ := g.list.Join(addresses) // the error names those that did not respond; the schedule tries others next
	if reached == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.joinSchedule.ResetBackoff()
}

// nextAddresses adds the addresses that a search discovered, nil for none, to the schedule and returns those to try next.
func (g *Group) nextAddresses(discovered []string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if discovered != nil {
		g.joinSchedule.SetDiscovered(discovered)
	}
	return g.joinSchedule.NextAddresses(g.reachable)
}

// reachable reports whether an address is this member's own or that of a member that is reachable. The caller holds g.mu.
func (g *Group) reachable(address string) bool {
	if address == g.config.Listen || address == g.config.Advertise {
		return true
	}
	for _, a := range g.addresses {
		if a == address {
			return true
		}
	}
	return false
}
