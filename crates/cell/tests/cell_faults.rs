//! Whole cells in simulated time: what holds while hosts, the store and workers fail.

mod sim;

use std::collections::BTreeSet;

use pier_cell::job::JobState;
use pier_cell::options::Options;
use rand::Rng;

use sim::{Sim, SimHost, step};

/// The faults of hosts, store and workers, and those between hosts that make calls for the decider.
const KINDS_OF_FAULTS: u32 = 10;
const KINDS_BETWEEN_HOSTS: u32 = 2;
/// Jobs that are handed in a second.
const JOBS_PER_S: u64 = 12;

fn load(sim: &mut Sim, seconds: u64, count: &mut usize) {
    for _ in 0..seconds * JOBS_PER_S {
        let host = sim.rng.random_range(0..sim.hosts.len());
        let tasks = sim.rng.random_range(1..4);
        let need = sim.rng.random_range(1..5);
        let mut steps = vec![step(tasks, need)];
        if sim.rng.random_range(0..4) == 0 {
            steps[0].gang = true;
        }
        if sim.rng.random_range(0..4) == 0 {
            let mut second = step(1, 1);
            second.after = vec![0];
            steps.push(second);
        }
        let queue = if sim.rng.random_range(0..2) == 0 { "urgent" } else { "batch" };
        *count += 1;
        sim.submit(host, &format!("{count:016x}"), queue, steps);
        sim.run_for(1_000 / JOBS_PER_S);
    }
}

fn check(sim: &Sim) {
    assert_eq!(sim.seen.broken, Vec::<String>::new());
    let mut unfinished = BTreeSet::new();
    for id in &sim.seen.accepted {
        match sim.stored_state(id) {
            Some(JobState::Completed | JobState::Failed) => {}
            state => {
                unfinished.insert(format!("{id} is {state:?}"));
            }
        }
    }
    assert_eq!(unfinished, BTreeSet::new(), "accepted jobs that did not end");
    for id in &sim.seen.rejected {
        assert_eq!(sim.stored_state(id), None, "{id} was rejected and is known all the same");
    }
}

/// Guards against a path that loses or doubles work without any fault.
#[test]
fn a_calm_cell_runs_all_that_it_accepts() {
    let mut sim = Sim::new(1, 4, 8);
    sim.run_for(2_000);
    let mut count = 0;
    load(&mut sim, 6, &mut count);
    sim.run_for(8_000);
    assert_eq!(sim.seen.accepted.len(), count);
    check(&sim);
}

/// Guards against a long time without starts when the decider's process dies, and against what it
/// had decided being lost or run twice.
#[test]
fn starts_go_on_within_two_seconds_of_the_deciders_death() {
    let mut sim = Sim::new(2, 5, 8);
    sim.run_for(2_000);
    let mut count = 0;
    load(&mut sim, 3, &mut count);
    let decider = sim.decider().expect("a decider");
    let killed_at_ms = sim.now_ms;
    sim.kill_host(decider);
    for index in 0..sim.hosts.len() {
        if index != decider {
            let id = format!("after{index:011}");
            sim.submit(index, &id, "urgent", vec![step(1, 1)]);
        }
    }
    sim.run_for(2_000);
    let first = sim.seen.start_times_ms.iter().find(|at| **at > killed_at_ms + 100);
    assert!(first.is_some_and(|at| *at <= killed_at_ms + 2_000), "first start at {first:?}");
    sim.start_host(decider);
    sim.run_for(10_000);
    check(&sim);
}

/// The time from `at_ms` until the first start of what is submitted then, at other hosts.
fn first_start_after(sim: &mut Sim, decider: usize, at_ms: u64) -> u64 {
    for index in 0..sim.hosts.len() {
        if index != decider {
            sim.submit(index, &format!("after{index:011}"), "urgent", vec![step(1, 1)]);
        }
    }
    sim.run_for(4_000);
    let first = sim.seen.start_times_ms.iter().find(|start| **start > at_ms + 100);
    first.map_or(u64::MAX, |start| start - at_ms)
}

/// Plays a trouble of the decider in ten cells, and checks that starts go on within so long.
fn play_decider_trouble(bound_ms: u64, set: impl Fn(&mut SimHost, bool)) {
    for seed in 0..10 {
        let mut sim = Sim::new(seed, 5, 8);
        sim.run_for(2_000);
        let mut count = 0;
        load(&mut sim, 2, &mut count);
        let decider = sim.decider().expect("a decider");
        set(&mut sim.hosts[decider], true);
        let at_ms = sim.now_ms;
        let after_ms = first_start_after(&mut sim, decider, at_ms);
        assert!(after_ms <= bound_ms, "seed {seed}: first start after {after_ms} ms");
        set(&mut sim.hosts[decider], false);
        sim.run_for(10_000);
        check(&sim);
    }
}

