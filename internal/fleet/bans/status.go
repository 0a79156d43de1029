package bans

import "math"

// Status is the state of the registered bans as the admin API returns it.
type Status struct {
	ReadAt       float64  `json:"read_ms"` // time of the latest read of the registry, Unix ms; 0: not read yet
	Bans         []Ban    `json:"bans"`
	DisabledHere []string `json:"out_here"` // servers disabled at this router, even if the registry has them enabled
}

// Ban is one registered ban.
type Ban struct {
	Server   string  `json:"box"`
	Disabled bool    `json:"out"`
	Version  uint64  `json:"version"`
	SetBy    string  `json:"who"`
	Reason   string  `json:"why"`
	SetAt    float64 `json:"at_ms"` // Unix ms
}

// Status returns the bans of the latest read of the registry. The returned value is immutable.
func (m *Manager) Status() *Status { return m.status.Load() }

// publish replaces the value that Status returns.
func (m *Manager) publish(now float64) {
	status := &Status{Bans: []Ban{}, DisabledHere: []string{}}
	for _, server := range m.options.Disabled() {
		status.DisabledHere = append(status.DisabledHere, server.String())
	}
	if readAt := m.machine.LastReadAt(); !math.IsNaN(readAt) {
		status.ReadAt = m.options.WallClock.Now() - (now - readAt)
	}
	for _, ban := range m.machine.Bans() {
		status.Bans = append(status.Bans, Ban{
			Server:   ban.Server.String(),
			Disabled: ban.Disabled,
			Version:  ban.Version,
			SetBy:    ban.SetBy,
			Reason:   ban.Reason,
			SetAt:    ban.SetAt,
		})
	}
	m.status.Store(status)
}
