//! Decides which submissions are accepted, and when callers that are sent away may come back.
