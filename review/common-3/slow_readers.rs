//! Clients on kept connections read whole, sound answers at a steady 100 KB/s while their entry is
//! stopped as planned.

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{fleet, Verdict};

const ANSWER_BYTES: usize = 400_000;
const CLIENTS: usize = 6;

/// Time that the client waits for its answer, as its deadline says.
const DEADLINE_MILLIS: u32 = 15_000;

/// Size of each read of a slow client, and the time between two of them.
const READ_BYTES: usize = 10_000;
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Time for which the endpoint works on a request with a large answer; the SIGTERM falls into it.
const LARGE_WORK: Duration = Duration::from_millis(800);

/// Time from the requests to the SIGTERM.
const STOP_DELAY: Duration = Duration::from_millis(500);

fn document() -> String {
    r#"{"version":1,"routes":[{"name":"orders","hostname":"shop.example","path_prefix":"/orders/","route_type":"non_idempotent","timeout_ms":15000,"target_latency_ms":1000,"priority":0,"backend":"register","retry_attempts":1,"public":false}],"services":[{"name":"register","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"shop","api_keys":["key-one"],"priority":1}]}"#.to_owned()
}

/// What a client saw of its large answer.
struct Outcome {
    id: String,
    bytes: usize,
    whole: bool,
    end: String,
}

pub fn run(record: &Arc<fleet::Record>, trouble: bool) -> Verdict {
    match play(record, trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::NotRun(error.to_string()),
    }
}

fn play(record: &Arc<fleet::Record>, trouble: bool) -> std::io::Result<Verdict> {
    let fleet = fleet::Fleet::start(record.clone(), 3, 1)?;
    let runs: Arc<Mutex<Vec<String>>> = Arc::default();
    let (noted, log) = (runs.clone(), record.clone());
    let answer: fleet::AnswerFunction = Arc::new(move |received| {
        noted.lock().unwrap().push(received.id().to_owned());
        log.note(format!("endpoint runs {} {}", received.id(), received.path));
        match received.path.contains("large") {
            true => {
                thread::sleep(LARGE_WORK);
                vec![b'x'; ANSWER_BYTES]
            }
            false => b"ok".to_vec(),
        }
    });
    let endpoint = fleet::Endpoint::start(&fleet, fleet::FIRST_ENDPOINT, "register", 10, answer)?;
    if fleet.put(&document()) != Some(200) || !fleet.await_ready() {
        return Ok(Verdict::NotRun("the fleet didn't start".to_owned()));
    }
    // In touch: nothing is disturbed for contact_ms before the requests.
    thread::sleep(Duration::from_secs(5));
    record.note("round 1: no planned work");
    let undisturbed = play_round(&fleet, &runs, trouble, false)?;
    record.note("round 2: the entry is stopped as planned");
    let planned = play_round(&fleet, &runs, trouble, true)?;
    drop(endpoint);
    // LOST counts each answer around planned work, and more than three at any time.
    Ok(match (undisturbed > 3, planned > 0) {
        (false, false) => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Lets the clients ask and, if `stops`, the entry be stopped meanwhile. Returns the number of requests
/// that the endpoint ran and whose answers didn't arrive whole.
fn play_round(
    fleet: &Arc<fleet::Fleet>,
    runs: &Mutex<Vec<String>>,
    slow: bool,
    stops: bool,
) -> std::io::Result<usize> {
    let record = &fleet.record;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let fleet = fleet.clone();
            thread::spawn(move || ask(&fleet, slow))
        })
        .collect();
    if stops {
        thread::sleep(STOP_DELAY);
        record.note("SIGTERM to the entry");
        fleet.signal(fleet::FIRST_ENTRY, fleet::SIGTERM);
    }
    let mut lost = 0;
    for client in clients {
        let outcome = client.join().map_err(|_| std::io::ErrorKind::Other)??;
        let ran = runs.lock().unwrap().contains(&outcome.id);
        let whole = outcome.whole;
        record.note(format!(
            "client {}: {} of {ANSWER_BYTES} bytes, whole: {whole}, end: {}, run by the endpoint: {ran}",
            outcome.id, outcome.bytes, outcome.end
        ));
        lost += usize::from(ran && !whole);
    }
    record.note(format!("{lost} of {CLIENTS} answers were lost"));
    Ok(lost)
}

/// Sends a small request and then, on the same connection, the one with the large answer.
fn ask(fleet: &fleet::Fleet, slow: bool) -> std::io::Result<Outcome> {
    let mut stream = TcpStream::connect(fleet.front(fleet::FIRST_ENTRY))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(u64::from(DEADLINE_MILLIS))))?;
    let first = fleet.new_id();
    let request = fleet.request("/orders/small", &first, DEADLINE_MILLIS, "");
    stream.write_all(request.as_bytes())?;
    let answer = fleet::read_answer(&mut stream)?;
    fleet
        .record
        .note(format!("client {first}: small answer {}", answer.status));
    let id = fleet.new_id();
    let request = fleet.request("/orders/large", &id, DEADLINE_MILLIS, "");
    fleet.record.note(format!("client {id}: asks for a large answer"));
    stream.write_all(request.as_bytes())?;
    let sent = Instant::now();
    let (head, mut body) = fleet::read_head(&mut stream, Vec::new())?;
    let (status, _) = fleet::parse_head(&head);
    let mut longest_pause = Duration::ZERO;
    let mut last = Instant::now();
    let mut buffer = vec![0; READ_BYTES];
    let end = loop {
        if body.len() >= ANSWER_BYTES {
            break "complete".to_owned();
        }
        if slow {
            thread::sleep(READ_PAUSE);
        }
        longest_pause = longest_pause.max(last.elapsed());
        last = Instant::now();
        match stream.read(&mut buffer) {
            Ok(0) => break "closed".to_owned(),
            Ok(count) => body.extend_from_slice(&buffer[..count]),
            Err(error) => break error.to_string(),
        }
    };
    fleet.record.note(format!(
        "client {id}: {status}, read for {:.1} s, longest time between two reads {} ms",
        sent.elapsed().as_secs_f64(),
        longest_pause.as_millis()
    ));
    Ok(Outcome {
        id,
        bytes: body.len(),
        whole: body.len() == ANSWER_BYTES,
        end,
    })
}
