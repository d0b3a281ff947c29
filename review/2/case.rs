//! After all processes were killed, requests run for the account that held their key in an older
//! configuration.

#[path = "../common/mod.rs"]
mod common;

use std::{
    sync::{Arc, Mutex, atomic::{AtomicBool, Ordering}},
    thread,
    time::{Duration, Instant},
};

use common::{Fleet, Record, Runner, Runs};

const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// Changes of the configuration before the one that moves the key.
const CHANGES: u64 = 40;

/// Routes beside the four that are used; the site's largest growth at a time is 350.
const IDLE_ROUTES: usize = 330;

/// Returns a valid configuration in which `owner` holds the key, and the other tenant another one.
fn config(version: u64, owner: &str) -> String {
    let mut routes = String::new();
    for number in 0..IDLE_ROUTES {
        routes += &format!(
            ",{{\"name\":\"r-idle{number}\",\"hostname\":\"{}\",\"path_prefix\":\"/idle{number}/\",\
             \"route_type\":\"idempotent\",\"timeout_ms\":{},\"target_latency_ms\":800,\
             \"priority\":2,\"backend\":\"register\",\"retry_attempts\":2,\"public\":false}}",
            common::HOST,
            15_000 + version,
        );
    }
    let tenant = |name: &str| {
        let key = if name == owner { common::KEY } else { "key-two" };
        format!(
            "{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"],\"priority\":1,\"unit\":\"tokens\",\
             \"uncached_tokens\":200,\"rate_per_s\":3000000,\"burst_size\":3000000}}"
        )
    };
    let text = common::config(version, common::KEY);
    let (before, _) = text.split_once("\"tenants\":[").unwrap();
    let before = before.replacen("],\"services\"", &format!("{routes}],\"services\""), 1);
    format!("{before}\"tenants\":[{},{}]}}", tenant("tenant-one"), tenant("tenant-two"))
}

fn case(record: &Record) -> bool {
    let mut fleet = Fleet::start(record, 2);
    for version in 1..=CHANGES {
        fleet.put_config(record, version, &config(version, "tenant-one"));
    }
    let bytes = config(CHANGES, "tenant-one").len();
    record.line(&format!("each configuration has {bytes} bytes"));
    let moved = CHANGES + 3;
    fleet.put_config(record, moved, &config(moved, "tenant-two"));
    let acknowledged = Instant::now();
    record.line("from this version on, tenant-two holds the key and no longer tenant-one");
    let runs = Runs::default();
    let stop = Arc::new(AtomicBool::new(false));
    let mut runners = Vec::new();
    for number in 0..8 {
        let runner = Runner::start(&format!("i-{number}"), "register", 20, runs.clone());
        runner.beat_from(fleet.control_http.clone(), number, stop.clone());
        runners.push(runner);
        common::sleep_millis(150);
    }
    fleet.await_ready(record);

    let attempts = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..12_usize)
        .map(|client| {
            let (stop, attempts) = (stop.clone(), attempts.clone());
            let fronts = fleet.fronts.clone();
            thread::spawn(move || {
                for number in 0_usize.. {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("c{client}-{number}");
                    let entry = fronts[(client + number) % fronts.len()];
                    let seen = common::attempt(entry, &id, "/book/7", common::KEY, 1_000);
                    attempts.lock().unwrap().push(seen);
                    common::sleep_millis(20);
                }
            })
        })
        .collect();
    common::sleep_millis(2_500);
    if common::has_trouble() {
        for process in fleet.controls.iter_mut().chain(&mut fleet.entries) {
            process.kill();
        }
        record.line("all processes killed");
        common::sleep_millis(700);
        for process in fleet.controls.iter_mut().chain(&mut fleet.entries) {
            process.start();
        }
        record.line("all processes started again with their disks");
    }
    common::sleep_millis(4_000);
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }

    let attempts = attempts.lock().unwrap();
    let runs = runs.lock().unwrap();
    common::record_attempts(record, acknowledged, &attempts, &runs);
    let (mut foreign, mut own) = (0, 0);
    for seen in attempts.iter().filter(|seen| seen.sent > acknowledged + CONFIG_APPLY) {
        for run in runs.iter().filter(|run| run.attempt == seen.id) {
            let tenant = run.headers.get("x-waxwingmill-tenant").map(String::as_str);
            if tenant == Some("tenant-two") {
                own += 1;
                continue;
            }
            foreign += 1;
            record.line(&format!(
                "{} sent at {} ms, {} ms after the acknowledgement, ran at {} for {tenant:?}, \
                 answered {:?}",
                seen.id,
                record.millis(seen.sent),
                (seen.sent - acknowledged).as_millis(),
                run.runner,
                seen.status
            ));
        }
    }
    record.line(&format!(
        "{foreign} requests ran for another tenant than the one that holds their key, {own} for it"
    ));
    if own == 0 {
        common::give_up(record, "no request ran for the tenant that holds the key");
    }
    foreign > 0
}

fn main() {
    common::main_with(case);
}
