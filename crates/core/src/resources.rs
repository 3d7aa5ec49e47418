//! Resource vectors: capacities of workers and demands of tasks.

use serde::{Deserialize, Serialize};

/// An amount of each resource.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Resources {
    /// Processor time in millicores (thousandths of a core).
    #[serde(skip_serializing_if = "is_zero")]
    pub cpu_milli: u64,
    /// Memory in megabytes.
    #[serde(skip_serializing_if = "is_zero")]
    pub memory_mb: u64,
    /// Whole accelerators.
    #[serde(skip_serializing_if = "is_zero")]
    pub accelerators: u64,
    /// Task slots.
    #[serde(skip_serializing_if = "is_zero")]
    pub slots: u64,
    /// Client connections.
    #[serde(skip_serializing_if = "is_zero")]
    pub connections: u64,
}

/// Omits zero amounts from messages, which carry many resource vectors.
#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_zero(amount: &u64) -> bool {
    *amount == 0
}

/// Serializes resources as an array of amounts in the order of [`Resources::to_array`], for
/// messages between hosts: `#[serde(with = "resources::positional")]`. The field names would make
/// up most of such a message.
pub mod positional {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    use super::{DIMENSIONS, Resources};

    /// Serializes the amounts as an array.
    ///
    /// # Errors
    /// Returns the errors of the serializer.
    pub fn serialize<S: Serializer>(amounts: &Resources, serializer: S) -> Result<S::Ok, S::Error> {
        amounts.to_array().serialize(serializer)
    }

    /// Deserializes the amounts from an array.
    ///
    /// # Errors
    /// Fails if the input is not an array of [`DIMENSIONS`] unsigned integers.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Resources, D::Error> {
        <[u64; DIMENSIONS]>::deserialize(deserializer).map(Resources::from_array)
    }
}

/// The number of resource dimensions.
pub const DIMENSIONS: usize = 5;

impl Resources {
    /// No amount of any resource.
    pub const ZERO: Self =
        Self { cpu_milli: 0, memory_mb: 0, accelerators: 0, slots: 0, connections: 0 };

    /// The largest amount of every resource, which stands for "no limit".
    pub const MAX: Self = Self {
        cpu_milli: u64::MAX,
        memory_mb: u64::MAX,
        accelerators: u64::MAX,
        slots: u64::MAX,
        connections: u64::MAX,
    };

    /// Returns the amounts in a fixed order of dimensions.
    pub fn to_array(self) -> [u64; DIMENSIONS] {
        [self.cpu_milli, self.memory_mb, self.accelerators, self.slots, self.connections]
    }

    /// Creates resources from amounts in the order of [`Resources::to_array`].
    pub fn from_array(amounts: [u64; DIMENSIONS]) -> Self {
        let [cpu_milli, memory_mb, accelerators, slots, connections] = amounts;
        Self { cpu_milli, memory_mb, accelerators, slots, connections }
    }

    /// Whether no amount exceeds that of `capacity`.
    pub fn fits_in(&self, capacity: &Self) -> bool {
        self.zip_with(capacity, |a, b| u64::from(a <= b)).to_array() == [1; DIMENSIONS]
    }

    pub fn is_zero(&self) -> bool {
        *self == Self::ZERO
    }

    /// Returns the saturating sum in each dimension.
    pub fn plus(&self, other: &Self) -> Self {
        self.zip_with(other, u64::saturating_add)
    }

    /// Returns the difference in each dimension, saturating at zero.
    pub fn minus(&self, other: &Self) -> Self {
        self.zip_with(other, u64::saturating_sub)
    }

    /// Returns the smaller amount in each dimension.
    pub fn min(&self, other: &Self) -> Self {
        self.zip_with(other, u64::min)
    }

    /// Returns the larger amount in each dimension.
    pub fn max(&self, other: &Self) -> Self {
        self.zip_with(other, u64::max)
    }

    /// Multiplies each amount by `numerator / denominator`, rounding down. A zero `denominator`
    /// gives zero.
    pub fn scaled(&self, numerator: u64, denominator: u64) -> Self {
        self.zip_with(self, |amount, _| {
            // 128-bit division costs many times as much and is seldom needed.
            if let Some(product) = amount.checked_mul(numerator) {
                return product.checked_div(denominator).unwrap_or(0);
            }
            let product = u128::from(amount) * u128::from(numerator);
            let scaled = product.checked_div(u128::from(denominator)).unwrap_or(0);
            u64::try_from(scaled).unwrap_or(u64::MAX)
        })
    }

    /// Returns the dominant share: the largest fraction of `total` in any dimension, in parts per
    /// million. Dimensions in which `total` is zero do not count.
    pub fn dominant_share_ppm(&self, total: &Self) -> u64 {
        const PPM: u64 = 1_000_000;
        let mut largest = 0;
        for (amount, capacity) in self.to_array().into_iter().zip(total.to_array()) {
            if capacity == 0 {
                continue;
            }
            let share = match amount.checked_mul(PPM) {
                Some(product) => product / capacity,
                None => {
                    let share = u128::from(amount) * u128::from(PPM) / u128::from(capacity);
                    u64::try_from(share).unwrap_or(u64::MAX)
                }
            };
            largest = largest.max(share);
        }
        largest
    }

    fn zip_with(&self, other: &Self, combine: impl Fn(u64, u64) -> u64) -> Self {
        let mut amounts = self.to_array();
        for (amount, other_amount) in amounts.iter_mut().zip(other.to_array()) {
            *amount = combine(*amount, other_amount);
        }
        Self::from_array(amounts)
    }
}
