//! A runner that has left is used again after all processes were killed and a late heartbeat.

#[path = "../common/mod.rs"]
mod common;

use std::{
    sync::{Arc, Mutex, atomic::{AtomicBool, Ordering}},
    thread,
    time::{Duration, Instant},
};

use common::{Fleet, Record, Runner, Runs};

const DRAIN: Duration = Duration::from_millis(2_000);
const CONTACT: Duration = Duration::from_millis(3_000);

fn case(record: &Record) -> bool {
    let mut fleet = Fleet::start(record, 2);
    fleet.put_config(record, 7, &common::config(7, common::KEY));
    let runs = Runs::default();
    let stays = Runner::start("i-stays", "register", 150, runs.clone());
    let leaves = Runner::start("i-leaves", "register", 150, runs.clone());
    let (stop_stays, stop_leaves) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
    stays.beat_from(fleet.control_http.clone(), 0, stop_stays.clone());
    leaves.beat_from(fleet.control_http.clone(), 0, stop_leaves.clone());
    fleet.await_ready(record);
    common::sleep_millis(1_500);

    // Clients send calls that may run at most once, to both entries in turn, until the end.
    let stop_clients = Arc::new(AtomicBool::new(false));
    let attempts = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..16_usize)
        .map(|client| {
            let (stop, attempts) = (stop_clients.clone(), attempts.clone());
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
    common::sleep_millis(2_000);
    let used = runs.lock().unwrap().iter().filter(|run| run.runner == "i-leaves").count();
    record.line(&format!("before it leaves, i-leaves has run {used} requests"));
    if used == 0 {
        common::give_up(record, "the runner was never used");
    }

    // The last heartbeat is sent and held up on its way; then the runner leaves.
    stop_leaves.store(true, Ordering::SeqCst);
    common::sleep_millis(50);
    let late_beat = leaves.next_beat("ready");
    record.line(&format!("sent, and held up on its way: PUT /runners/i-leaves {late_beat}"));
    let limit = Duration::from_secs(1);
    let gone = common::call(fleet.control_http[0], "DELETE", "/runners/i-leaves", &[], b"", limit);
    let acknowledged = Instant::now();
    if !gone.is_ok_and(|answer| answer.status == 200) {
        common::give_up(record, "the DELETE was not acknowledged");
    }
    record.line("DELETE /runners/i-leaves -> 200; the runner goes on serving for 13 s");
    common::sleep_millis(200);
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
    let restarted = Instant::now();
    while acknowledged.elapsed() < Duration::from_secs(3) {
        common::sleep_millis(5);
    }
    let accepted = leaves.send_beat(fleet.control_http[0], &late_beat);
    record.line(&format!("the late heartbeat arrives, acknowledged: {accepted}"));
    while acknowledged.elapsed() < Duration::from_secs(13) {
        common::sleep_millis(20);
    }
    leaves.end();
    record.line("i-leaves exits");
    let ended = Instant::now();
    common::sleep_millis(1_500);
    stop_clients.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    stop_stays.store(true, Ordering::SeqCst);

    // In touch again twice `contact_ms` after the restart, as after a final fault; the time bound of
    // the rule is counted once more from there.
    let judged_from = (acknowledged + DRAIN).max(restarted + 2 * CONTACT + DRAIN);
    let attempts = attempts.lock().unwrap();
    let runs = runs.lock().unwrap();
    common::record_attempts(record, acknowledged, &attempts, &runs);
    record.line(&format!("judged: requests sent after {} ms", record.millis(judged_from)));
    let (mut late, mut others, mut lost) = (0, 0, 0);
    for seen in attempts.iter().filter(|seen| seen.sent > judged_from) {
        let run = runs.iter().find(|run| run.attempt == seen.id);
        match run.map(|run| run.runner.as_str()) {
            Some("i-leaves") => {
                late += 1;
                let cut = seen.status != Some(200) || !seen.complete;
                lost += usize::from(cut && run.unwrap().at < ended);
            }
            Some(_) => others += 1,
            None => {}
        }
    }
    record.line(&format!(
        "of the requests sent in touch, {late} ran at i-leaves ({lost} of them got no success), \
         {others} at i-stays"
    ));
    if others == 0 {
        common::give_up(record, "the other runner was not used");
    }
    late > 0
}

fn main() {
    common::main_with(case);
}
