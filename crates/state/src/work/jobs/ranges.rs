//! Sets of task indices, stored as ranges.

use std::collections;

use crate::record;

/// A set of task indices. A run of consecutive indices takes one entry.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Ranges {
    by_first: collections::BTreeMap<u32, u32>,
    len: u32,
}

impl Ranges {
    /// The set of the indices in `ranges`.
    pub(super) fn from_task_ranges(ranges: &[record::TaskRange]) -> Self {
        let mut set = Self::default();
        for range in ranges {
            set.insert_range(*range);
        }
        set
    }

    /// The number of indices.
    pub(super) fn len(&self) -> u32 {
        self.len
    }

    pub(super) fn contains(&self, index: u32) -> bool {
        let Some((_, end)) = self.by_first.range(..=index).next_back() else {
            return false;
        };
        index < *end
    }

    pub(super) fn insert(&mut self, index: u32) {
        let Some(end) = index.checked_add(1) else {
            return;
        };
        self.insert_range(record::TaskRange { first: index, end });
    }

    pub(super) fn insert_range(&mut self, range: record::TaskRange) {
        let record::TaskRange { mut first, mut end } = range;
        if first >= end {
            return;
        }
        // Merges the ranges that overlap the new one or are adjacent to it.
        while let Some((old_first, old_end)) = self.by_first.range(..=end).next_back() {
            let (old_first, old_end) = (*old_first, *old_end);
            if old_end < first {
                break;
            }
            self.by_first.remove(&old_first);
            self.len -= old_end - old_first;
            first = first.min(old_first);
            end = end.max(old_end);
        }
        self.by_first.insert(first, end);
        self.len += end - first;
    }

    /// The ranges in ascending order.
    pub(super) fn to_vec(&self) -> Vec<record::TaskRange> {
        let mut ranges = Vec::with_capacity(self.by_first.len());
        for (first, end) in &self.by_first {
            ranges.push(record::TaskRange { first: *first, end: *end });
        }
        ranges
    }

    /// The indices that are not in `other`.
    pub(super) fn difference(&self, other: &Ranges) -> Self {
        let mut rest = Self::default();
        for (first, end) in &self.by_first {
            let mut from = *first;
            let start = other.by_first.range(..=from).next_back().map_or(from, |(first, _)| *first);
            for (other_first, other_end) in other.by_first.range(start..*end) {
                if *other_end <= from {
                    continue;
                }
                rest.insert_range(record::TaskRange { first: from, end: *other_first });
                from = *other_end;
            }
            rest.insert_range(record::TaskRange { first: from, end: *end });
        }
        rest
    }

    /// The indices in ascending order.
    pub(super) fn indices(&self) -> impl Iterator<Item = u32> + '_ {
        self.by_first.iter().flat_map(|(first, end)| *first..*end)
    }
}