/// Guards against a long time without starts when the store refuses only the decider: its own word
/// for that is enough for the others.
#[test]
fn starts_go_on_at_once_when_the_store_refuses_the_decider() {
    play_decider_trouble(650, |host, is_on| host.is_refused_by_store = is_on);
}

/// Guards against a long time without starts when the store turns only the decider away.
#[test]
fn starts_go_on_within_two_seconds_when_the_decider_is_cut_from_the_store() {
    play_decider_trouble(2_000, |host, is_on| host.is_cut_from_store = is_on);
}

/// Guards against a decider that freezes and wakes: what it had decided must neither be started
/// late nor keep others from starting.
#[test]
fn starts_go_on_within_three_seconds_when_the_decider_freezes() {
    for seed in 0..10 {
        let mut sim = Sim::new(seed, 5, 8);
        sim.run_for(2_000);
        let mut count = 0;
        load(&mut sim, 2, &mut count);
        let decider = sim.decider().expect("a decider");
        let at_ms = sim.now_ms;
        sim.hosts[decider].paused_until_ms = at_ms + 4_000;
        let after_ms = first_start_after(&mut sim, decider, at_ms);
        assert!(after_ms <= 3_000, "seed {seed}: first start after {after_ms} ms");
        sim.run_for(12_000);
        check(&sim);
    }
}

/// Guards against hosts that take a slow store for a dead decider and claim its place again and
/// again (the incident at Kuiseb: up to 150 claims a second).
#[test]
fn a_slow_store_changes_no_decider() {
    let mut sim = Sim::new(5, 5, 8);
    sim.run_for(2_000);
    let mut count = 0;
    load(&mut sim, 2, &mut count);
    let decider = sim.decider();
    sim.seen.claims = 0;
    sim.store_ms = 180..260;
    load(&mut sim, 5, &mut count);
    assert_eq!(sim.decider(), decider);
    assert!(sim.seen.claims <= 2, "{} claims", sim.seen.claims);
    sim.store_ms = 2..8;
    sim.run_for(8_000);
    check(&sim);
}

/// Guards against an answer that is ready and not delivered: every host tells of a job's end as soon
/// as it is stored, without waiting for its next read of the log. Callers ask any host.
#[test]
fn every_host_tells_of_an_end_at_once() {
    for offset in 0..3 {
        end_is_told(offset);
    }
}

fn end_is_told(offset: usize) {
    let mut sim = Sim::new(6, 3, 8);
    sim.run_for(2_000);
    let decider = sim.decider().expect("a decider");
    let host = (decider + offset) % 3;
    sim.submit((decider + 1) % 3, "00000000000000aa", "urgent", vec![step(1, 1)]);
    while sim.stored_state("00000000000000aa") != Some(JobState::Completed) {
        sim.run_for(1);
        // From now on a read of the log takes longer than the message.
        if host != decider && sim.stored_state("00000000000000aa").is_some() {
            sim.hosts[host].is_cut_from_store = true;
        }
    }
    sim.run_for(15);
    let shown = sim.show(host, "00000000000000aa", "urgent");
    assert_eq!(shown, Some(pier_cell::effect::CallerResponse::State(JobState::Completed)));
}

fn retry_after_ms(sim: &Sim, id: &str) -> Option<u128> {
    match sim.seen.answers.get(id) {
        Some(pier_cell::effect::CallerResponse::Rejected { retry_after, .. }) => {
            Some(retry_after.as_millis())
        }
        _ => None,
    }
}

/// Guards against callers that come back to a host that is cut off, or that use up their attempts
/// in an outage that all hosts share.
#[test]
fn a_rejection_says_when_another_attempt_can_succeed() {
    let mut sim = Sim::new(7, 4, 8);
    sim.run_for(2_000);
    let host = (sim.decider().expect("a decider") + 1) % 4;
    sim.hosts[host].is_cut_from_store = true;
    sim.run_for(6_000);
    sim.submit(host, "00000000000000c1", "urgent", vec![step(1, 1)]);
    sim.run_for(100);
    assert_eq!(retry_after_ms(&sim, "00000000000000c1"), Some(0), "others serve");
    sim.hosts[host].is_cut_from_store = false;
    sim.run_for(3_000);
    sim.is_store_down = true;
    sim.run_for(6_000);
    sim.submit(host, "00000000000000c2", "urgent", vec![step(1, 1)]);
    sim.run_for(100);
    assert_eq!(retry_after_ms(&sim, "00000000000000c2"), Some(1_000), "no host serves");
}

