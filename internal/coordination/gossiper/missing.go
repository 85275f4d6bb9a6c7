package gossiper

import "time"

// maxMissing limits the names in one message.
const maxMissing = 16

// missingReport is the part of a message on missing daemons, those whose messages do not arrive at the sender. A daemon that
// finds itself there knows that its messages are lost.
type missingReport struct {
	// Missing are the VMs of entry daemons of the failure domain that have not drained and are not live for the sender.
	Missing []string `json:"missing,omitempty"`
}

// missingCallbacks are set before Run, or not at all.
type missingCallbacks struct {
	// Missing returns the VMs for a missingReport, and OnMissing is called with each message of another
	// entry daemon of the failure domain.
	Missing   func() []string
	OnMissing func(from Member, vms []string, now time.Time)
}

// addMissing adds the daemons that are missing for this one to a message.
func (g *Gossiper) addMissing(m *message) {
	if g.Missing == nil {
		return
	}
	vms := g.Missing()
	m.Missing = vms[:min(len(vms), maxMissing)]
}

// receiveMissing passes on which daemons are missing for the sender of a heartbeat.
func (g *Gossiper) receiveMissing(m message, now time.Time) {
	if g.OnMissing != nil && m.From.Role == Entry && m.From.FailureDomain == g.Self().FailureDomain {
		g.OnMissing(m.From, m.Missing, now)
	}
}
