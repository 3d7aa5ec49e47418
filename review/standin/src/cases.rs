//! The cases.

use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::cell::{self, Cell, Log};
use crate::http;

/// `contact_ms` of the site file, and a little more.
const CALM: Duration = Duration::from_millis(3_500);

pub fn run(number: &str, record: &Path) {
    // A panic of the case's thread means that the case could not run.
    let log = Log::start(record);
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    log.write(&format!("case {number}, disruption: {has_trouble}"));
    let (playing, number) = (Arc::clone(&log), number.to_owned());
    let play = thread::spawn(move || match number.as_str() {
        "1" => unreachable_for_a_moment(&playing, has_trouble),
        "2" => restarted_worker(&playing, has_trouble),
        "2-entry" => odd_entry(&playing, has_trouble),
        "4" => removed_queue(&playing, has_trouble),
        "5" => restarted_host(&playing, has_trouble),
        _ => panic!("no such case"),
    });
    let code = match play.join() {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(_) => 2,
    };
    log.write(&format!("exit code {code}"));
    log.finish(code)
}

fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// Waits until the condition holds; says whether it does in time.
fn wait(limit: Duration, condition: impl Fn() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        sleep_ms(2);
    }
    false
}

/// Two of twelve workers refuse connections for two seconds. A job that only they may run waits.
fn unreachable_for_a_moment(log: &Arc<Log>, has_trouble: bool) -> bool {
    let labels: Vec<String> = (0..12)
        .map(|index| format!("{},r{}", if index < 10 { "a" } else { "b" }, index / 6))
        .collect();
    let cell = Cell::start(log, 3, &labels, |index| index >= 10);
    cell.decider();
    cell.submit("00000000000000a0", &cell::job("work_ms=300", 1, 1_000, "b"));
    let is_done = || {
        let answer = cell.call(1, "GET", "00000000000000a0", "");
        sleep_ms(200);
        answer.is_some_and(|(_, body)| body.contains("completed"))
    };
    assert!(wait(Duration::from_secs(10), is_done), "the cell runs jobs");
    thread::sleep(CALM);
    if has_trouble {
        log.write("the workers with the label b refuse connections");
        cell.workers[10..].iter().for_each(|worker| worker.proxy.as_ref().expect("one").cut());
    }
    sleep_ms(300);
    let job = "00000000000000b1";
    cell.submit(job, &cell::job("work_ms=500", 1, 1_000, "b"));
    sleep_ms(1_700);
    if has_trouble {
        log.write("the workers with the label b accept connections again");
        cell.workers[10..].iter().for_each(|worker| worker.proxy.as_ref().expect("one").heal());
    }
    // The rule looks at 3 s without a running task, 14 s (finish_s) after the end of the traffic.
    let healed = Instant::now();
    let mut other = 0;
    while healed.elapsed() < Duration::from_secs(25) {
        sleep_ms(2_500);
        cell.call(other % 3, "GET", job, "");
        // Other jobs run. The traffic ends `finish_s` and more before the last look.
        if other < 3 {
            let id = format!("00000000000001{other:02x}");
            cell.submit(&id, &cell::job("work_ms=300", 1, 1_000, "a"));
        }
        other += 1;
        if cell.has_started(job) {
            break;
        }
    }
    for worker in &cell.workers[10..] {
        let address = &worker.proxy.as_ref().expect("one").address;
        let answer = http::call(address, "GET", "/health", &[], &[], Duration::from_secs(1));
        log.write(&format!("worker {} is asked for its health: {answer:?}", worker.id));
    }
    sleep_ms(1_000);
    cell.call(1, "GET", job, "");
    cell.write_host_lines(&[job, "does not respond", "responds again"]);
    let is_broken = !cell.has_started(job);
    if is_broken {
        log.write("LOST: the job has nothing running, though its workers are free and reachable");
    }
    is_broken
}

