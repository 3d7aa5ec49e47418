//! Failures of processes and of the platform, injected into cells of three or four hosts.
//!
//! Only the design targets are time bounds of the tests. Waits for other conditions have a generous
//! limit.
//!
//! `P1` to `P12` are the numbers of the guarantees of a cell.

mod support;

use std::env;
use std::thread;
use std::time;

use persimmonpier::link::operator;
use rustix::process::Signal;
use support::call::{Call, CallOutcome};
use support::cell::Cell;
use support::declaration::{Declaration, KEY, OTHER_KEY};
use support::load::{LoadGenerator, LoadOptions, Outcomes};
use support::{call, cell};

/// The target for using the workers of a killed host again.
const REUSE_TARGET: time::Duration = time::Duration::from_secs(15);
/// The target for an accepted declaration to be in force on every host (P11).
const IN_FORCE_TARGET: time::Duration = time::Duration::from_secs(5);
/// The target for a withdrawn key to stop working (P3).
const KEY_TARGET: time::Duration = time::Duration::from_secs(3);
/// The target for a leaving worker to get no new work (P9).
const LEAVING_TARGET: time::Duration = time::Duration::from_secs(3);
/// The time limit of a shutdown in the settings of the cell.
const DRAIN_LIMIT: time::Duration = time::Duration::from_secs(15);
/// Longer than the authority of a host and the following takeover of its workers together.
const PAUSE: time::Duration = time::Duration::from_secs(7);
/// The default length of a log outage, short because every change runs this test.
/// [`OUTAGE_VARIABLE`] names the environment variable that overrides it, in seconds.
const DEFAULT_OUTAGE: time::Duration = time::Duration::from_secs(10);
const OUTAGE_VARIABLE: &str = "PIER_OUTAGE_S";
/// Every host must answer a request in each interval of this length during an outage. The interval
/// is as long as a read of the log gives authority.
const OUTAGE_INTERVAL: time::Duration = time::Duration::from_millis(2_500);
const WARM_UP: time::Duration = time::Duration::from_secs(1);

fn load_options(cell: &Cell, run_ms: u64) -> LoadOptions {
    // Twice as many callers as slots keep every worker in use.
    let callers = 8 * cell.hosts.len();
    LoadOptions { targets: cell.caller_addresses(), callers, run_ms, retries: false }
}

fn outage_length() -> time::Duration {
    let Ok(text) = env::var(OUTAGE_VARIABLE) else {
        return DEFAULT_OUTAGE;
    };
    time::Duration::from_secs(text.parse().expect("a length in whole seconds"))
}

/// Guards against workers of a killed host that stay idle, and against tasks on them that run a
/// second time.
#[test]
fn workers_of_a_killed_host_are_used_again() {
    let mut cell = Cell::start(41, 3);
    let mut options = load_options(&cell, 100);
    let workers = cell.hosts[0].workers();
    assert!(!workers.is_empty());
    options.targets.remove(0);
    let load = LoadGenerator::start(&options);
    thread::sleep(WARM_UP);
    cell.hosts[0].signal(Signal::KILL);
    let killed_at = time::Instant::now();
    assert_eq!(cell.hosts[0].exit_code(support::SETUP_LIMIT), None);
    // Starts that were in flight when the host was killed do not count.
    thread::sleep(time::Duration::from_millis(500));
    let before: Vec<_> = workers.iter().map(|worker| cell.starts_on(worker)).collect();
    support::wait_for("every worker of the killed host gets work", || {
        let now = workers.iter().map(|worker| cell.starts_on(worker));
        now.zip(&before).all(|(now, before)| now > *before)
    });
    let took = killed_at.elapsed();
    support::print_measurement("host_killed", took);
    load.stop();
    cell.check_audit();
    assert!(took <= REUSE_TARGET, "{took:?}");
}

