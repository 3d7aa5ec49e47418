//! Random failures, combined and repeated.

mod control_sim;

use control_sim::{Cell, ms};
use pier_state::effect::OperatorAnswer;
use quickcheck::{Gen, QuickCheck, TestResult};

/// The size and the seed of the random cases, fixed so that every run draws the same ones.
const GEN_SIZE: usize = 24;
const SEED: u64 = 1;

const HOSTS: [&str; 5] = ["h0", "h1", "h2", "h3", "h4"];

fn inject(cell: &mut Cell, action: u16) {
    let host = HOSTS[usize::from(action / 32) % HOSTS.len()];
    let other = HOSTS[usize::from(action / 256) % HOSTS.len()];
    let is_running = cell.hosts.contains_key(host);
    match action % 32 {
        0 if is_running => cell.kill(host),
        1 if is_running => {
            cell.kill(host);
            cell.remove_from_host_list(host);
        }
        2 | 3 if !is_running => cell.start(host),
        4 if is_running => {
            cell.kill(host);
            cell.start(host);
        }
        5 if is_running => cell.shut_down(host),
        6 => drop(cell.paused.insert(host.to_owned())),
        7 | 8 => cell.paused.clear(),
        9 => drop(cell.log.unreachable_from.insert(host.to_owned())),
        10 => drop(cell.log.unreachable_from.insert("*".to_owned())),
        11 => cell.log.unreachable_from.clear(),
        12 => drop(cell.log.lose_next_reply.insert(host.to_owned())),
        13 if host < other => drop(cell.cut_links.insert((host.to_owned(), other.to_owned()))),
        13 | 14 => cell.cut_links.clear(),
        15 => cell.isolate(host),
        16 => cell.log.trim(),
        17..24 if is_running => {
            let version = cell.state(host).cluster().version;
            let text = format!(r#"{{ "cell": "c{}" }}"#, cell.log.appends);
            let ticket = cell.answers.len() as u64 * 1_000 + u64::from(action);
            if cell.answer(host, ticket).is_none() {
                cell.apply_declaration(host, ticket, version, &text);
            }
        }
        _ => {}
    }
    let exited = std::mem::take(&mut cell.exited);
    for host in exited {
        cell.kill(&host);
    }
}

/// Guards against combinations of failures after which two hosts may start work on one worker
/// (`Cell::step` checks it at all times), hosts disagree about the fold, an accepted declaration is
/// lost, or the cell does not recover when everything works again.
#[test]
fn the_cell_is_safe_under_random_failures_and_recovers() {
    fn holds(actions: Vec<(u16, u8)>) -> TestResult {
        let mut cell = Cell::empty(10);
        cell.options.snapshot_every_records = 6;
        for host in HOSTS {
            cell.start(host);
        }
        cell.run(ms(3_000));
        for (action, pause) in &actions {
            inject(&mut cell, *action);
            cell.run(ms(20 * u64::from(*pause)));
        }
        cell.cut_links.clear();
        cell.paused.clear();
        cell.log.unreachable_from.clear();
        inject(&mut cell, 14);
        for host in HOSTS {
            if !cell.hosts.contains_key(host) || cell.state(host).cluster().leaving {
                cell.kill(host);
                cell.start(host);
            }
        }
        let recovered = |cell: &Cell| {
            cell.held_workers() == 10 && HOSTS.iter().all(|host| cell.may_start(host))
        };
        if cell.run_until(ms(120_000), recovered).is_none() {
            return TestResult::error(format!("{:?}", cell.notices));
        }
        cell.run(ms(2_000));
        let applied = cell.answers.values().filter_map(|answer| match answer {
            OperatorAnswer::Applied { version, .. } => Some(*version),
            _ => None,
        });
        let newest = applied.max().unwrap_or(0);
        let first = cell.state("h0").cluster();
        TestResult::from_bool(HOSTS.iter().all(|host| {
            let cluster = cell.state(host).cluster();
            (cluster.epoch, cluster.version) == (first.epoch, first.version)
                && cluster.declaration == first.declaration
                && cluster.version >= newest
        }))
    }
    // `QUICKCHECK_TESTS` sets the number of runs; one takes about a second without optimization.
    let runs = std::env::var("QUICKCHECK_TESTS").ok().and_then(|runs| runs.parse().ok());
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(runs.unwrap_or(10))
        .quickcheck(holds as fn(Vec<(u16, u8)>) -> TestResult);
}
