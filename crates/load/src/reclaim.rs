//! Chooses runs to preempt for work that would otherwise miss its objective.