/// Guards against a host that resumes after a pause and starts work on workers that others have
/// taken over, and against one that does not rejoin the cell.
#[test]
fn a_paused_host_starts_no_stale_work_and_rejoins() {
    let cell = Cell::start(42, 3);
    let load = LoadGenerator::start(&load_options(&cell, 100));
    thread::sleep(WARM_UP);
    let epoch = cell.hosts[1].status().expect("a status").epoch;
    cell.hosts[0].signal(Signal::STOP);
    thread::sleep(PAUSE);
    // On a busy machine the takeover may take longer than the pause.
    support::wait_for("the other hosts form an epoch without the stopped host", || {
        cell.hosts[1].status().is_some_and(|status| {
            status.epoch > epoch && status.members.iter().all(|member| &*member.host != "host-1")
        })
    });
    let epoch = cell.hosts[1].status().expect("a status").epoch;
    cell.hosts[0].signal(Signal::CONT);
    let took = support::wait_for("the continued host is a member of a later epoch", || {
        cell.hosts[0].status().is_some_and(|status| status.epoch > epoch && status.is_member)
    });
    support::print_measurement("host_stopped_and_continued", took);
    support::wait_for("the continued host answers", || {
        call::request(cell.hosts[0].caller_address, &Call::default()) == CallOutcome::Answered
    });
    load.stop();
    cell.check_audit();
}