/// Guards against callers that are kept waiting by a decider that was replaced: a host that is cut
/// off together with it is still connected to it (Hladik scale-2).
#[test]
fn a_replaced_decider_keeps_no_caller_waiting() {
    let mut sim = Sim::new(8, 5, 8);
    // Long tasks, so that the decider looks at workers and hears of its successor from them.
    sim.run_ms = 6_000;
    sim.run_for(2_000);
    let mut count = 0;
    load(&mut sim, 1, &mut count);
    let decider = sim.decider().expect("a decider");
    let host = (decider + 1) % 5;
    sim.hosts[decider].is_cut_from_store = true;
    sim.hosts[host].is_cut_from_store = true;
    // Its view of the declaration is still recent enough to take calls.
    sim.run_for(1_700);
    sim.submit(host, "00000000000000d1", "urgent", vec![step(1, 1)]);
    sim.run_for(1_300);
    assert!(sim.seen.answers.contains_key("00000000000000d1"), "no answer after 1.3 s");
    sim.hosts[decider].is_cut_from_store = false;
    sim.hosts[host].is_cut_from_store = false;
    sim.run_for(20_000);
    check(&sim);
}

/// Guards against a caller that is told that there is no such job, while its job runs: a decider
/// that was replaced and does not know it yet has never heard of the job (Kuiseb, own day
/// store-and-decider, seed 173352165450).
#[test]
fn a_replaced_decider_does_not_deny_a_job() {
    let mut sim = Sim::new(16, 5, 8);
    sim.run_for(2_000);
    let old = sim.decider().expect("a decider");
    let cut_off = (old + 1) % 5;
    sim.hosts[old].is_cut_from_store = true;
    sim.hosts[cut_off].is_cut_from_store = true;
    sim.run_for(1_600);
    sim.submit((old + 2) % 5, "job", "urgent", vec![step(1, 1)]);
    sim.run_for(60);
    assert!(sim.seen.accepted.contains("job"), "the new decider has taken it");
    let answer = sim.cancel_for(cut_off, "job", "urgent", 300);
    assert_ne!(answer, Some(pier_cell::effect::CallerResponse::UnknownJob));
    let shown = sim.show(cut_off, "job", "urgent");
    assert_ne!(shown, Some(pier_cell::effect::CallerResponse::UnknownJob));
    sim.hosts[old].is_cut_from_store = false;
    sim.hosts[cut_off].is_cut_from_store = false;
    sim.run_for(10_000);
    check(&sim);
}

/// Guards against calls that multiply between two hosts: each that reaches a host before it knows
/// that it decides is sent back, and must not make its sender pass on all others at once.
#[test]
fn calls_do_not_multiply_between_hosts() {
    let mut sim = Sim::new(9, 4, 8);
    sim.run_for(2_000);
    let decider = sim.decider().expect("a decider");
    sim.kill_host(decider);
    sim.lost_appends_percent = 100;
    let claims = sim.seen.claims;
    while sim.seen.claims == claims {
        sim.run_for(1);
    }
    // The claim is stored, and its host does not hear of it.
    let claimant = sim.claimant().expect("a claim");
    sim.hosts[claimant].is_cut_from_store = true;
    for call in 0..60 {
        let host = (claimant + 1 + call % 3) % 4;
        sim.submit(host, &format!("{call:016x}"), "urgent", vec![step(1, 1)]);
    }
    sim.seen.messages = 0;
    sim.run_for(560);
    // Each is sent and sent back every 40 ms for half a second at most.
    assert!(sim.seen.messages <= 60 * 2 * 14, "{} messages", sim.seen.messages);
    sim.hosts[claimant].is_cut_from_store = false;
    sim.lost_appends_percent = 0;
    sim.start_host(decider);
    sim.run_for(10_000);
    check(&sim);
}

