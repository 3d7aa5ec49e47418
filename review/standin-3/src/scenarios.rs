//! The cases of the review.

use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::callers::{Ingress, Load, Traffic};
use crate::hosts::{self, Host};
use crate::http::{Client, Outcome};
use crate::platform::{Platform, Work};
use crate::record::Record;
use crate::Verdict;

const HOST: &str = "desk.example";
const KEY: &str = "key-a";
const START_LIMIT: Duration = Duration::from_secs(20);
const CALL_TIMEOUT: Duration = Duration::from_millis(3_000);

pub fn play(name: &str, work: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    match name {
        "stop-all" => stop_all(work, record, has_trouble),
        "lowered-cap" => lowered_cap(work, record, has_trouble),
        "removed-route" => removed_route(work, record, has_trouble),
        _ => {
            eprintln!("no scenario {name}");
            Verdict::NotRun
        }
    }
}

/// A route as the operator's config has it.
fn route(name: &str, prefix: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"{HOST}\",\"path_prefix\":\"{prefix}\",\
         \"service\":\"pool\",\"priority\":1,\"max_attempts\":4,\"slack_factor\":2.0,\
         \"target_latency_ms\":1000,\"public\":false}}"
    )
}

fn config(version: u64, routes: &[String]) -> String {
    config_with_cap(version, routes, 0)
}

/// A config with this limit of the tenant, in thousandths of a core.
fn config_with_cap(version: u64, routes: &[String], cpu: u64) -> String {
    let tenant = format!(
        "{{\"name\":\"team\",\"api_keys\":[\"{KEY}\"],\"weight\":10,\
         \"cap\":{{\"cpu\":{cpu},\"mem_mb\":0,\"gpu\":0}}}}"
    );
    format!("{{\"version\":{version},\"routes\":[{}],\"tenants\":[{tenant}]}}", routes.join(","))
}

/// Starts the platform, the workers and the hosts.
fn start_cell(
    work: &Path,
    record: &Arc<Record>,
    host_count: usize,
    worker_count: usize,
    worker_cpu: u64,
    config: &str,
) -> Option<(Arc<Platform>, Vec<Host>)> {
    let platform = Platform::start(Arc::clone(record));
    platform.store.write("keyed.op", "config", config);
    for index in 0..worker_count {
        platform.add_worker(&format!("w{index}"), "pool", worker_cpu);
    }
    let mut hosts = Vec::new();
    for index in 0..host_count {
        hosts.push(Host::start(work, index, &platform.store_address).ok()?);
    }
    if !hosts::wait_until_ready(&hosts, START_LIMIT) {
        record.line("the hosts did not become ready");
        return None;
    }
    record.line("all hosts are ready");
    Some((platform, hosts))
}

/// All hosts get SIGTERM while callers go on sending. Each request that a host has read has to be
/// answered, up to one second after the grace period.
fn stop_all(work: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    const GRACE: Duration = Duration::from_secs(6);
    const LOSS_SLACK: Duration = Duration::from_millis(200);
    // For delays of this process itself, since several callers share the processor.
    const MEASURING_MARGIN: Duration = Duration::from_millis(100);
    let config = config(3, &[route("r1", "/cut/")]);
    let Some((platform, mut hosts)) = start_cell(work, record, 3, 4, 16_000, &config) else {
        return Verdict::NotRun;
    };
    let addresses: Vec<(String, String)> =
        hosts.iter().map(|host| (host.callers.clone(), host.ready.clone())).collect();
    let ingress = Ingress::start(&addresses);
    let traffic = Traffic {
        host: HOST.into(),
        key: KEY.into(),
        prefix: "/cut/".into(),
        body: "{\"spec\":\"text\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":64,\
               \"est_runtime_ms\":200}]}"
            .into(),
        callers: 36,
        pause: Duration::from_millis(200),
        timeout: CALL_TIMEOUT,
        attempts: 4,
    };
    let jobs = Arc::clone(&platform);
    let load = Load::start(&ingress, &traffic, record, move |id| {
        let run_time = Duration::from_millis(200);
        let work = Work { run_time, cpu: 500, is_hopeless: false, gang: 0 };
        jobs.work.lock().expect("the work's lock").insert(id.to_owned(), work);
    });
    thread::sleep(Duration::from_secs(6));
    let stopped_at = Instant::now();
    if has_trouble {
        for host in &hosts {
            record.line(&format!("SIGTERM to {} ({})", host.name, host.callers));
            host.signal("TERM");
        }
        while stopped_at.elapsed() < GRACE {
            thread::sleep(Duration::from_millis(20));
        }
        for host in &mut hosts {
            let has_ended = host.has_ended();
            record.line(&format!("{} has ended by itself: {has_ended}", host.name));
            host.kill();
        }
        thread::sleep(Duration::from_secs(1));
    } else {
        thread::sleep(GRACE + Duration::from_secs(1));
    }
    load.is_over.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(500));
    let mut answered = 0;
    let mut lost = 0;
    for call in load.calls.lock().expect("the calls' lock").iter() {
        match call.outcome {
            Outcome::Response(..) => answered += 1,
            Outcome::Cut => {
                let held = call.ended_at.saturating_duration_since(call.sent_at);
                if held > LOSS_SLACK + MEASURING_MARGIN && held < CALL_TIMEOUT {
                    lost += 1;
                    record.line(&format!(
                        "LOST: POST {} at {} was sent {} ms after the SIGTERM, and the connection \
                         ended {} ms later without an answer",
                        call.path,
                        call.address,
                        call.sent_at.saturating_duration_since(stopped_at).as_millis(),
                        held.as_millis()
                    ));
                }
            }
            _ => {}
        }
    }
    record.line(&format!("{answered} calls answered, {lost} read and given up without an answer"));
    if answered == 0 {
        return Verdict::NotRun;
    }
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// The operator replaces a route while the second step of an accepted job waits for the first.
fn removed_route(work: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    const JOBS: u64 = 3;
    let first = config(3, &[route("r1", "/cut/"), route("r2", "/price/")]);
    let Some((platform, hosts)) = start_cell(work, record, 3, 4, 16_000, &first) else {
        return Verdict::NotRun;
    };
    let body = "{\"spec\":\"text\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":64,\
                \"est_runtime_ms\":3000},{\"count\":2,\"cpu\":500,\"mem_mb\":64,\
                \"est_runtime_ms\":3000,\"after\":[0]}]}";
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        let id = format!("{:016x}", 0x6000_0000_0000_0000 + number);
        if !submit(&platform, &hosts, record, &id, body, 500) {
            return Verdict::NotRun;
        }
        jobs.push(id);
    }
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        // The route gets another name and keeps its host and prefix.
        let second = config(8, &[route("r3", "/cut/"), route("r2", "/price/")]);
        platform.store.write("keyed.op", "config", &second);
        record.line("the operator's config of version 8 removes the route r1 and adds r3");
    }
    if count_idle_jobs(&platform, &hosts, record, &jobs, 3) > 0 {
        return Verdict::Broken;
    }
    Verdict::Held
}

