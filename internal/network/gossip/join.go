package gossip

// startJoin makes a full exchange with an address, empty for none, and an attempt to join if one is due; unless one is running:
// members that do not respond keep it for as long as timeouts take.
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

// join tries the addresses that are next. It looks for others first if members are missing.
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
	reached, _ := g.list.Join(addresses) // which of them did not respond is of no interest: others are next
	if reached == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.joinSchedule.ResetBackoff()
}

// nextAddresses takes what a search discovered, nil for none, and gives the addresses to be tried.
func (g *Group) nextAddresses(discovered []string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if discovered != nil {
		g.joinSchedule.SetDiscovered(discovered)
	}
	return g.joinSchedule.NextAddresses(g.reachable)
}

// reachable tells whether an address is that of a member that is reached, or the own one. g.mu is held.
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