/// A worker crashes and starts again under its id, while a connection of the decider to the store
/// has gone silent.
fn restarted_worker(log: &Arc<Log>, has_trouble: bool) -> bool {
    let labels: Vec<String> = (0..12).map(|index| format!("a,r{}", index / 2)).collect();
    let mut cell = Cell::start(log, 3, &labels, |_| false);
    cell.decider();
    thread::sleep(CALM);
    if has_trouble {
        cell.store.silence_next_worker_read();
        assert!(wait(Duration::from_secs(3), || cell.store.has_silenced()), "a read comes");
        log.write("the connection of a read of keyed.servers is silent from now on");
    }
    let count = |cell: &Cell, index: usize| cell.store.heartbeats(&cell.workers[index].id);
    let before: Vec<u64> = (0..12).map(|index| count(&cell, index)).collect();
    let mut chosen = None;
    wait(Duration::from_secs(3), || {
        (0..12).step_by(2).any(|index| count(&cell, index) > before[index])
    });
    for index in (0..12).step_by(2) {
        if count(&cell, index) > before[index] {
            chosen = Some(index);
        }
    }
    let chosen = chosen.expect("a worker reports");
    log.write(&format!("worker {} has reported", cell.workers[chosen].id));
    if has_trouble {
        cell.kill_worker(chosen);
        sleep_ms(250);
        cell.start_worker(chosen);
        sleep_ms(100);
    }
    let rack = format!("r{}", chosen / 2);
    let (long, short) = ("00000000000000b1", "00000000000000b2");
    cell.submit(long, &cell::job("work_ms=8000", 2, 2_000, &rack));
    cell.submit(short, &cell::job("work_ms=100", 1, 2_000, &rack));
    for _ in 0..10 {
        sleep_ms(1_200);
        cell.call(1, "GET", long, "");
    }
    cell.write_host_lines(&["new incarnation", "run lost", "not in the cell state"]);
    overlapping_runs(&cell)
}

/// Whether two runs of one task were alive at the same time.
fn overlapping_runs(cell: &Cell) -> bool {
    let events = cell.events.lock().expect("the events' lock").clone();
    // Task, run, worker, start, end.
    let mut runs: Vec<(String, String, String, u64, u64)> = Vec::new();
    for (at_ms, worker, line) in events {
        let word = |name: &str| {
            line.split(' ').find_map(|word| word.strip_prefix(name)).unwrap_or_default().to_owned()
        };
        let (task, run) = (word("task="), word("run="));
        if line.starts_with("start ") {
            runs.push((task, run, worker, at_ms, u64::MAX));
            continue;
        }
        for known in &mut runs {
            let is_end = line.starts_with("end ") && known.0 == task && known.1 == run;
            if known.2 == worker && known.4 == u64::MAX && (is_end || line == "gone") {
                known.4 = at_ms;
            }
        }
    }
    let mut is_broken = false;
    for (index, first) in runs.iter().enumerate() {
        for second in &runs[index + 1..] {
            if first.0 == second.0 && first.3 < second.4 && second.3 < first.4 {
                cell.log.write(&format!(
                    "TWICE: task {} runs as {} on {} from {} to {} ms and as {} on {} from {} to {} ms",
                    first.0, first.1, first.2, first.3, first.4, second.1, second.2, second.3,
                    second.4,
                ));
                is_broken = true;
            }
        }
    }
    is_broken
}

/// A host is killed and starts again while the store is slow. The answers to its earlier calls
/// reach the callers of the new process.
fn restarted_host(log: &Arc<Log>, has_trouble: bool) -> bool {
    const CALLS: u64 = 20;
    let labels: Vec<String> = (0..6).map(|index| format!("a,r{}", index / 6)).collect();
    let mut cell = Cell::start(log, 7, &labels, |_| false);
    let restarted = (cell.decider() + 1) % 7;
    thread::sleep(CALM);
    if has_trouble {
        log.write("the store takes 240 ms an answer");
        cell.store.set_slowness(60);
    }
    sleep_ms(1_000);
    let appends = cell.store.cell_appends.load(Ordering::SeqCst);
    let has_append = || cell.store.cell_appends.load(Ordering::SeqCst) > appends;
    assert!(wait(Duration::from_secs(3), has_append), "the decider appends");
    // Clients cancel jobs that have never been accepted.
    let cancels = send_all(&cell, restarted, "DELETE", 0x100, CALLS, "");
    sleep_ms(25);
    if has_trouble {
        cell.kill_host(restarted);
        cell.start_host(restarted);
    }
    cell.wait_until_ready(restarted);
    let body = cell::job("work_ms=300", 1, 1_000, "");
    let submissions = send_all(&cell, restarted, "POST", 0x200, CALLS, &body);
    for cancel in cancels {
        cancel.join().expect("a client");
    }
    let mut refused = Vec::new();
    for submission in submissions {
        let (id, status) = submission.join().expect("a client");
        if status == Some(410) {
            refused.push(id);
        }
    }
    cell.store.set_slowness(1);
    log.write("the store answers as usual");
    sleep_ms(5_000);
    let mut is_broken = false;
    for id in refused {
        cell.call(0, "GET", &id, "");
        if cell.has_started(&id) {
            log.write(&format!("REFUSED: {id} was answered 410 when it was handed in, and runs"));
            is_broken = true;
        }
    }
    is_broken
}