/// A tenant's cap is lowered a little below the size of the tasks of its accepted jobs. One task at a
/// time stays within the cap and its overshoot of a tenth.
fn lowered_cap(work: &Path, record: &Arc<Record>, has_trouble: bool) -> Verdict {
    const JOBS: u64 = 3;
    let routes = [route("r1", "/cut/")];
    // Four tasks of 2,000 fit in the cap at first.
    let first = config_with_cap(3, &routes, 8_000);
    let Some((platform, hosts)) = start_cell(work, record, 3, 4, 16_000, &first) else {
        return Verdict::NotRun;
    };
    let body = "{\"spec\":\"text\",\"steps\":[{\"count\":1,\"cpu\":2000,\"mem_mb\":64,\
                \"est_runtime_ms\":3000},{\"count\":2,\"cpu\":2000,\"mem_mb\":64,\
                \"est_runtime_ms\":3000,\"after\":[0]}]}";
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        let id = format!("{:016x}", 0x7000_0000_0000_0000 + number);
        if !submit(&platform, &hosts, record, &id, body, 2_000) {
            return Verdict::NotRun;
        }
        jobs.push(id);
    }
    thread::sleep(Duration::from_secs(1));
    if has_trouble {
        platform.store.write("keyed.op", "config", &config_with_cap(8, &routes, 1_900));
        record.line("the operator's config of version 8 lowers the cap from 8000 to 1900");
    }
    if count_idle_jobs(&platform, &hosts, record, &jobs, 3) > 0 {
        return Verdict::Broken;
    }
    Verdict::Held
}

/// Submits a job whose tasks take three seconds each.
fn submit(
    platform: &Platform,
    hosts: &[Host],
    record: &Record,
    id: &str,
    body: &str,
    cpu: u64,
) -> bool {
    let run_time = Duration::from_millis(3_000);
    let work = Work { run_time, cpu, is_hopeless: false, gang: 0 };
    platform.work.lock().expect("the work's lock").insert(id.to_owned(), work);
    let mut client = Client::new(&hosts[0].callers, HOST, KEY);
    let path = format!("/cut/{id}");
    let call = client.call("POST", &path, body, CALL_TIMEOUT);
    record.line(&format!("POST {path}: {}", call.outcome.label()));
    call.outcome.status() == 200
}

/// Asks for the jobs until `finish_s` after the end of the traffic, and counts those of which
/// nothing has run for three seconds then although not all of their tasks have been done.
fn count_idle_jobs(
    platform: &Platform,
    hosts: &[Host],
    record: &Record,
    jobs: &[String],
    tasks: usize,
) -> usize {
    const FINISH: Duration = Duration::from_secs(14);
    const IDLE: Duration = Duration::from_secs(3);
    let traffic_ended_at = Instant::now();
    while traffic_ended_at.elapsed() < FINISH {
        thread::sleep(Duration::from_secs(2));
        record.line(&format!("{} thousandths of a core are in use", platform.cpu_in_use()));
        for id in jobs {
            let mut client = Client::new(&hosts[0].callers, HOST, KEY);
            let call = client.call("GET", &format!("/cut/{id}"), "", CALL_TIMEOUT);
            record.line(&format!("GET /cut/{id}: {}", call.outcome.label()));
        }
    }
    let mut lost = 0;
    for id in jobs {
        let events = platform.events_of(id);
        let starts = events.iter().filter(|event| event.what == "start").count();
        let idle = events.last().map_or(FINISH, |event| event.at.elapsed());
        let is_waiting = events.iter().filter(|event| event.what == "done").count() < tasks;
        let has_nothing_running = events.last().is_some_and(|event| event.what != "start");
        if is_waiting && has_nothing_running && idle >= IDLE {
            lost += 1;
            record.line(&format!(
                "LOST: {id} has had {starts} starts, and nothing of it has run for {} ms",
                idle.as_millis()
            ));
        }
    }
    lost
}