/// Guards against a host that is not ready for long, and calls that wait for nothing: it reads of a
/// claim before the claimant has the store's answer, and passes calls too early.
#[test]
fn calls_that_reach_a_decider_before_its_claim_is_answered_are_passed_again() {
    let mut sim = Sim::new(9, 4, 8);
    sim.run_for(2_000);
    let decider = sim.decider().expect("a decider");
    sim.kill_host(decider);
    // Answers of appends are slow while reads are quick.
    sim.append_response_ms = 400;
    for millis in 0..200 {
        sim.run_for(10);
        let host = (decider + 1 + millis % 3) % 4;
        sim.submit(host, &format!("{millis:016x}"), "urgent", vec![step(1, 1)]);
    }
    sim.append_response_ms = 0;
    sim.run_for(6_000);
    assert_eq!(sim.seen.unsure.len(), 0, "calls without an outcome: {:?}", sim.seen.unsure);
    check(&sim);
}

/// Guards against a new decider that asks the adviser alone: hosts that restart together connect
/// to the decider's address before its new process has claimed the place.
#[test]
fn all_hosts_ask_the_adviser_after_they_have_restarted_together() {
    let mut sim = Sim::new(3, 5, 8);
    let mut directory = sim.directory.clone();
    for queue in &mut directory.queues {
        queue.advice = Some(pier_cell::declaration::AdviserTiming {
            base: std::time::Duration::from_millis(100),
            per_worker: std::time::Duration::from_millis(1),
            validity: std::time::Duration::from_millis(1_500),
        });
    }
    directory.version = 2;
    sim.advice_ms = 400;
    sim.declare(directory);
    sim.run_for(2_000);
    let mut count = 0;
    load(&mut sim, 2, &mut count);
    for index in 0..sim.hosts.len() {
        sim.kill_host(index);
    }
    sim.run_for(500);
    sim.seen.questions_by_host.clear();
    for index in 0..sim.hosts.len() {
        sim.start_host(index);
    }
    sim.run_for(2_000);
    load(&mut sim, 4, &mut count);
    let asking = sim.seen.questions_by_host.len();
    assert!(asking >= 4, "only {asking} of 5 hosts asked the adviser");
    sim.run_for(10_000);
    check(&sim);
}

/// Guards against work that is lost or doubled under faults of every kind in random order.
///
/// `PIER_CELL_SEEDS=FIRST..END` plays other seeds, and `PIER_CELL_TRACE` prints what the hosts log.
#[test]
fn promises_hold_under_random_faults() {
    play_seeds(|seed| random_faults(Sim::new(seed, 4, 8), KINDS_OF_FAULTS));
}

/// Guards against work that is lost or doubled where other hosts make the decider's calls: they
/// die, freeze, lose their connections and are cut off from single workers meanwhile.
#[test]
fn promises_hold_under_random_faults_where_other_hosts_make_the_calls() {
    play_seeds(|seed| random_faults(carrying(seed), KINDS_OF_FAULTS + KINDS_BETWEEN_HOSTS));
}

fn play_seeds(play: impl Fn(u64) + std::panic::RefUnwindSafe) {
    if std::env::var("PIER_CELL_TRACE").is_ok() {
        let lines = tracing_subscriber::fmt().without_time().with_ansi(false).with_target(false);
        // Another test may have set it up.
        let _ = lines.try_init();
    }
    let seeds = match std::env::var("PIER_CELL_SEEDS") {
        Ok(range) => {
            let (first, end) = range.split_once("..").expect("FIRST..END");
            first.parse().expect("a seed")..end.parse().expect("a seed")
        }
        Err(_) => 0..24,
    };
    let mut failed = Vec::new();
    for seed in seeds {
        let result = std::panic::catch_unwind(|| play(seed));
        if result.is_err() {
            failed.push(seed);
        }
    }
    assert_eq!(failed, Vec::<u64>::new(), "seeds that failed");
}

/// A cell whose decider calls no worker itself.
fn carrying(seed: u64) -> Sim {
    let options = Options { max_direct_workers: 0, ..Options::default() };
    Sim::with_options(seed, 4, 8, options)
}

/// Guards against a gang that never starts because smaller jobs of its own account take the
/// account's limit bit by bit.
#[test]
fn a_gang_gets_its_accounts_limit_although_smaller_jobs_go_on() {
    let mut sim = Sim::new(14, 3, 8);
    let mut directory = sim.directory.clone();
    directory.version = 2;
    directory.accounts[0].cap = sim::cores(16);
    sim.declare(directory);
    sim.run_for(2_000);
    let submit = |sim: &mut Sim, index: usize| {
        sim.submit(index % 3, &format!("small{index:011}"), "batch", vec![step(1, 2)]);
        sim.run_for(60);
    };
    // Small jobs of the account ask for more than its limit all the time.
    for index in 0..60 {
        submit(&mut sim, index);
    }
    let mut gang = step(6, 2);
    gang.gang = true;
    sim.submit(0, "gang", "batch", vec![gang]);
    for index in 60..160 {
        submit(&mut sim, index);
    }
    assert_eq!(sim.stored_state("gang"), Some(JobState::Completed));
    sim.run_for(20_000);
    check(&sim);
}

