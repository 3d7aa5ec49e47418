//! The distance of teams from their shares.

/// A team in a cell.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamUsage {
    /// What it uses.
    pub used: f64,
    /// Its weight.
    pub weight: f64,
    /// Whether it has work that waits for room.
    pub has_waiting_work: bool,
}

/// Half of the sum of the differences between what each team uses and what its weight entitles it
/// to, both as parts of their sums. Zero means that all are equal, one that they are disjoint.
pub fn distance(used_and_weight: &[(f64, f64)]) -> f64 {
    let mut used_sum = 0.0;
    let mut weight_sum = 0.0;
    for (used, weight) in used_and_weight {
        used_sum += used;
        weight_sum += weight;
    }
    if used_sum <= 0.0 || weight_sum <= 0.0 {
        return 0.0;
    }
    let mut distance = 0.0;
    for (used, weight) in used_and_weight {
        distance += (used / used_sum - weight / weight_sum).abs();
    }
    distance / 2.0
}

/// Half of the sum of the differences between what each team uses and what it is entitled to, as a
/// part of all that is used. Max-min fairness by weight decides what a team is entitled to: a team
/// without waiting work is entitled to no more than it uses, and the others divide the rest by
/// weight. A distance from the weights alone would blame the policy for work that no team has.
pub fn entitlement_distance(teams: &[TeamUsage]) -> f64 {
    let used_sum: f64 = teams.iter().map(|team| team.used).sum();
    if used_sum <= 0.0 {
        return 0.0;
    }
    let mut distance = 0.0;
    for (team, entitled) in teams.iter().zip(entitlements(teams, used_sum)) {
        distance += (team.used - entitled).abs();
    }
    distance / used_sum / 2.0
}

/// Divides `amount` by weight, again and again without the teams that want less than their part.
fn entitlements(teams: &[TeamUsage], amount: f64) -> Vec<f64> {
    let mut entitled: Vec<Option<f64>> = vec![None; teams.len()];
    loop {
        let mut rest = amount;
        let mut weights = 0.0;
        for (team, fixed) in teams.iter().zip(&entitled) {
            match fixed {
                Some(fixed) => rest -= fixed,
                None => weights += team.weight,
            }
        }
        let mut is_changed = false;
        for (team, fixed) in teams.iter().zip(&mut entitled) {
            if fixed.is_some() || team.has_waiting_work {
                continue;
            }
            if team.used * weights < team.weight * rest {
                *fixed = Some(team.used);
                is_changed = true;
            }
        }
        if is_changed {
            continue;
        }
        let mut parts = Vec::with_capacity(teams.len());
        for (team, fixed) in teams.iter().zip(entitled) {
            let part = if weights > 0.0 { team.weight / weights * rest } else { 0.0 };
            parts.push(fixed.unwrap_or(part));
        }
        return parts;
    }
}
