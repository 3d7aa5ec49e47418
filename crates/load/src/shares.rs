//! Weighted max-min division of the capacity of a service among accounts.
//!
//! An account's share is measured by its dominant resource: the largest fraction of the capacity
//! that it uses in any dimension. All accounts are raised in proportion to their weights until they
//! have what they want or a resource that they need is used up (progressive filling).

use pier_core::resources::{DIMENSIONS, Resources};

/// Fractions of the capacity that differ by less are equal.
const TOLERANCE: f64 = 1e-9;
const PPM: f64 = 1e6;

/// What an account uses and wants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AccountDemand {
    /// The weight in the division. Zero counts as one.
    pub weight: u32,
    /// What its runs use.
    pub used: Resources,
    /// What its waiting tasks need.
    pub waiting: Resources,
    /// The most that its runs may use.
    pub cap: Resources,
}

/// The state of an account in the division.
#[derive(Debug, Clone, Copy)]
struct AccountShare {
    used: Resources,
    demand_ppm: u64,
    entitled_ppm: u64,
}

/// A division of the capacity. Accounts are named by their positions in the input.
#[derive(Debug, Clone)]
pub struct Shares {
    capacity: Resources,
    accounts: Vec<AccountShare>,
    /// The fraction of the capacity for each unit of weight at which a resource is used up. None if
    /// all accounts get what they want.
    level: Option<f64>,
}

impl Shares {
    /// Divides the capacity.
    pub fn divide(capacity: &Resources, demands: &[AccountDemand]) -> Self {
        let mut fill = Vec::with_capacity(demands.len());
        for demand in demands {
            fill.push(Filling::new(capacity, demand));
        }
        let level = fill_progressively(&mut fill);
        let mut accounts = Vec::with_capacity(demands.len());
        for (demand, filling) in demands.iter().zip(&fill) {
            let demand_ppm = to_ppm(filling.wanted);
            let entitled_ppm =
                if filling.is_limited { to_ppm(filling.entitled) } else { demand_ppm };
            accounts.push(AccountShare { used: demand.used, demand_ppm, entitled_ppm });
        }
        Self { capacity: *capacity, accounts, level }
    }

    /// Whether some account gets less than it wants.
    pub fn is_scarce(&self) -> bool {
        self.level.is_some()
    }

    /// The entitlement of an account in parts per million of the capacity.
    pub fn entitled_ppm(&self, account: usize) -> u64 {
        self.accounts[account].entitled_ppm
    }

    /// What an account uses and wants together, in parts per million of the capacity.
    pub fn demand_ppm(&self, account: usize) -> u64 {
        self.accounts[account].demand_ppm
    }

    /// What an account uses, in parts per million of the capacity.
    pub fn used_ppm(&self, account: usize) -> u64 {
        self.accounts[account].used.dominant_share_ppm(&self.capacity)
    }

    /// What an account of this weight may use at least, however much others want, in parts per
    /// million of the capacity.
    pub fn guaranteed_ppm(&self, weight: u32) -> u64 {
        self.level.map_or(u64::MAX, |level| to_ppm(level * f64::from(weight.max(1))))
    }

    /// Whether the account would stay within its share with another run. What does not fit exactly
    /// is rounded to the nearest whole run, so that an account whose tasks or gangs are larger than
    /// the rest of its share is neither starved nor always ahead.
    pub fn is_within(&self, account: usize, need: &Resources) -> bool {
        let share = &self.accounts[account];
        if share.used.is_zero() {
            return share.entitled_ppm > 0;
        }
        let middle = share.used.plus(&need.scaled(1, 2));
        middle.dominant_share_ppm(&self.capacity) <= share.entitled_ppm
    }

    /// How many of up to `count` runs of this size the account may add within its share.
    pub fn count_within(&self, account: usize, need: &Resources, count: usize) -> usize {
        if !self.is_scarce() {
            return count;
        }
        let share = &self.accounts[account];
        let fits = |runs: usize| {
            let before = u64::try_from(runs).unwrap_or(u64::MAX).saturating_sub(1);
            let used = share.used.plus(&need.scaled(before, 1));
            let with_run = AccountShare { used, ..*share };
            let middle = with_run.used.plus(&need.scaled(1, 2));
            (with_run.used.is_zero() && share.entitled_ppm > 0)
                || middle.dominant_share_ppm(&self.capacity) <= share.entitled_ppm
        };
        let (mut within, mut beyond) = (0, count.saturating_add(1));
        while beyond - within > 1 {
            let middle = within + (beyond - within) / 2;
            if fits(middle) {
                within = middle;
            } else {
                beyond = middle;
            }
        }
        within
    }