/// Guards against a decider that is busy with calls in a large cell, and against one that makes
/// none while it has no other host.
#[test]
fn other_hosts_make_the_calls_of_a_large_cell() {
    let mut sim = carrying(11);
    sim.run_for(2_000);
    let decider = sim.decider().expect("a decider");
    sim.seen.calls_by_host.clear();
    let mut count = 0;
    load(&mut sim, 4, &mut count);
    let carriers = sim.seen.calls_by_host.keys().filter(|host| **host != decider).count();
    // At least one in each zone.
    assert!(carriers >= 2, "{:?}", sim.seen.calls_by_host);
    assert_eq!(sim.seen.calls_by_host.get(&decider), None);
    for index in 0..sim.hosts.len() {
        if index != decider {
            sim.kill_host(index);
        }
    }
    let before = sim.seen.starts;
    sim.submit(decider, "alone", "urgent", vec![step(1, 1)]);
    sim.run_for(3_000);
    assert!(sim.seen.starts > before);
    check(&sim);
}

/// Guards against tasks that wait for the calls of a host that has died or does not reach a worker.
#[test]
fn calls_of_a_lost_host_are_made_by_another() {
    let mut sim = carrying(12);
    sim.run_for(2_000);
    let decider = sim.decider().expect("a decider");
    let mut count = 0;
    load(&mut sim, 2, &mut count);
    let lost: Vec<usize> = (0..sim.hosts.len()).filter(|host| *host != decider).collect();
    sim.kill_host(lost[0]);
    for worker in 0..8 {
        sim.cut_workers_of.insert((lost[1], format!("w{worker}")));
    }
    sim.run_for(1_500);
    let started_at_ms = sim.now_ms;
    sim.submit(decider, "after", "urgent", vec![step(8, 8)]);
    sim.run_for(2_500);
    assert_eq!(sim.stored_state("after"), Some(JobState::Completed), "from {started_at_ms} ms");
    sim.start_host(lost[0]);
    sim.run_for(10_000);
    check(&sim);
}

/// A cell in which the hosts from `first_small` on have little of a processor core, and in which the
/// decider calls no worker itself.
fn with_small_hosts(seed: u64, hosts: usize, first_small: usize) -> Sim {
    let options = Options { max_direct_workers: 0, ..Options::default() };
    let mut sim = Sim::with_options(seed, hosts, 8, options);
    for index in first_small..hosts {
        sim.hosts[index].core_permille = 120;
        sim.start_host(index);
    }
    sim
}

/// Guards against small hosts that are busy with the log of a large cell, and against jobs that
/// they do not pass on or tell of.
#[test]
fn small_hosts_leave_the_log_to_others() {
    let mut sim = with_small_hosts(21, 6, 2);
    sim.run_for(2_000);
    assert!(sim.decider().is_some_and(|decider| decider < 2));
    sim.seen.cell_reads_by_host.clear();
    let mut count = 0;
    load(&mut sim, 4, &mut count);
    sim.run_for(6_000);
    assert_eq!(sim.seen.accepted.len(), count);
    for small in 2..6 {
        assert_eq!(sim.seen.cell_reads_by_host.get(&small), None, "host {small} read the log");
        let shown = sim.show(small, &format!("{count:016x}"), "urgent");
        assert_eq!(shown, Some(pier_cell::effect::CallerResponse::State(JobState::Completed)));
    }
    check(&sim);
}

/// Guards against small hosts that find no new decider, or find one by its log only.
#[test]
fn small_hosts_follow_a_change_of_the_decider() {
    let mut sim = with_small_hosts(22, 6, 2);
    sim.run_for(2_000);
    let decider = sim.decider().expect("a decider");
    sim.kill_host(decider);
    sim.run_for(1_500);
    sim.seen.cell_reads_by_host.clear();
    for small in 2..6 {
        sim.submit(small, &format!("after{small:011}"), "urgent", vec![step(1, 1)]);
    }
    sim.run_for(500);
    assert_eq!(sim.seen.accepted.len(), 4, "{:?}", sim.seen.answers);
    sim.start_host(decider);
    sim.run_for(6_000);
    for small in 2..6 {
        assert_eq!(sim.seen.cell_reads_by_host.get(&small), None, "host {small} read the log");
    }
    check(&sim);
}

