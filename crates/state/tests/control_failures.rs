//! Hosts that die, pause or are partitioned from the others.

mod control_sim;

use control_sim::{Cell, ms};
use pier_state::cluster::Authority;

const HOSTS: [&str; 4] = ["h0", "h1", "h2", "h3"];

/// Guards against workers of a killed host that stay idle for more than 15 s, and against a
/// takeover before the authority of the killed host has certainly ended.
#[test]
fn the_workers_of_a_killed_host_are_taken_over_after_the_wait() {
    let mut cell = Cell::formed(4, 24);
    let killed_at = cell.now;
    let held = cell.held_by("h1");
    cell.kill("h1");
    let took = cell.run_until(ms(15_000), |cell| cell.held_workers() == 24);
    assert!(held > 0 && took.is_some());
    let wait = cell.options.takeover_wait();
    for worker in cell.workers.values() {
        for (at, host, token) in &worker.fences {
            assert!(token.epoch == 1 || *at >= killed_at + wait, "{host} fenced at {at:?}");
        }
    }
}

/// Guards against a host that resumes after a pause and starts work on workers that others have
/// taken over. `Cell::step` checks at all times that no two hosts may start work on one worker.
#[test]
fn a_paused_host_loses_authority_and_rejoins() {
    let mut cell = Cell::formed(4, 24);
    cell.paused.insert("h2".to_owned());
    assert!(cell.run_until(ms(15_000), |cell| cell.epoch("h0") == 2).is_some());
    cell.run(ms(5_000));
    assert!(!cell.may_start("h2"));
    let before = cell.state("h2").cluster().identity.incarnation;
    cell.paused.clear();
    let recovered = |cell: &Cell| cell.may_start("h2") && cell.epoch("h2") == cell.epoch("h0");
    assert!(cell.run_until(ms(10_000), recovered).is_some());
    assert!(cell.run_until(ms(10_000), |cell| cell.held_workers() == 24).is_some());
    assert_ne!(cell.state("h2").cluster().identity.incarnation, before);
}

/// Guards against a host that resumes after a short pause and suspects all its peers.
#[test]
fn a_resumed_host_does_not_suspect_its_peers() {
    let mut cell = Cell::formed(4, 24);
    cell.paused.insert("h0".to_owned());
    cell.run(ms(1_500));
    cell.paused.clear();
    cell.run(ms(10_000));
    assert_eq!(cell.epoch("h0"), 1);
}

/// Guards against an outage of the log that stops work everywhere although nobody can change the
/// membership.
#[test]
fn work_continues_while_no_host_reaches_the_log() {
    let mut cell = Cell::formed(4, 24);
    cell.log.unreachable_from.insert("*".to_owned());
    cell.run(ms(1_000));
    for _ in 0..100 {
        cell.run(ms(100));
        for host in HOSTS {
            assert!(cell.may_start(host), "{host} stopped at {:?}", cell.now);
        }
    }
    assert_eq!(cell.state("h0").cluster().authority, Authority::Outage);
    cell.log.unreachable_from.clear();
    cell.run(ms(1_000));
    assert_eq!(cell.state("h0").cluster().authority, Authority::Fresh);
    assert_eq!(cell.epoch("h0"), 1);
}

/// Guards against a host that dies during an outage of the log and stops all others for the rest of
/// the outage, and against a takeover without the log.
#[test]
fn a_death_in_an_outage_stops_the_others_only_until_the_host_list_shows_it() {
    let mut cell = Cell::formed(4, 24);
    cell.log.unreachable_from.insert("*".to_owned());
    cell.run(ms(4_000));
    cell.kill("h3");
    cell.run(ms(4_000));
    assert!(!cell.may_start("h0"));
    cell.remove_from_host_list("h3");
    cell.run(ms(4_000));
    for host in ["h0", "h1", "h2"] {
        assert!(cell.may_start(host));
    }
    assert!(cell.held_workers() < 24);
    cell.log.unreachable_from.clear();
    assert!(cell.run_until(ms(10_000), |cell| cell.held_workers() == 24).is_some());
}

