//! Settings of the process itself.

use super::{FieldMut, Row};

pub(super) const ROWS: &[Row] = &[
    Row {
        key: "runtime_threads",
        min: 1,
        max: 64,
        description: "threads that serve callers and peers and call workers",
        field: |settings| FieldMut::Usize(&mut settings.runtime_threads),
    },
    Row {
        key: "tick_interval_ms",
        min: 5,
        max: 50,
        description: "interval between ticks of the control thread",
        field: |settings| FieldMut::Millis(&mut settings.tick_interval),
    },
    Row {
        key: "event_queue",
        min: 1_000,
        max: 10_000_000,
        description: "events that may wait for the control thread",
        field: |settings| FieldMut::Usize(&mut settings.event_queue),
    },
    Row {
        key: "operator_timeout_ms",
        min: 100,
        max: 300_000,
        description: "time after which an operator's request has an unknown outcome",
        field: |settings| FieldMut::Millis(&mut settings.operator_timeout),
    },
];