/// Guards against a cell that stands still because only small hosts are left.
#[test]
fn small_hosts_decide_when_no_larger_one_is_left() {
    let mut sim = with_small_hosts(23, 5, 2);
    sim.run_for(2_000);
    let mut count = 0;
    load(&mut sim, 2, &mut count);
    sim.kill_host(0);
    sim.kill_host(1);
    sim.run_for(5_000);
    assert!(sim.decider().is_some_and(|decider| decider >= 2));
    sim.submit(3, "after", "urgent", vec![step(1, 1)]);
    sim.run_for(2_500);
    assert_eq!(sim.stored_state("after"), Some(JobState::Completed));
    sim.start_host(0);
    sim.run_for(10_000);
    check(&sim);
}

/// Guards against a cell of small hosts only in which each waits for a larger one.
#[test]
fn a_cell_of_small_hosts_follows_its_log() {
    let mut sim = with_small_hosts(24, 5, 0);
    sim.run_for(5_000);
    let mut count = 0;
    load(&mut sim, 2, &mut count);
    let decider = sim.decider().expect("a decider");
    sim.kill_host(decider);
    let at_ms = sim.now_ms;
    let after_ms = first_start_after(&mut sim, decider, at_ms);
    assert!(after_ms <= 2_000, "first start after {after_ms} ms");
    sim.start_host(decider);
    sim.run_for(10_000);
    check(&sim);
}

/// Guards against work that is lost or doubled where half of the hosts do not follow the log.
#[test]
fn promises_hold_under_random_faults_with_small_hosts() {
    play_seeds(|seed| {
        random_faults(with_small_hosts(seed, 4, 2), KINDS_OF_FAULTS + KINDS_BETWEEN_HOSTS);
    });
}

fn random_faults(mut sim: Sim, kinds: u32) {
    sim.run_for(2_000);
    let mut count = 0;
    for _ in 0..6 {
        load(&mut sim, 1, &mut count);
        inject(&mut sim, kinds);
        load(&mut sim, 1, &mut count);
    }
    calm(&mut sim);
    sim.run_for(30_000);
    check(&sim);
}

fn inject(sim: &mut Sim, kinds: u32) {
    let host = match sim.rng.random_range(0..2) {
        0 => sim.decider().unwrap_or(0),
        _ => sim.rng.random_range(0..sim.hosts.len()),
    };
    let worker = format!("w{}", sim.rng.random_range(0..8));
    match sim.rng.random_range(0..kinds) {
        0 => {
            sim.kill_host(host);
            let pause = sim.rng.random_range(50..1_500);
            sim.run_for(pause);
            sim.start_host(host);
        }
        1 => sim.hosts[host].paused_until_ms = sim.now_ms + sim.rng.random_range(500..5_000),
        2 => sim.hosts[host].is_cut_from_store = !sim.hosts[host].is_cut_from_store,
        3 => sim.is_store_down = !sim.is_store_down,
        4 => sim.lost_appends_percent = sim.rng.random_range(0..40),
        5 => sim.late_orders_percent = sim.rng.random_range(0..20),
        6 if sim.workers[&worker].is_up => sim.crash_worker(&worker),
        6 => sim.revive_worker(&worker),
        7 if !sim.cut_workers.remove(&worker) => {
            sim.cut_workers.insert(worker);
        }
        8 => sim.cell.trim(),
        9 => {
            for index in 0..sim.hosts.len() {
                sim.kill_host(index);
            }
            let pause = sim.rng.random_range(50..2_000);
            sim.run_for(pause);
            for index in 0..sim.hosts.len() {
                sim.start_host(index);
            }
        }
        10 => sim.break_connection(host),
        11 => {
            for index in 0..8 {
                sim.cut_workers_of.insert((host, format!("w{index}")));
            }
        }
        _ => {}
    }
}

fn calm(sim: &mut Sim) {
    sim.is_store_down = false;
    sim.lost_appends_percent = 0;
    sim.late_orders_percent = 0;
    sim.cut_workers.clear();
    sim.cut_workers_of.clear();
    for index in 0..sim.hosts.len() {
        sim.hosts[index].is_cut_from_store = false;
    }
    let dead: Vec<String> = sim
        .workers
        .values()
        .filter(|worker| !worker.is_up)
        .map(|worker| worker.id.clone())
        .collect();
    for id in dead {
        sim.revive_worker(&id);
    }
}