/// Guards against a process restart during an outage of the log that stops all others for the rest
/// of the outage, because the host list still shows the host.
#[test]
fn a_restart_in_an_outage_does_not_stop_the_others() {
    let mut cell = Cell::formed(4, 24);
    cell.log.unreachable_from.insert("*".to_owned());
    cell.run(ms(4_000));
    cell.kill("h3");
    cell.start("h3");
    cell.run(ms(5_000));
    for host in ["h0", "h1", "h2"] {
        assert!(cell.may_start(host), "{host}");
    }
}

/// Guards against hosts that continue to start work on the side of a partition without the log:
/// they are a minority, so rule (b) must not hold for them.
#[test]
fn a_minority_without_the_log_stops() {
    let mut cell = Cell::formed(4, 24);
    for host in ["h0", "h1"] {
        cell.log.unreachable_from.insert(host.to_owned());
        for other in ["h2", "h3"] {
            cell.cut_links.insert((host.to_owned(), other.to_owned()));
        }
    }
    cell.run(ms(3_000));
    assert!(!cell.may_start("h0") && !cell.may_start("h1"));
    assert!(cell.may_start("h2") && cell.may_start("h3"));
    let taken = |cell: &Cell| cell.held_by("h2") + cell.held_by("h3") == 24;
    assert!(cell.run_until(ms(12_000), taken).is_some());
    cell.cut_links.clear();
    cell.log.unreachable_from.clear();
    let recovered = |cell: &Cell| HOSTS.iter().all(|host| cell.may_start(host));
    assert!(cell.run_until(ms(10_000), recovered).is_some());
}