/// Guards against a host that cannot reach the log and keeps an old declaration.
#[test]
fn a_host_without_the_log_gets_the_declaration() {
    let cell = Cell::start(43, 3);
    cell.set_faults(r#"{"cut_off":{"host-1":{"log":true}}}"#);
    support::wait_for("the host notices that it cannot reach the log", || {
        cell.hosts[0].status().is_some_and(|status| status.log_unreachable)
    });
    let declaration = Declaration { share: 2, ..Declaration::default() };
    let applied = cell.hosts[1].apply(1, "an operator", &declaration.to_text());
    assert!(matches!(applied, operator::ApplyResponse::Applied { version: 2, .. }), "{applied:?}");
    let took = cell.wait_for_version(2);
    support::print_measurement("log_cut_for_one_host", took);
    assert!(took <= IN_FORCE_TARGET, "{took:?}");
    let outcome = call::request(cell.hosts[0].caller_address, &Call::default());
    assert_eq!(outcome, CallOutcome::Answered, "the host without the log");
    cell.check_audit();
}

/// Guards against a withdrawn key that still works on some host (P3).
#[test]
fn a_withdrawn_key_stops_working_everywhere() {
    let cell = Cell::start(44, 3);
    let other = Call { key: OTHER_KEY, ..Call::default() };
    for address in cell.caller_addresses() {
        assert_eq!(call::request(address, &other), CallOutcome::Answered);
    }
    let declaration = Declaration { other_key: false, ..Declaration::default() };
    let applied = cell.hosts[0].apply(1, "an operator", &declaration.to_text());
    let applied_at = time::Instant::now();
    assert!(matches!(applied, operator::ApplyResponse::Applied { version: 2, .. }), "{applied:?}");
    let mut last_accepted = time::Duration::ZERO;
    thread::scope(|scope| {
        let mut callers = Vec::new();
        for address in cell.caller_addresses() {
            callers.push(scope.spawn(move || {
                // A host that accepts the key again after having refused it would be a failure, so
                // every host is asked until after the target.
                let mut last = time::Duration::ZERO;
                let mut refused = false;
                while !refused || applied_at.elapsed() < 2 * KEY_TARGET {
                    let sent = applied_at.elapsed();
                    let outcome = call::request(address, &other);
                    refused = matches!(outcome, CallOutcome::Refused(401, _));
                    if !refused {
                        last = sent;
                    }
                    assert!(sent < support::SETUP_LIMIT, "the key still works: {outcome:?}");
                    thread::sleep(time::Duration::from_millis(20));
                }
                last
            }));
        }
        for caller in callers {
            last_accepted = last_accepted.max(caller.join().expect("the caller does not panic"));
        }
    });
    support::print_measurement("key_withdrawn", last_accepted);
    assert!(last_accepted <= KEY_TARGET, "{last_accepted:?}");
    let valid = Call { key: KEY, ..Call::default() };
    for address in cell.caller_addresses() {
        assert_eq!(call::request(address, &valid), CallOutcome::Answered);
    }
}

/// Guards against task starts in a zone that operators have taken out of service (P5).
#[test]
fn a_zone_out_of_service_gets_no_starts() {
    let cell = Cell::start(45, 3);
    let load = LoadGenerator::start(&load_options(&cell, 100));
    support::wait_for("the zone is in use", || cell.starts_on("w3-1") > 0);
    let declaration = Declaration { zone_out: Some("zone-3"), ..Declaration::default() };
    let applied = cell.hosts[0].apply(1, "an operator", &declaration.to_text());
    assert!(matches!(applied, operator::ApplyResponse::Applied { version: 2, .. }), "{applied:?}");
    cell.mark_zone("zone-3");
    thread::sleep(time::Duration::from_secs(6));
    let report = cell.audit();
    let others_before = cell.starts_on("w1-1");
    support::wait_for("the other zones still get starts", || {
        cell.starts_on("w1-1") > others_before
    });
    load.stop();
    let mark = report.marks.first().expect("the mark");
    let last = time::Duration::from_millis(mark.last_accepted_ms.unwrap_or(0));
    support::print_measurement("zone_out", last);
    assert_eq!(mark.accepted_late, 0, "{mark:?}");
    cell.check_audit();
}

/// Guards against task starts on a worker that the host list shows as leaving (P9). The stand-in
/// refuses them. It sets the mark itself and counts both accepted and refused starts after it.
#[test]
fn a_leaving_worker_gets_no_starts() {
    let cell = Cell::start(51, 3);
    let load = LoadGenerator::start(&load_options(&cell, 100));
    support::wait_for("the worker is in use", || cell.starts_on("w3-1") > 0);
    cell.set_faults(r#"{"host_list":{"leaving":["w3-1"]}}"#);
    thread::sleep(2 * LEAVING_TARGET);
    let report = cell.audit();
    let others_before = cell.starts_on("w3-2");
    support::wait_for("the other worker still gets starts", || {
        cell.starts_on("w3-2") > others_before
    });
    load.stop();
    let mark = report.marks.first().expect("the mark");
    let last_ms = mark.last_accepted_ms.max(mark.last_refused_ms).unwrap_or(0);
    let last = time::Duration::from_millis(last_ms);
    support::print_measurement("worker_leaving", last);
    assert!(last <= LEAVING_TARGET, "{mark:?}");
    cell.check_audit();
}

/// Guards against requests that stop being answered during an outage of the log.
#[test]
fn requests_are_answered_through_an_outage_of_the_log() {
    let cell = Cell::start(46, 3);
    let load = LoadGenerator::start(&load_options(&cell, 100));
    thread::sleep(WARM_UP);
    let outage = outage_length();
    let before_at = time::Instant::now();
    thread::sleep(outage);
    cell.set_faults(r#"{"log":{"outage":true}}"#);
    let began_at = time::Instant::now();
    thread::sleep(outage);
    let ended_at = time::Instant::now();
    cell.set_faults(r#"{"log":{"outage":false}}"#);
    let finished = load.stop();
    let before = support::load::count_answered(&finished, before_at, began_at, None);
    let during = support::load::count_answered(&finished, began_at, ended_at, None);
    println!(
        "measured: case=log_outage value_ms={} answered_before={before} answered_during={during} \
         ratio_percent={}",
        ended_at.duration_since(began_at).as_millis(),
        during * 100 / before.max(1)
    );
    let mut from = began_at;
    while from + OUTAGE_INTERVAL <= ended_at {
        for target in 0..cell.hosts.len() {
            let count = support::load::count_answered(
                &finished,
                from,
                from + OUTAGE_INTERVAL,
                Some(target),
            );
            let since = from.duration_since(began_at);
            assert!(count > 0, "host {target} answered nothing {since:?} into the outage");
        }
        from += OUTAGE_INTERVAL;
    }
    cell.check_audit();
}

/// Guards against two concurrent changes of which both or neither take effect, and against hosts
/// that disagree on which one did (P11).
#[test]
fn exactly_one_of_two_concurrent_changes_is_applied() {
    let cell = Cell::start(47, 3);
    let texts = [2, 3].map(|share| Declaration { share, ..Declaration::default() }.to_text());
    let started_at = time::Instant::now();
    let answers = thread::scope(|scope| {
        let first = scope.spawn(|| cell.hosts[0].apply(1, "operator a", &texts[0]));
        let second = scope.spawn(|| cell.hosts[1].apply(1, "operator b", &texts[1]));
        [first, second].map(|operator| operator.join().expect("the operator does not panic"))
    });
    let took = started_at.elapsed();
    let applied = answers
        .each_ref()
        .map(|a| matches!(a, operator::ApplyResponse::Applied { version: 2, .. }));
    let conflicts =
        answers.each_ref().map(|a| matches!(a, operator::ApplyResponse::Conflict { .. }));
    assert!(applied[0] != applied[1] && conflicts[0] != conflicts[1], "{answers:?}");
    support::print_measurement("racing_operators", took);
    cell.wait_for_version(2);
    let applied_text = if applied[0] { &texts[0] } else { &texts[1] };
    for host in &cell.hosts {
        assert_eq!(&*host.declaration().text, applied_text.as_str(), "{}", host.id);
        assert_eq!(host.audited_versions(), [1, 2], "{}", host.id);
    }
}

/// Guards against a graceful shutdown that interrupts requests which callers sent to other hosts
/// and whose tasks run on workers of the host that shuts down (P10).
#[test]
fn a_graceful_shutdown_interrupts_no_request() {
    let mut cell = Cell::start(48, 3);
    let mut options = load_options(&cell, 400);
    let workers = cell.hosts[0].workers();
    options.targets.remove(0);
    let load = LoadGenerator::start(&options);
    support::wait_for("every worker of the host that will shut down runs tasks", || {
        let report = cell.audit();
        workers.iter().all(|worker| report.workers[worker.as_str()].running > 0)
    });
    cell.hosts[0].signal(Signal::TERM);
    let asked_at = time::Instant::now();
    let code = cell.hosts[0].exit_code(DRAIN_LIMIT);
    let took = asked_at.elapsed();
    // The outcomes of requests in flight at the exit of the process arrive after it.
    thread::sleep(WARM_UP);
    let finished = load.stop();
    support::print_measurement("graceful_shutdown", took);
    let mut not_run = 0;
    for call in &finished {
        if call.outcome.is_not_run() {
            not_run += 1;
            continue;
        }
        assert_eq!(call.outcome, CallOutcome::Answered, "of {} requests", finished.len());
    }
    println!("requests={} refused_not_run={not_run}", finished.len());
    assert_eq!(code, Some(0), "after {took:?}");
    cell.check_audit();
}

/// Guards against a request that is not repeatable and runs twice because the host that placed it,
/// the owner of its worker or the holder of its idempotency key was killed (P8), and against a run
/// of a request that was reported as not run (P7).
#[test]
fn requests_run_at_most_once_when_hosts_are_killed() {
    let cell = Cell::start(49, 4);
    let mut options = load_options(&cell, 100);
    options.retries = true;
    let runs_before = cell.audit().runs;
    let load = LoadGenerator::start(&options);
    thread::sleep(WARM_UP);
    let killed_at = time::Instant::now();
    cell.hosts[0].signal(Signal::KILL);
    thread::sleep(time::Duration::from_secs(2));
    cell.hosts[1].signal(Signal::KILL);
    let epoch = cell.hosts[3].status().expect("a status").epoch;
    support::wait_for("the survivors own every worker", || {
        let owned = cell.hosts[2].workers().len() + cell.hosts[3].workers().len();
        let status = cell.hosts[3].status();
        let is_later = status.is_some_and(|s| s.epoch >= epoch && s.members.len() == 2);
        is_later && owned == cell.hosts.len() * cell::WORKERS_PER_HOST
    });
    support::print_measurement("two_hosts_killed", killed_at.elapsed());
    thread::sleep(WARM_UP);
    let finished = load.stop();
    let connections_lost = finished
        .iter()
        .filter(|call| matches!(call.outcome, CallOutcome::ConnectionLost(_)))
        .count();
    let runs = cell.audit().runs - runs_before;
    let outcomes = Outcomes::count(&finished);
    println!("runs={runs} broken_off={connections_lost} {outcomes:?}");
    cell.check_audit();
    assert!(connections_lost > 0, "the kills interrupted no request, so the test proves nothing");
    // A second run of a request, or a run of one that was reported as not run, exceeds this sum.
    assert!(runs <= outcomes.answered + outcomes.unknown, "{runs} runs, {outcomes:?}");
    assert!(runs >= outcomes.answered, "{runs} runs, {outcomes:?}");
}

/// Guards against a declaration that is applied twice, or reported with an unknown outcome, when
/// the log stores its record and the reply is lost (P11).
#[test]
fn a_lost_reply_of_the_log_applies_a_declaration_once() {
    let cell = Cell::start(50, 3);
    cell.set_faults(r#"{"log":{"lose_replies_percent":100}}"#);
    let started_at = time::Instant::now();
    let declaration = Declaration { share: 2, ..Declaration::default() };
    let applied = cell.hosts[0].apply(1, "an operator", &declaration.to_text());
    support::print_measurement("log_reply_lost", started_at.elapsed());
    assert!(matches!(applied, operator::ApplyResponse::Applied { version: 2, .. }), "{applied:?}");
    // Longer than the time after which a host reads the log to find an append without a reply.
    thread::sleep(time::Duration::from_secs(3));
    cell.wait_for_version(2);
    for host in &cell.hosts {
        assert_eq!(host.audited_versions(), [1, 2], "{}", host.id);
    }
}