/// Another writer leaves an entry without the field `born` under the id of a worker.
fn odd_entry(log: &Arc<Log>, has_trouble: bool) -> bool {
    let labels: Vec<String> = (0..12).map(|index| format!("a,r{}", index / 2)).collect();
    let cell = Cell::start(log, 3, &labels, |_| false);
    cell.decider();
    thread::sleep(CALM);
    let (long, short) = ("00000000000000b1", "00000000000000b2");
    cell.submit(long, &cell::job("work_ms=8000", 2, 2_000, "r2"));
    cell.submit(short, &cell::job("work_ms=300", 1, 2_000, "r2"));
    sleep_ms(2_000);
    if has_trouble {
        let worker = &cell.workers[4];
        log.write(&format!("an entry without the field born lies under the id {}", worker.id));
        cell.store.write("keyed.servers", &worker.id, &worker.entry_without_born());
    }
    for _ in 0..10 {
        sleep_ms(1_200);
        cell.call(1, "GET", long, "");
    }
    cell.write_host_lines(&["new incarnation", "run lost", "not in the cell state", "malformed"]);
    overlapping_runs(&cell)
}

type Client = thread::JoinHandle<(String, Option<u16>)>;

/// Sends calls at the same time, each from a client of its own.
fn send_all(
    cell: &Cell,
    host: usize,
    method: &str,
    first: u64,
    count: u64,
    body: &str,
) -> Vec<Client> {
    let mut clients = Vec::new();
    for number in 0..count {
        let (log, host) = (Arc::clone(&cell.log), cell.hosts[host].clone());
        let (method, body) = (method.to_owned(), body.to_owned());
        clients.push(thread::spawn(move || {
            let id = format!("{:016x}", first + number);
            let answer = cell::call(&log, &host, &method, &id, &body);
            (id, answer.map(|(status, _)| status))
        }));
    }
    clients
}

/// The operator removes a queue for three seconds. A task of it fails once meanwhile.
fn removed_queue(log: &Arc<Log>, has_trouble: bool) -> bool {
    let labels: Vec<String> = (0..6).map(|index| format!("a,r{}", index / 6)).collect();
    let cell = Cell::start(log, 3, &labels, |_| false);
    cell.decider();
    thread::sleep(CALM);
    let job = "00000000000000b1";
    cell.submit(job, &cell::job("work_ms=2000;failing_runs=1", 1, 1_000, ""));
    assert!(wait(Duration::from_secs(5), || cell.has_started(job)), "the job starts");
    sleep_ms(300);
    if has_trouble {
        log.write("config 5 has no such queue");
        cell.store.write("keyed.op", "config", &cell::config(5, false));
    }
    sleep_ms(3_000);
    if has_trouble {
        log.write("config 8 has the queue again, with max_attempts 4");
        cell.store.write("keyed.op", "config", &cell::config(8, true));
    }
    let mut is_broken = false;
    for _ in 0..10 {
        sleep_ms(1_000);
        let answer = cell.call(1, "GET", job, "");
        is_broken = answer.is_some_and(|(_, body)| body.contains("failed"));
    }
    cell.write_host_lines(&[job]);
    if is_broken {
        log.write("LOST: the job is shown as failed after one of four attempts");
    }
    is_broken
}