/// Guards against a host that loses its authority because only its own path to the log fails, and
/// against one that misses changes of the declaration meanwhile.
#[test]
fn a_host_without_the_log_follows_its_peers() {
    let mut cell = Cell::formed(4, 24);
    cell.log.unreachable_from.insert("h2".to_owned());
    cell.run(ms(1_000));
    for _ in 0..60 {
        cell.run(ms(100));
        assert!(cell.may_start("h2"), "h2 stopped at {:?}", cell.now);
    }
    cell.apply_declaration("h0", 1, 0, r#"{ "cell": "a" }"#);
    let followed = |cell: &Cell| cell.state("h2").cluster().version == 1;
    assert!(cell.run_until(ms(2_000), followed).is_some());
    assert_eq!(cell.state("h2").cluster().authority, Authority::Fresh);
    assert_eq!(cell.epoch("h2"), 1);
}

/// Guards against a cell that never recovers when all its processes restart while the host list
/// still shows every host.
#[test]
fn a_cell_whose_processes_all_restart_recovers() {
    let mut cell = Cell::formed(4, 24);
    for host in HOSTS {
        cell.kill(host);
    }
    cell.run(ms(1_000));
    for host in HOSTS {
        cell.start(host);
    }
    let recovered =
        |cell: &Cell| cell.held_workers() == 24 && HOSTS.iter().all(|host| cell.may_start(host));
    assert!(cell.run_until(ms(30_000), recovered).is_some());
}

/// Guards against a cell that never recovers when all its hosts are replaced.
#[test]
fn new_hosts_replace_all_members() {
    let mut cell = Cell::formed(4, 24);
    for host in HOSTS {
        cell.kill(host);
        cell.remove_from_host_list(host);
    }
    for host in ["n0", "n1"] {
        cell.start(host);
    }
    let recovered =
        |cell: &Cell| cell.held_workers() == 24 && cell.may_start("n0") && cell.may_start("n1");
    let took = cell.run_until(ms(60_000), recovered);
    assert!(took.is_some_and(|took| took >= cell.options.host_list_lag));
}

/// Lets only `h2` reach the log, loses the reply to its next append, and kills `h1`, so that `h2`
/// proposes the epoch without `h1` and does not learn that the proposal is in the log.
fn lose_the_reply_to_a_proposal(cell: &mut Cell) {
    cell.log.unreachable_from.extend(["h0".to_owned(), "h3".to_owned()]);
    cell.log.lose_next_reply.insert("h2".to_owned());
    cell.kill("h1");
    let before = cell.log.appends;
    assert!(cell.run_until(ms(15_000), |cell| cell.log.appends > before).is_some());
}

/// Guards against a second proposal after one that took effect although its reply was lost.
#[test]
fn a_lost_reply_to_a_proposal_makes_one_epoch() {
    let mut cell = Cell::formed(4, 24);
    lose_the_reply_to_a_proposal(&mut cell);
    let appends = cell.log.appends;
    assert!(cell.run_until(ms(10_000), |cell| cell.held_workers() == 24).is_some());
    cell.run(ms(5_000));
    assert_eq!((cell.epoch("h0"), cell.log.appends), (2, appends));
}

/// Guards against authority by rule (b) while a proposal that may be in the log is undecided.
#[test]
fn an_undecided_proposal_prevents_authority_in_an_outage() {
    let mut cell = Cell::formed(4, 24);
    lose_the_reply_to_a_proposal(&mut cell);
    cell.log.unreachable_from.insert("*".to_owned());
    cell.remove_from_host_list("h1");
    cell.run(ms(3_000));
    for host in ["h0", "h2", "h3"] {
        assert!(!cell.may_start(host), "{host}");
    }
    cell.log.unreachable_from.clear();
    assert!(cell.run_until(ms(10_000), |cell| cell.held_workers() == 24).is_some());
    assert_eq!(cell.epoch("h0"), 2);
}

/// Guards against a lagging host list: a host that it does not show yet must be able to join, and a
/// silent host that it still shows must be replaced.
#[test]
fn a_lagging_host_list_neither_blocks_a_new_host_nor_keeps_a_dead_one() {
    let mut cell = Cell::formed(4, 24);
    cell.host_list_frozen = true;
    cell.kill("h0");
    cell.start("h9");
    let done = |cell: &Cell| cell.may_start("h9") && cell.held_workers() == 24;
    assert!(cell.run_until(ms(15_000), done).is_some());
}

/// Guards against an unreachable worker that keeps the takeovers of its owner from settling for
/// ever, and against fences that are sent to it without a delay.
#[test]
fn an_unreachable_worker_does_not_keep_takeovers_open_for_ever() {
    let mut cell = Cell::formed(4, 24);
    let worker =
        (0..24).map(|index| format!("w{index:03}")).find(|worker| cell.holders(worker) == ["h1"]);
    let worker = worker.expect("h1 holds a worker");
    cell.workers.get_mut(&worker).expect("it is a worker").unreachable = true;
    cell.kill("h1");
    assert!(cell.run_until(ms(10_000), |cell| cell.held_workers() == 23).is_some());
    let settled =
        |cell: &Cell| ["h0", "h2", "h3"].iter().all(|host| cell.state(host).cluster().settled);
    assert!(!settled(&cell));
    assert!(cell.run_until(ms(90_000), settled).is_some());
    cell.workers.get_mut(&worker).expect("it is a worker").unreachable = false;
    assert!(cell.run_until(ms(6_000), |cell| cell.held_workers() == 24).is_some());
}

/// Guards against a team that gets no new quota in the whole cell until the leases on one dead
/// worker have lapsed: the owner must soon report what may still run there, and no less.
#[test]
fn the_resources_of_a_worker_that_cannot_be_taken_over_are_known_soon() {
    let mut cell = Cell::formed(4, 24);
    let worker =
        (0..24).map(|index| format!("w{index:03}")).find(|worker| cell.holders(worker) == ["h1"]);
    let worker = worker.expect("h1 holds a worker");
    cell.workers.get_mut(&worker).expect("it is a worker").unreachable = true;
    let listed = cell.host_list.iter().find(|entry| *entry.id == *worker);
    let total = listed.expect("it is listed").resources;
    cell.kill("h1");
    let unfinished = |cell: &Cell| {
        let hosts = ["h0", "h2", "h3"];
        hosts.map(|host| cell.state(host).cluster().unsettled_usage())
    };
    let removed = |cell: &Cell| cell.state("h0").cluster().member_hosts.len() == 3;
    assert!(cell.run_until(ms(5_000), removed).is_some());
    // An earlier owner may still start work, so the amount is unknown.
    assert!(unfinished(&cell).contains(&None));
    let known = |cell: &Cell| unfinished(cell).iter().all(Option::is_some);
    assert!(cell.run_until(ms(8_000), known).is_some(), "the room is not known in time");
    let mut sum = pier_core::Resources::ZERO;
    for resources in unfinished(&cell).into_iter().flatten() {
        sum = sum.plus(&resources);
    }
    assert_eq!(sum, total);
}

/// Guards against a log whose answers take 2 s and that stops work or prevents the takeover of a
/// dead host's workers.
#[test]
fn work_and_membership_continue_while_the_log_is_slow() {
    let mut cell = Cell::formed(4, 24);
    cell.log.delay = ms(2_000);
    cell.run(ms(5_000));
    for _ in 0..100 {
        cell.run(ms(100));
        for host in HOSTS {
            assert!(cell.may_start(host), "{host} stopped at {:?}", cell.now);
        }
    }
    cell.kill("h1");
    assert!(cell.run_until(ms(20_000), |cell| cell.held_workers() == 24).is_some());
}

/// Guards against a takeover of a worker without fencing by a report from before the end of the
/// wait: a start by its last owner may be missing from it.
#[test]
fn without_fencing_a_worker_is_taken_over_by_a_report_after_the_wait() {
    let mut cell = Cell::empty(24);
    cell.options.worker_fencing = false;
    for host in HOSTS {
        cell.start(host);
    }
    cell.form();
    cell.kill("h1");
    assert!(cell.run_until(ms(10_000), |cell| cell.epoch("h0") == 2).is_some());
    let took = cell.run_until(ms(15_000), |cell| cell.held_workers() == 24);
    let min_delay = cell.options.takeover_wait() + control_sim::REPORT_AGE;
    assert!(took.is_some_and(|took| took >= min_delay), "{took:?}");
}

/// Guards against survivors of an outage that act as the whole cell: rule (b) needs a majority even
/// when the host list shows all others as gone.
#[test]
fn a_survivor_without_a_majority_does_not_start_work() {
    let mut cell = Cell::formed(4, 24);
    cell.log.unreachable_from.insert("*".to_owned());
    for host in ["h1", "h2"] {
        cell.kill(host);
        cell.remove_from_host_list(host);
    }
    cell.run(ms(10_000));
    assert!(!cell.may_start("h0") && !cell.may_start("h3"));
}

/// Guards against a new host that takes workers over because members that then die know the new
/// epoch: the members behind a partition, which do not need the answers of dead ones, would have
/// authority by rule (b) again.
#[test]
fn members_behind_a_partition_never_regain_the_workers_of_a_new_host() {
    let mut cell = Cell::formed(5, 24);
    let partitioned = ["h0", "h1", "h2"];
    cell.start("h5");
    for host in partitioned {
        cell.log.unreachable_from.insert(host.to_owned());
        for other in ["h3", "h4", "h5"] {
            cell.cut_links.insert((host.to_owned(), other.to_owned()));
        }
    }
    cell.run(ms(15_000));
    for host in ["h3", "h4"] {
        cell.kill(host);
        cell.remove_from_host_list(host);
    }
    cell.run(ms(30_000));
    assert!(partitioned.iter().all(|host| cell.may_start(host)), "the trial needs them to start");
}
