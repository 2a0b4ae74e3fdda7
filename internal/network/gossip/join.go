package gossip

// startJoin starts, in the background, a full exchange with the address exchangeWith unless that is empty, and an attempt to join if one
// is due. It does nothing while an earlier call's work still runs, which can take until the timeouts of members that do not respond.
func (g *Group) startJoin(exchangeWith string, due, missing bool) {
	if !due && exchangeWith == "" || g.joining.Swap(true) {
		return
	}
	go func() {
		defer g.joining.Store(false)
		if exchangeWith != "" {
			_, _ = g.list.Join([]string{exchangeWith}) // fails if the member has left in the meantime
		}
		if due {
			g.join(missing)
		}
	}()
}

// join attempts to join through the next addresses of the schedule. If members are missing it first asks FindAddresses for more.
func (g *Group) join(missing bool) {
	var discovered []string
	if g.config.FindAddresses != nil && missing {
		var err error
		if discovered, err = g.config.FindAddresses(); err != nil {
			g.config.Log.Warn("peers", "trouble", "find addresses of peers: "+err.Error())
			discovered = nil
		}
	}
	addresses := g.nextAddresses(discovered)
	if len(addresses) == 0 {
		return
	}
	reached, _ := g.list.Join(addresses) // the error names the addresses that did not respond; the next attempt tries others
	if reached == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.joinSchedule.ResetBackoff()
}

// nextAddresses passes discovered addresses to the schedule, unless discovered is nil, and returns the addresses to try next.
func (g *Group) nextAddresses(discovered []string) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if discovered != nil {
		g.joinSchedule.SetDiscovered(discovered)
	}
	return g.joinSchedule.NextAddresses(g.reachable)
}

// reachable reports whether an address belongs to this member or to a reachable one. The caller holds g.mu.
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
