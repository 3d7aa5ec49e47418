//! The division of capacity among accounts: random demands, and one large account beside small ones.

use pier_core::resources::Resources;
use pier_load::shares::{AccountDemand, Shares};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const PPM: u64 = 1_000_000;
/// The largest rounding error of a share, in parts per million.
const ROUNDING_PPM: u64 = 2;
const CORE: u64 = 1_000;

fn cores(count: u64) -> Resources {
    Resources { cpu_milli: count * CORE, ..Resources::ZERO }
}

fn demand(weight: u32, used: u64, waiting: u64) -> AccountDemand {
    AccountDemand { weight, used: cores(used), waiting: cores(waiting), cap: Resources::MAX }
}

/// Guards against a division that gives away more than the capacity, leaves some unused while an
/// account wants more, gives more than is wanted, or gives an account that wants more a smaller
/// part for its weight than another one gets.
#[test]
fn random_demands_are_divided_by_weight() {
    for seed in 0..500 {
        let mut rng = StdRng::seed_from_u64(seed);
        let capacity = cores(rng.random_range(1_000..20_000));
        let mut demands = Vec::new();
        for _ in 0..rng.random_range(1..30) {
            let weight = rng.random_range(1..100);
            demands.push(demand(weight, rng.random_range(0..600), rng.random_range(0..1_500)));
        }
        let shares = Shares::divide(&capacity, &demands);
        let mut total = 0;
        let mut wanted = 0;
        for (index, account) in demands.iter().enumerate() {
            let entitled = shares.entitled_ppm(index);
            total += entitled;
            wanted += shares.demand_ppm(index);
            assert!(entitled <= shares.demand_ppm(index), "seed {seed}: more than is wanted");
            if entitled == shares.demand_ppm(index) {
                continue;
            }
            for (other, other_account) in demands.iter().enumerate() {
                let own = (entitled + ROUNDING_PPM) * u64::from(other_account.weight);
                let others = shares.entitled_ppm(other) * u64::from(account.weight);
                assert!(others <= own + ROUNDING_PPM * 100, "seed {seed}: {other} beats {index}");
            }
        }
        let rounding = ROUNDING_PPM * 30;
        assert!(total.abs_diff(wanted.min(PPM)) <= rounding, "seed {seed}: {total} of {wanted}");
        assert_eq!(shares.is_scarce(), total + rounding < wanted, "seed {seed}");
    }
}

/// Guards against counting only one resource: an account that needs mostly memory and one that
/// needs mostly processor time do not take from each other until one of the two is used up.
#[test]
fn only_accounts_that_need_a_scarce_resource_are_limited() {
    let capacity = Resources { memory_mb: 1_000, ..cores(100) };
    let amounts = |cpu, memory_mb| Resources { memory_mb, ..cores(cpu) };
    let wants = |waiting| AccountDemand { waiting, ..demand(1, 0, 0) };
    let shares = Shares::divide(&capacity, &[wants(amounts(80, 100)), wants(amounts(10, 800))]);
    assert!(!shares.is_scarce());
    let demands = [wants(amounts(80, 0)), wants(amounts(80, 0)), wants(amounts(0, 900))];
    let shares = Shares::divide(&capacity, &demands);
    assert_eq!([0, 1, 2].map(|index| shares.entitled_ppm(index)), [500_000, 500_000, 900_000]);
}

/// Guards against a division that counts more than an account's limit lets it use.
#[test]
fn demand_beyond_the_limit_does_not_count() {
    let limited = AccountDemand { cap: cores(20), ..demand(1, 10, 500) };
    let shares = Shares::divide(&cores(100), &[limited, demand(1, 0, 500)]);
    assert_eq!([shares.entitled_ppm(0), shares.entitled_ppm(1)], [200_000, 800_000]);
}

/// Guards against a flood that takes capacity from accounts with their usual load: one account at
/// eight times its usual load beside nineteen small ones, with tasks of odd sizes that end one
/// after the other and are replaced by what is within the shares.
#[test]
fn a_flood_changes_the_share_of_no_other_account_by_five_percent() {
    const CAPACITY: u64 = 16_800;
    let usual = CAPACITY * 9 / 10 / 20;
    let capacity = cores(CAPACITY);
    let mut rng = StdRng::seed_from_u64(1);
    let mut used = [0; 20];
    used[0] = CAPACITY;
    for _ in 0..2_000 {
        // A part of the running tasks ends.
        let mut demands = Vec::new();
        for (index, amount) in used.iter_mut().enumerate() {
            *amount -= *amount / 20;
            let wanted = if index == 0 { usual * 8 } else { usual };
            demands.push(demand(1, *amount, wanted.saturating_sub(*amount)));
        }
        let mut shares = Shares::divide(&capacity, &demands);
        let mut free = CAPACITY - used.iter().sum::<u64>();
        let mut refused = 0;
        // Until none of the accounts has placed anything.
        while free >= 9 && refused < used.len() {
            for (account, amount) in used.iter_mut().enumerate() {
                let need = rng.random_range(1..10);
                refused += 1;
                if free >= need && shares.is_within(account, &cores(need)) {
                    assert!(shares.charge(account, &cores(need)));
                    *amount += need;
                    free -= need;
                    refused = 0;
                }
            }
        }
    }
    let rest = CAPACITY - 19 * usual;
    for (index, amount) in used.into_iter().enumerate() {
        let entitled = if index == 0 { rest } else { usual };
        assert!(amount.abs_diff(entitled) * 100 < entitled * 5, "{index}: {amount} of {entitled}");
    }
}

/// Guards against counting tasks differently one by one and together.
#[test]
fn tasks_are_counted_as_they_are_charged() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut demands = Vec::new();
        for _ in 0..5 {
            demands.push(demand(1, rng.random_range(0..40), rng.random_range(0..200)));
        }
        let mut shares = Shares::divide(&cores(100), &demands);
        let need = cores(rng.random_range(1..9));
        let within = shares.count_within(0, &need, 50);
        let mut charged = 0;
        while charged < 50 && shares.charge(0, &need) {
            charged += 1;
        }
        assert_eq!(charged, within, "seed {seed}");
    }
}
