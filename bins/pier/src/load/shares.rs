//! The distance of the teams' resource usage from their fair shares.

/// The resource usage of a team.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TeamUsage {
    /// The amount in use.
    pub used: f64,
    /// The weight of the team's share.
    pub weight: f64,
    /// Whether the team has work that waits for resources.
    pub has_waiting_work: bool,
}

/// Returns half the sum of the absolute differences between each team's fraction of the total usage
/// and its fraction of the total weight (the total variation distance). Zero means that usage is
/// proportional to weight, one that only teams without weight use anything.
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

/// Returns half the sum of the absolute differences between each team's usage and its entitlement,
/// as a fraction of the total usage. Entitlements follow weighted max-min fairness: a team without
/// waiting work is entitled to at most what it uses, and the other teams divide the rest by weight.
/// A distance from the weights alone would count shares that no team has work for against the
/// policy.
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

/// Divides `amount` by weight (progressive filling): a team without waiting work that uses less
/// than its part keeps what it uses, and the rest is divided again among the other teams.
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
        let mut has_changed = false;
        for (team, fixed) in teams.iter().zip(&mut entitled) {
            if fixed.is_some() || team.has_waiting_work {
                continue;
            }
            if team.used * weights < team.weight * rest {
                *fixed = Some(team.used);
                has_changed = true;
            }
        }
        if has_changed {
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
