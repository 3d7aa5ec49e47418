//! Team limits across several hosts.

mod work_support;

use pier_core::{ids, resources};
use pier_state::event::CallerRequest;
use pier_state::message::{LimitMessage, Message};

use work_support::{Cell, Network, amount, ms, request};

fn keyed_request(key: &str, body: &str) -> CallerRequest {
    CallerRequest { key: Some(key.into()), ..request("keyed", body) }
}

/// Keeps the cell full of requests from both teams. Returns the maximum of red's running slots.
fn load(cell: &mut Cell, steps: usize, limit: u64) -> u64 {
    let hosts = cell.hosts.len();
    let mut most = 0;
    for number in 0..steps {
        for host in 0..hosts {
            if cell.hosts[host].is_up {
                cell.send_request(host, keyed_request("key-red", &format!("red {number} {host}")));
            }
        }
        cell.send_request(number % hosts, keyed_request("key-blue", &format!("blue {number}")));
        cell.step();
        let running = cell.team_running("red").slots;
        assert!(running <= limit, "{running} slots run with a limit of {limit}");
        most = most.max(running);
    }
    most
}

/// The sum of the quota that all hosts hold for red.
fn total_held(cell: &Cell) -> resources::Resources {
    let mut sum = resources::Resources::ZERO;
    for index in 0..cell.hosts.len() {
        for team in &cell.status(index).teams {
            if &*team.team == "red" {
                sum = sum.plus(&team.held_here);
            }
        }
    }
    sum
}

/// Guards against a team that exceeds its limit, with and without network faults.
#[test]
fn a_team_never_runs_more_than_its_limit() {
    let networks = [
        Network::default(),
        Network { lost_percent: 20, repeated_percent: 20, delayed_percent: 20 },
    ];
    for network in networks {
        let mut cell = Cell::new(3, 6, 8);
        cell.declare([Some(amount(10)), None]);
        cell.network = network;
        let most = load(&mut cell, 600, 10);
        assert!(most >= 9, "only {most} of 10 slots were used");
        assert!(total_held(&cell).fits_in(&amount(10)));
        for host in 0..3 {
            assert_eq!(cell.counters(host).invariant_violations, 0);
        }
    }
}

/// Guards against a limit that is exceeded while its home changes in a new epoch and hosts act on
/// different epochs.
#[test]
fn a_new_home_lends_nothing_before_all_members_have_reported() {
    for removed_host in 0..4 {
        let mut cell = Cell::new(4, 8, 4);
        cell.declare([Some(amount(12)), None]);
        load(&mut cell, 100, 12);
        // One remaining member does not receive the epoch for a while.
        let late = (removed_host + 1) % 4;
        cell.hosts[removed_host].is_up = false;
        cell.hosts[late].is_up = false;
        cell.new_epoch(&[removed_host], (removed_host + 2) % 4);
        load(&mut cell, 100, 12);
        cell.hosts[late].is_up = true;
        let removed = vec![cell.host_id(removed_host)];
        cell.change(late, pier_state::cluster::Change::Epoch { removed });
        let workers: Vec<ids::WorkerId> = cell.workers.keys().cloned().collect();
        for worker in workers {
            if cell.workers[&worker].owner == removed_host {
                cell.take_over(&worker, (removed_host + 2) % 4);
            }
        }
        load(&mut cell, 300, 12);
        // The reports of the workers contain the ends that the late member missed while it was
        // down.
        cell.run(ms(10_000));
        let most = load(&mut cell, 100, 12);
        assert!(most >= 11, "only {most} of 12 slots were used after the epoch");
    }
}

/// Guards against tasks that continue above a lowered limit, and against starts in the meantime.
#[test]
fn a_lowered_limit_stops_job_tasks_over_it() {
    for network in [
        Network::default(),
        Network { lost_percent: 20, repeated_percent: 20, delayed_percent: 20 },
    ] {
        let mut cell = Cell::new(2, 4, 4);
        cell.task_duration = ms(600_000);
        cell.declare([Some(amount(16)), None]);
        cell.run(ms(500));
        for home in 0..2 {
            let job = cell.job_at(home, "job");
            cell.add_job(&job, 8);
        }
        cell.run(ms(3_000));
        assert!(cell.running() >= 14, "{} tasks run", cell.running());
        cell.network = network;
        cell.declare([Some(amount(6)), None]);
        cell.run(ms(12_000));
        assert!(cell.team_running("red").slots <= 6, "{:?}", cell.team_running("red"));
        assert!(cell.team_running("red").slots >= 4, "{:?}", cell.team_running("red"));
    }
}

/// Guards against a grant that is applied twice or in the wrong epoch.
#[test]
fn duplicate_and_foreign_grants_add_nothing() {
    let mut cell = Cell::new(2, 2, 8);
    cell.declare([Some(amount(4)), None]);
    cell.run(ms(1_000));
    let home = cell.hosts[0].cluster.home_of("red").expect("members").clone();
    let home = usize::from(home == cell.host_id(1));
    let other = 1 - home;
    let grant = |epoch, seq| {
        Message::Limit(LimitMessage::Grant {
            epoch,
            version: 2,
            team: "red".into(),
            amount: amount(1),
            seq,
            give_back: resources::Resources::ZERO,
            number: 0,
            scarce: false,
        })
    };
    let before = total_held(&cell);
    cell.deliver(home, other, grant(7, 1));
    assert_eq!(total_held(&cell), before);
    cell.deliver(other, other, grant(1, 1));
    assert_eq!(total_held(&cell), before);
    cell.deliver(home, other, grant(1, 1));
    cell.deliver(home, other, grant(1, 1));
    assert!(total_held(&cell).minus(&before).fits_in(&amount(1)));
}

