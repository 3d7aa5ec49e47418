//! Selects the hosts that hold an idempotency key.

use pier_core::{ids, rendezvous};

use crate::{cluster, message};

/// The home of a key and its backup. There are fewer holders if the cell has fewer members.
pub(super) fn of(cluster: &cluster::Cluster, key: &message::DedupeKey) -> Vec<ids::HostId> {
    let zone = |host: &ids::HostId| zone_of(cluster, host);
    among(&cluster.member_hosts, key, zone)
}

/// The home of a key and its backup among the given members. The backup is the first member in
/// rendezvous order in a different availability zone from the home, or the second member if there
/// is none.
pub(super) fn among(
    members: &[ids::HostId],
    key: &message::DedupeKey,
    zone: impl Fn(&ids::HostId) -> Option<ids::ZoneId>,
) -> Vec<ids::HostId> {
    let name = format!("{}:{}:{}", key.team.len(), key.team, key.key);
    let ranked = rendezvous::ranked(&name, members);
    let mut holders = Vec::with_capacity(2);
    let Some(home) = ranked.first() else {
        return holders;
    };
    holders.push((*home).clone());
    let home_zone = zone(home);
    let other_zone = ranked.iter().skip(1).find(|host| zone(host) != home_zone);
    if let Some(backup) = other_zone.or(ranked.get(1)) {
        holders.push((*backup).clone());
    }
    holders
}

/// The availability zone of a member; none if the member is not known.
pub(super) fn zone_of(cluster: &cluster::Cluster, host: &ids::HostId) -> Option<ids::ZoneId> {
    if *host == cluster.identity.host {
        return Some(cluster.identity.availability_zone.clone());
    }
    cluster.peers.get(host).map(|peer| peer.member.availability_zone.clone())
}
