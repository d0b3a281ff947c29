//! The scenarios. Each returns whether the rule held, or why the case couldn't run.

use std::{
    net::TcpStream,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Fleet, Outcome, document},
    http,
};

const TENANTS: &str = "[{\"name\":\"atelier\",\"api_keys\":[\"held-key\"],\"priority\":0}]";

/// Bounds of the pages for the small deployment.
const DRAIN_TIME: Duration = Duration::from_millis(2_000);
const CONFIG_APPLY_TIME: Duration = Duration::from_millis(2_000);

fn headers(
    attempt: &str,
    key: &str,
    further: &[(&'static str, String)],
) -> Vec<(&'static str, String)> {
    let mut headers = vec![
        ("Host", "shop.example".to_owned()),
        ("X-Waxwingmill-Attempt-Id", attempt.to_owned()),
        ("X-Waxwingmill-Deadline-Ms", "12000".to_owned()),
        ("Authorization", format!("Token {key}")),
    ];
    headers.extend_from_slice(further);
    headers
}

/// Sends a plain request and returns the status of its answer; 0 without one.
fn plain(fleet: &Fleet, path: &str, attempt: &str, key: &str) -> u16 {
    fleet.record.note(&format!(
        "client sends attempt={attempt} path={path} key={key}"
    ));
    let answer = http::call(
        fleet.entry(),
        "POST",
        path,
        &headers(attempt, key, &[]),
        "body",
        Duration::from_secs(5),
    );
    let status = answer.map_or(0, |answer| answer.status);
    fleet
        .record
        .note(&format!("client got attempt={attempt} status={status}"));
    status
}

fn await_service(fleet: &Fleet, path: &str) -> Outcome<()> {
    let deadline = Instant::now() + Duration::from_secs(20);
    for number in 0.. {
        if plain(fleet, path, &format!("probe-{number}"), "held-key") == 200 {
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err("the entry doesn't serve in time".to_owned());
        }
        thread::sleep(Duration::from_millis(100));
    }
    Ok(())
}

fn send_stream(fleet: &Fleet, attempt: &str, last: Option<u64>) -> Outcome<TcpStream> {
    let mut further = vec![("X-Waxwingmill-Token-Count", "100,50".to_owned())];
    further.extend(last.map(|last| ("Last-Event-Id", last.to_string())));
    fleet.record.note(&format!(
        "client sends attempt={attempt} path=/draft/1 last-event-id={last:?}"
    ));
    let headers = headers(attempt, "held-key", &further);
    http::send(fleet.entry(), "POST", "/draft/1", &headers, "body")
        .map_err(|error| error.to_string())
}

fn last_event(body: &str) -> u64 {
    let ids = body.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.filter_map(|id| id.parse().ok()).max().unwrap_or(0)
}

/// A client resumes a stream, and the runner crashes after the head of its answer and before the
/// first event. The answers have no length. The stream must not look complete.
pub fn resumed_stream(folder: &str, trouble: bool) -> Outcome<bool> {
    const EVENTS: u64 = 8;
    let mut fleet = Fleet::start(folder, 3, 1)?;
    fleet.put(&document(1, TENANTS))?;
    fleet.start_runner("register-0", "register", &[1, 2, 3], None, &[])?;
    let options = ["--unframed", "--events", "8"];
    let address = fleet.start_runner("model-0", "model", &[1, 2, 3], None, &options)?;
    await_service(&fleet, "/read/1")?;
    fleet
        .record
        .await_line("runner-model-0: acknowledged", Duration::from_secs(5))?;
    thread::sleep(Duration::from_millis(500));
    let mut held = true;
    for trial in 0..3 {
        let first = format!("first-{trial}");
        let mut stream = send_stream(&fleet, &first, None)?;
        let answer = http::receive(&mut stream, Duration::from_secs(5), |answer| {
            last_event(&answer.body) >= 3
        });
        let seen = answer.as_ref().map_or(0, |answer| last_event(&answer.body));
        fleet
            .record
            .note(&format!("client leaves attempt={first} after event {seen}"));
        drop(stream);
        if seen < 3 {
            return Err("the first stream brought no three events".to_owned());
        }
        thread::sleep(Duration::from_millis(300));
        let resumed = format!("resumed-{trial}");
        let mut stream = send_stream(&fleet, &resumed, Some(seen))?;
        if trouble {
            fleet
                .record
                .await_line(&format!("head attempt={resumed}"), Duration::from_secs(5))?;
            thread::sleep(Duration::from_millis(100));
            fleet.kill("runner-model-0");
        }
        let answer = http::receive(&mut stream, Duration::from_secs(13), |_| false);
        let Some(answer) = answer else {
            fleet
                .record
                .note(&format!("client got attempt={resumed} no answer"));
            return Err("no answer to the resumed stream".to_owned());
        };
        let end = last_event(&answer.body).max(seen);
        fleet.record.note(&format!(
            "client got attempt={resumed} status={} last event={end} of {EVENTS} end={:?}",
            answer.status, answer.end
        ));
        let is_success = (200..300).contains(&answer.status);
        if is_success && answer.end == http::BodyEnd::Complete && end < EVENTS {
            fleet
                .record
                .note("ORDER broken: the stream ends as complete before its last piece");
            held = false;
        }
        if !trouble && (end < EVENTS || answer.end != http::BodyEnd::Complete) {
            return Err("a stream failed without the disruption".to_owned());
        }
        if trouble {
            fleet.start_runner("model-0", "model", &[1, 2, 3], Some(address), &options)?;
            // Until the entry uses the runner again.
            thread::sleep(Duration::from_millis(5_000));
        }
    }
    Ok(held)
}

/// The last tenant of a configuration is taken away, with its key. Requests with a key that no
/// configuration ever held must not run on routes that are not public.
pub fn last_account(folder: &str, trouble: bool) -> Outcome<bool> {
    const REQUESTS: usize = 5;
    let mut fleet = Fleet::start(folder, 3, 1)?;
    fleet.put(&document(1, TENANTS))?;
    fleet.start_runner("register-0", "register", &[1, 2, 3], None, &[])?;
    await_service(&fleet, "/book/1")?;
    if trouble {
        fleet.put(&document(2, "[]"))?;
        fleet
            .record
            .note("version 2 without a tenant is acknowledged");
        thread::sleep(CONFIG_APPLY_TIME + Duration::from_millis(500));
    }
    for number in 0..REQUESTS {
        plain(
            &fleet,
            "/book/1",
            &format!("stranger-{number}"),
            "key-of-nobody",
        );
    }
    if trouble {
        for number in 0..REQUESTS {
            plain(
                &fleet,
                "/book/1",
                &format!("withdrawn-{number}"),
                "held-key",
            );
        }
    }
    thread::sleep(Duration::from_millis(200));
    let strangers = fleet.record.find("runs attempt=stranger-").len();
    let withdrawn = fleet.record.find("runs attempt=withdrawn-").len();
    fleet.record.note(&format!(
        "{strangers} requests ran with a key that no configuration held, {withdrawn} with the withdrawn key"
    ));
    Ok(strangers == 0)
}

/// Starts a client that sends one request after the other until `stop`.
fn start_client(fleet: &Fleet, client: usize, stop: &Arc<AtomicBool>) -> thread::JoinHandle<()> {
    let (record, entry, stop) = (fleet.record.clone(), fleet.entry(), stop.clone());
    thread::spawn(move || {
        for number in 0.. {
            if stop.load(Ordering::Relaxed) {
                return;
            }
            let attempt = format!("c{client}-{number}");
            let answer = http::call(
                entry,
                "POST",
                "/read/1",
                &headers(&attempt, "held-key", &[]),
                "body",
                Duration::from_secs(5),
            );
            let status = answer.map_or(0, |answer| answer.status);
            record.note(&format!("client got attempt={attempt} status={status}"));
            thread::sleep(Duration::from_millis(10));
        }
    })
}

/// A runner crashes within two seconds of its start, the time of day of its host jumps back by two
/// seconds, and it starts again under its id. Later it says that it leaves.
pub fn clock_back(folder: &str, trouble: bool) -> Outcome<bool> {
    const CLIENTS: usize = 12;
    let mut fleet = Fleet::start(folder, 3, 1)?;
    fleet.put(&document(1, TENANTS))?;
    fleet.start_runner("steady", "register", &[1, 2, 3], None, &[])?;
    await_service(&fleet, "/read/1")?;
    let address = fleet.start_runner("restarted", "register", &[1, 2, 3], None, &[])?;
    fleet
        .record
        .await_line("runner-restarted: acknowledged", Duration::from_secs(5))?;
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| start_client(&fleet, client, &stop))
        .collect();
    thread::sleep(Duration::from_millis(1_000));
    fleet.kill("runner-restarted");
    let offset: &[&str] = if trouble {
        &["--clock-offset", "-2000"]
    } else {
        &[]
    };
    fleet.start_runner("restarted", "register", &[1, 2, 3], Some(address), offset)?;
    thread::sleep(Duration::from_secs(5));
    fleet.drain_runner("restarted")?;
    let line = fleet.record.await_line(
        "runner-restarted: acknowledged state=draining",
        Duration::from_secs(5),
    )?;
    let acknowledged: i64 = line
        .split(' ')
        .next()
        .and_then(|time| time.parse().ok())
        .unwrap_or(0);
    thread::sleep(Duration::from_secs(5));
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let bound = acknowledged + i64::try_from(DRAIN_TIME.as_millis()).unwrap_or(0);
    let runs = fleet.record.find("runner-restarted: runs");
    let late = runs.iter().filter(|line| {
        let time = line
            .split(' ')
            .next()
            .and_then(|time| time.parse::<i64>().ok());
        time.is_some_and(|time| time > bound)
    });
    let late = late.count();
    fleet.record.note(&format!(
        "{late} requests reached the runner later than {} ms after its leaving was acknowledged",
        DRAIN_TIME.as_millis()
    ));
    Ok(late == 0)
}

/// A control host that isn't a seed leads, another one is replaced by an empty one at another
/// address, and long after that two hosts lose their disks right after an acknowledgement.
pub fn replaced_host(folder: &str, trouble: bool) -> Outcome<bool> {
    const REPLACED: u8 = 3;
    const NEW: u8 = 6;
    let catch_up = Duration::from_secs(8);
    let mut fleet = Fleet::start(folder, 5, 2)?;
    let deadline = Instant::now() + Duration::from_secs(20);
    while (1..=5).any(|number| fleet.metric(number, "waxwing_registrar_voters") != Some(5)) {
        if Instant::now() >= deadline {
            return Err("the five control hosts don't all vote in time".to_owned());
        }
        thread::sleep(Duration::from_millis(100));
    }
    fleet.put(&document(1, TENANTS))?;
    // Restarts move the lead, as a rolling restart does, until a host that isn't a seed has it.
    let mut leader = fleet.await_leader(Duration::from_secs(10))?;
    while leader <= 3 {
        if Instant::now() >= deadline + Duration::from_secs(40) {
            return Err("no control host but the seeds leads in time".to_owned());
        }
        fleet.kill(&format!("control-{leader}"));
        thread::sleep(Duration::from_millis(800));
        fleet.start_control(leader)?;
        thread::sleep(Duration::from_millis(1_500));
        leader = fleet.await_leader(Duration::from_secs(10))?;
    }
    fleet
        .record
        .note(&format!("control-{leader} leads and is no seed"));
    thread::sleep(Duration::from_secs(2));
    if trouble {
        fleet.kill(&format!("control-{REPLACED}"));
        fleet.record.note(&format!(
            "control-{REPLACED} is gone for good, control-{NEW} takes its place"
        ));
        let other = if leader == 4 { 5 } else { 4 };
        fleet.set_seeds(&[1, 2, other]);
        fleet.write_control(NEW, false)?;
        fleet.start_control(NEW)?;
        thread::sleep(catch_up);
        let votes = fleet.metric(NEW, "waxwing_registrar_votes");
        fleet.record.note(&format!(
            "control-{NEW} votes: {votes:?}, {} s after its start",
            catch_up.as_secs()
        ));
    }
    let acknowledging = fleet.put(&document(2, TENANTS))?;
    fleet.record.note(&format!(
        "version 2 is acknowledged by control-{acknowledging}"
    ));
    let other = if acknowledging == 1 { 2 } else { 1 };
    for number in [acknowledging, other] {
        fleet.kill(&format!("control-{number}"));
        fleet.wipe(number)?;
    }
    thread::sleep(Duration::from_secs(1));
    for number in [acknowledging, other] {
        fleet.start_control(number)?;
    }
    let read = fleet.operate("GET", "", Duration::from_secs(30));
    let found =
        read.is_some_and(|(status, body, _)| status == 200 && body.contains("\"version\":2"));
    fleet
        .record
        .note(&format!("version 2 is read back: {found}"));
    Ok(found)
}