/// Guards against quota that is lost or counted twice when a worker moves to another host.
#[test]
fn quota_moves_with_a_worker_that_is_handed_over() {
    let mut cell = Cell::new(3, 3, 4);
    cell.task_duration = ms(20_000);
    cell.declare([Some(amount(6)), None]);
    cell.run(ms(500));
    load(&mut cell, 100, 6);
    let worker = cell.workers.keys().next().expect("a worker").clone();
    cell.hand_over(&worker, 2);
    for _ in 0..200 {
        load(&mut cell, 1, 6);
    }
    assert!(total_held(&cell).fits_in(&amount(6)));
    cell.new_epoch(&[], 0);
    load(&mut cell, 500, 6);
    assert!(total_held(&cell).fits_in(&amount(6)));
}

/// Guards against quota that is lent twice because an outdated report lowers a holding that has
/// since grown with a worker that was taken over.
#[test]
fn an_old_report_does_not_lower_a_holding() {
    for (numbers, most) in [([1, 2], 4), ([2, 1], 1)] {
        let mut cell = Cell::new(2, 0, 0);
        let home = usize::from(cell.hosts[0].cluster.home_of("red") == Some(&cell.host_id(1)));
        let holder = 1 - home;
        cell.add_worker(0, home, 8);
        cell.declare([Some(amount(4)), None]);
        cell.hosts[holder].is_scripted = true;
        // The first report says that three slots are held, the second one that none are.
        for (number, held) in numbers.into_iter().zip([3, 0]) {
            let report = LimitMessage::Sync {
                epoch: 1,
                version: 2,
                team: "red".into(),
                held: amount(held),
                want: amount(held),
                unit: amount(1),
                seq_seen: 0,
                uncertain_usage: pier_core::Resources::ZERO,
                settled: true,
                number: 1_000 + number,
            };
            cell.deliver(holder, home, Message::Limit(report));
        }
        cell.task_duration = ms(10_000);
        cell.run(ms(500));
        for number in 0..8 {
            cell.send_request(home, keyed_request("key-red", &format!("{number}")));
        }
        cell.run(ms(1_000));
        assert_eq!(cell.team_running("red").slots, most);
    }
}

/// Guards against a team with a limit that never starts in a full cell, because a host requests
/// quota only while a worker has free capacity, and work without a limit takes all capacity at
/// once.
#[test]
fn a_team_with_a_limit_starts_in_a_full_cell() {
    let mut cell = Cell::new(3, 6, 8);
    cell.task_duration = ms(1_000);
    cell.declare([Some(amount(24)), None]);
    let mut most = 0;
    // Blue's requests fill the cell before red's job arrives, and wait for any free capacity. The
    // load stops before the first of them is refused, which would leave capacity free for a moment.
    for number in 0..270 {
        if number == 20 {
            let job = cell.job_at(0, "job");
            cell.add_job(&job, 500);
        }
        for host in 0..3 {
            cell.send_request(host, keyed_request("key-blue", &format!("blue {number} {host}")));
        }
        cell.step();
        let running = cell.team_running("red").slots;
        assert!(running <= 24, "{running} slots run with a limit of 24");
        most = most.max(running);
    }
    assert!(most >= 4, "at most {most} tasks of the team ran");
    assert!(total_held(&cell).fits_in(&amount(24)));
}

/// Guards against an unreachable worker that keeps a team from all new quota until the leases on
/// the worker have expired, and against a limit that is exceeded because its tasks are not counted.
#[test]
fn quota_is_lent_beside_the_usage_of_a_worker_that_cannot_be_taken_over() {
    // The team's limit, the capacity of the worker that is not taken over, and what the team may
    // run in addition.
    for (limit, lost, most) in [(16, 4, 12), (6, 4, 2), (4, 4, 0)] {
        let mut cell = Cell::new(4, 8, 4);
        cell.task_duration = ms(600_000);
        cell.declare([Some(amount(limit)), None]);
        cell.run(ms(500));
        cell.hosts[3].is_up = false;
        cell.new_epoch(&[3], 0);
        cell.hosts[0].cluster.uncertain_usage = Some(amount(lost));
        let send_requests = |cell: &mut Cell| {
            for number in 0..20 {
                cell.send_request(number % 3, keyed_request("key-red", &format!("{number}")));
            }
            cell.run(ms(4_000));
        };
        send_requests(&mut cell);
        let running = cell.team_running("red").slots;
        assert_eq!(running, most, "limit {limit}");
        // After the takeover has finished, the team may use its whole limit.
        cell.hosts[0].cluster.settled = true;
        send_requests(&mut cell);
        assert_eq!(cell.team_running("red").slots, limit, "limit {limit}");
    }
}

/// Guards against requests that wait for seconds because another host keeps unused quota in advance
/// and learns only with its next report that the quota is wanted.
#[test]
fn unused_quota_is_returned_when_it_is_wanted() {
    // The second host's workers have capacity for the whole limit.
    let mut cell = Cell::new(2, 4, 8);
    cell.declare([Some(amount(16)), None]);
    cell.task_duration = ms(300);
    cell.run(ms(500));
    for number in 0..16 {
        cell.send_request(0, keyed_request("key-red", &format!("first {number}")));
    }
    cell.run(ms(1_000));
    assert_eq!(cell.team_running("red").slots, 0);
    let ahead = cell.status(0).teams.iter().map(|team| team.held_here.slots).sum::<u64>();
    assert!(ahead > 0, "the first host keeps nothing ahead");
    cell.task_duration = ms(60_000);
    for number in 0..16 {
        cell.send_request(1, keyed_request("key-red", &format!("second {number}")));
    }
    cell.run(ms(500));
    assert_eq!(cell.team_running("red").slots, 16);
}
