//! Decides which advice requests are worth making, and how many hosts make them.
