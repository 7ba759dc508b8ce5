package config

// LargeAnswers returns the number of policies with large answers. States with the same hash
// may differ in it: a daemon of a build that does not know Policy.LargeAnswers passes a
// state on without it.
func (s *State) LargeAnswers() int { return s.largeAnswers }

// Restores reports whether s is the same state as old with large answers that old lacks.
func (s *State) Restores(old *State) bool {
	return s.Base == old.Base && s.Position == old.Position && s.Hash == old.Hash && s.largeAnswers > old.largeAnswers
}

// countLargeAnswers returns the number of policies with large answers.
func (c Content) countLargeAnswers() int {
	n := 0
	for _, p := range c.Policies {
		if p.LargeAnswers {
			n++
		}
	}
	return n
}
