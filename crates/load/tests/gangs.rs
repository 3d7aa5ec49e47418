//! Plans for gangs that do not fit now.

use std::time;

use pier_core::resources::Resources;
use pier_load::gangs::{self, GangPlan, WorkerRoom};

type End = (time::Duration, Resources);

const NOW: time::Duration = time::Duration::from_secs(10);

fn cores(count: u64) -> Resources {
    Resources { cpu_milli: count * 1_000, ..Resources::ZERO }
}

fn end(after_ms: u64, count: u64) -> End {
    (NOW + time::Duration::from_millis(after_ms), cores(count))
}

fn room(free: u64, ends: &[End]) -> WorkerRoom<'_> {
    WorkerRoom {
        free: cores(free),
        reserved: Resources::ZERO,
        ends,
        spread_left: usize::MAX,
        has_failed: false,
    }
}

fn plan(tasks: usize, need: u64, rooms: &[WorkerRoom<'_>]) -> Option<GangPlan> {
    gangs::plan(NOW, tasks, &cores(need), rooms)
}

fn ready_in_ms(plan: &GangPlan) -> u128 {
    (plan.ready_at - NOW).as_millis()
}

/// Guards against gangs that wait for a few workers to become empty: runs that end soon on many
/// workers make room sooner, and what is free already is kept.
#[test]
fn a_plan_takes_the_slots_that_are_free_first() {
    let (early, late) = ([end(300, 4)], [end(400, 2), end(900, 8)]);
    let rooms = [room(9, &late), room(5, &early), room(0, &early), room(0, &late)];
    let plan = plan(4, 4, &rooms).expect("room");
    assert_eq!(ready_in_ms(&plan), 300);
    assert_eq!(plan.slots, [(0, 2), (1, 2)]);
    assert_eq!(plan.spares, [2]);
}

/// Guards against plans that use more of a worker than its free and reserved resources, its spread
/// limit and its runs allow.
#[test]
fn a_plan_leaves_what_is_reserved_for_earlier_gangs() {
    let ends = [end(100, 8), end(500, 8)];
    let reserved = WorkerRoom { reserved: cores(8), ..room(0, &ends) };
    assert_eq!(ready_in_ms(&plan(2, 4, &[reserved]).expect("room")), 500);
    let spread = WorkerRoom { spread_left: 1, ..room(16, &[]) };
    assert_eq!(plan(2, 4, &[spread]), None);
    assert_eq!(plan(5, 4, &[room(0, &ends)]), None);
}

/// Guards against wide gangs that are broken by workers that fail: they wait longer than narrow ones
/// to do without these, but not for ever.
#[test]
fn wide_gangs_wait_longer_for_reliable_workers() {
    let soon = [end(600, 40)];
    let failed = WorkerRoom { has_failed: true, ..room(40, &[]) };
    let rooms = [failed, room(0, &soon)];
    let narrow = plan(4, 1, &rooms).expect("room");
    assert!(narrow.uses_failed && ready_in_ms(&narrow) == 0);
    let wide = plan(20, 1, &rooms).expect("room");
    assert!(!wide.uses_failed && ready_in_ms(&wide) == 600);
    assert!(plan(20, 1, &rooms[..1]).expect("room").uses_failed);
}

/// Guards against idle reserved capacity because runs are expected to end at once.
#[test]
fn a_run_that_is_overdue_ends_later_the_longer_it_takes() {
    let millis = time::Duration::from_millis;
    let expected_end = |since_ms| gangs::expected_end(NOW, NOW - millis(since_ms), millis(2_000));
    assert_eq!(expected_end(1_500), NOW + millis(500));
    assert_eq!(expected_end(2_000), NOW + millis(100));
    assert_eq!(expected_end(4_000), NOW + millis(1_000));
}