    /// Charges a run that was placed to its account. Returns whether it is within the share.
    pub fn charge(&mut self, account: usize, need: &Resources) -> bool {
        let is_within = !self.is_scarce() || self.is_within(account, need);
        let share = &mut self.accounts[account];
        share.used = share.used.plus(need);
        is_within
    }
}

/// An account while the capacity is filled. Amounts are fractions of the capacity.
#[derive(Debug)]
struct Filling {
    weight: f64,
    wanted: f64,
    /// The use of each dimension for each unit of the dominant one.
    profile: [f64; DIMENSIONS],
    entitled: f64,
    /// Whether the account gets less than it wants.
    is_limited: bool,
}

impl Filling {
    fn new(capacity: &Resources, demand: &AccountDemand) -> Self {
        let wanted = demand.used.plus(&demand.waiting.min(&demand.cap.minus(&demand.used)));
        let mut profile = [0.0; DIMENSIONS];
        let mut dominant: f64 = 0.0;
        let amounts = wanted.to_array().into_iter().zip(capacity.to_array());
        for (fraction, (amount, total)) in profile.iter_mut().zip(amounts) {
            if total > 0 {
                *fraction = as_f64(amount) / as_f64(total);
                dominant = dominant.max(*fraction);
            }
        }
        if dominant > 0.0 {
            for fraction in &mut profile {
                *fraction /= dominant;
            }
        }
        let weight = f64::from(demand.weight.max(1));
        Self { weight, wanted: dominant, profile, entitled: dominant, is_limited: false }
    }

    /// The level at which the account has what it wants.
    fn full_level(&self) -> f64 {
        self.wanted / self.weight
    }
}

/// Limits accounts until no resource is used up by more than its capacity. Returns the level at
/// which the first one is used up.
fn fill_progressively(accounts: &mut [Filling]) -> Option<f64> {
    let mut first_level = None;
    // Each round limits all accounts that need one more of the dimensions.
    for _ in 0..DIMENSIONS {
        let mut lowest: Option<(f64, usize)> = None;
        for dimension in 0..DIMENSIONS {
            let Some(level) = level_of(accounts, dimension) else {
                continue;
            };
            if lowest.is_none_or(|(other, _)| level < other) {
                lowest = Some((level, dimension));
            }
        }
        let Some((level, dimension)) = lowest else {
            break;
        };
        first_level.get_or_insert(level);
        for account in &mut *accounts {
            let is_satisfied = account.full_level() <= level;
            if !account.is_limited && !is_satisfied && account.profile[dimension] > 0.0 {
                account.entitled = account.weight * level;
                account.is_limited = true;
            }
        }
    }
    first_level
}

/// The level at which a dimension is used up. None if it is not, or if no account that needs it can
/// be limited any more.
fn level_of(accounts: &[Filling], dimension: usize) -> Option<f64> {
    let mut fixed = 0.0;
    let mut open: Vec<&Filling> = Vec::new();
    for account in accounts {
        if account.is_limited {
            fixed += account.entitled * account.profile[dimension];
        } else if account.profile[dimension] > 0.0 {
            open.push(account);
        }
    }
    let wanted: f64 = open.iter().map(|account| account.wanted * account.profile[dimension]).sum();
    if fixed + wanted <= 1.0 + TOLERANCE {
        return None;
    }
    open.sort_by(|a, b| a.full_level().total_cmp(&b.full_level()));
    let mut weights: f64 =
        open.iter().map(|account| account.weight * account.profile[dimension]).sum();
    for account in open {
        let level = (1.0 - fixed).max(0.0) / weights;
        if level < account.full_level() {
            return Some(level);
        }
        fixed += account.wanted * account.profile[dimension];
        weights -= account.weight * account.profile[dimension];
    }
    None
}

#[expect(clippy::cast_precision_loss, reason = "amounts are far below 2^53")]
fn as_f64(amount: u64) -> f64 {
    amount as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates, and fractions are not negative"
)]
fn to_ppm(fraction: f64) -> u64 {
    (fraction * PPM).round() as u64
}
