//! Divides the capacity among accounts by weighted max-min fairness.
