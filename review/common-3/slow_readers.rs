//! Clients on kept connections read whole, sound answers slowly, but steadily, while their entry is
//! undisturbed and while it is stopped as planned.

use std::{
    io::{Read, Write},
    net::TcpStream,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{fleet, Verdict};

/// Clients of each kind.
const CLIENTS: usize = 6;

/// The time that a client waits for its answer, as its deadline and the route's timeout say.
const DEADLINE_MILLIS: u32 = 15_000;

/// A stream as the site kotuku-meters-grown knows it: at most 550 events of at most 390 bytes, each of
/// seven tokens at 3.37 ms.
const EVENTS: usize = 60;
const EVENT_BYTES: usize = 350;
const EVENT_GAP: Duration = Duration::from_millis(24);

/// The size of a plain answer.
const PLAIN_BYTES: usize = 400_000;

/// The time for which the endpoint works before it answers; the SIGTERM falls into it.
const WORK: Duration = Duration::from_millis(800);

/// The time from the requests to the SIGTERM.
const STOP_DELAY: Duration = Duration::from_millis(500);

/// The time between two reads of a slow client.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// What a client asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    /// A stream, read from a socket with a small window at 4 KB/s.
    Stream,
    /// A plain answer, read from a socket with the system's default buffers at 100 KB/s.
    Plain,
}

impl Kind {
    const fn path(self) -> &'static str {
        match self {
            Self::Stream => "/drafts/1",
            Self::Plain => "/orders/1",
        }
    }

    const fn read_bytes(self) -> usize {
        match self {
            Self::Stream => 400,
            Self::Plain => 10_000,
        }
    }

    fn connect(self, fleet: &fleet::Fleet) -> std::io::Result<TcpStream> {
        let address = fleet.front(fleet::FIRST_ENTRY);
        match self {
            Self::Stream => fleet::connect_with_buffer(address, 4_096),
            Self::Plain => TcpStream::connect(address),
        }
    }

    fn expected(self) -> Vec<u8> {
        match self {
            Self::Stream => (0..EVENTS)
                .flat_map(|number| fleet::event(number, EVENT_BYTES))
                .collect(),
            Self::Plain => vec![b'x'; PLAIN_BYTES],
        }
    }
}

fn document() -> String {
    r#"{"version":1,"routes":[{"name":"small","hostname":"shop.example","path_prefix":"/small/","route_type":"non_idempotent","timeout_ms":15000,"target_latency_ms":1000,"priority":0,"backend":"register","retry_attempts":1,"public":false},{"name":"orders","hostname":"shop.example","path_prefix":"/orders/","route_type":"non_idempotent","timeout_ms":15000,"target_latency_ms":2000,"priority":0,"backend":"register","retry_attempts":1,"public":false},{"name":"drafts","hostname":"shop.example","path_prefix":"/drafts/","route_type":"streaming","timeout_ms":15000,"target_latency_ms":2000,"priority":0,"backend":"register","retry_attempts":1,"public":false,"stream_resume":false,"target_gap_ms":400}],"services":[{"name":"register","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"shop","api_keys":["key-one"],"priority":1}]}"#.to_owned()
}

/// What a client saw of its answer.
struct Outcome {
    kind: Kind,
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
        if received.path == Kind::Stream.path() {
            thread::sleep(WORK);
            let (count, bytes, gap) = (EVENTS, EVENT_BYTES, EVENT_GAP);
            return fleet::Reply::Events { count, bytes, gap };
        }
        if received.path == Kind::Plain.path() {
            thread::sleep(WORK);
            return fleet::Reply::Whole(vec![b'x'; PLAIN_BYTES]);
        }
        fleet::Reply::Whole(b"ok".to_vec())
    });
    let endpoint = fleet::Endpoint::start(&fleet, fleet::FIRST_ENDPOINT, "register", 20, answer)?;
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
    // LOST counts each answer around planned work, and more than three at any time. Streams alone
    // decide, since their sizes are those of the sheet.
    record.note(format!(
        "streams lost: {undisturbed} undisturbed, {planned} around the planned stop"
    ));
    Ok(match undisturbed > 3 || planned > 0 {
        false => Verdict::Held,
        true => Verdict::Broken,
    })
}

/// Lets the clients ask and, if `stops`, the entry be stopped meanwhile. Returns the number of streams
/// that the endpoint ran and that didn't arrive whole.
fn play_round(
    fleet: &Arc<fleet::Fleet>,
    runs: &Mutex<Vec<String>>,
    slow: bool,
    stops: bool,
) -> std::io::Result<usize> {
    let record = &fleet.record;
    let kinds = [Kind::Stream, Kind::Plain];
    let clients: Vec<_> = kinds
        .into_iter()
        .flat_map(|kind| [kind; CLIENTS])
        .map(|kind| {
            let fleet = fleet.clone();
            thread::spawn(move || ask(&fleet, kind, slow))
        })
        .collect();
    if stops {
        thread::sleep(STOP_DELAY);
        record.note("SIGTERM to the entry");
        fleet.signal(fleet::FIRST_ENTRY, fleet::SIGTERM);
    }
    let (mut streams, mut plain) = (0, 0);
    for client in clients {
        let outcome = client.join().map_err(|_| std::io::ErrorKind::Other)??;
        let ran = runs.lock().unwrap().contains(&outcome.id);
        let kind = outcome.kind;
        record.note(format!(
            "client {}: {kind:?}, {} of {} bytes, whole: {}, end: {}, run by the endpoint: {ran}",
            outcome.id,
            outcome.bytes,
            kind.expected().len(),
            outcome.whole,
            outcome.end
        ));
        let lost = usize::from(ran && !outcome.whole);
        match kind {
            Kind::Stream => streams += lost,
            Kind::Plain => plain += lost,
        }
    }
    record.note(format!(
        "lost: {streams} of {CLIENTS} streams, {plain} of {CLIENTS} plain answers"
    ));
    Ok(streams)
}

/// Sends a small request and then, on the same connection, the one whose answer is read slowly.
fn ask(fleet: &fleet::Fleet, kind: Kind, slow: bool) -> std::io::Result<Outcome> {
    let mut stream = kind.connect(fleet)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_millis(u64::from(DEADLINE_MILLIS))))?;
    let first = fleet.new_id();
    let request = fleet.request("/small/1", &first, DEADLINE_MILLIS, "");
    stream.write_all(request.as_bytes())?;
    let answer = fleet::read_answer(&mut stream)?;
    fleet
        .record
        .note(format!("client {first}: small answer {}", answer.status));
    let id = fleet.new_id();
    let request = fleet.request(kind.path(), &id, DEADLINE_MILLIS, "");
    fleet
        .record
        .note(format!("client {id}: asks for {}", kind.path()));
    stream.write_all(request.as_bytes())?;
    let sent = Instant::now();
    let (head, mut body) = fleet::read_head(&mut stream, Vec::new())?;
    let (status, headers) = fleet::parse_head(&head);
    let chunked = headers.contains_key("transfer-encoding");
    let expected = kind.expected();
    let mut longest_pause = Duration::ZERO;
    let mut last = Instant::now();
    let mut buffer = vec![0; kind.read_bytes()];
    let end = loop {
        let is_complete = match chunked {
            true => body.ends_with(b"\r\n0\r\n\r\n"),
            false => body.len() >= expected.len(),
        };
        if is_complete {
            break "complete".to_owned();
        }
        if slow {
            thread::sleep(READ_PAUSE);
        }
        longest_pause = longest_pause.max(last.elapsed());
        match stream.read(&mut buffer) {
            Ok(0) => break "closed".to_owned(),
            Ok(count) => body.extend_from_slice(&buffer[..count]),
            Err(error) => break error.to_string(),
        }
        last = Instant::now();
    };
    fleet.record.note(format!(
        "client {id}: {status}, read for {:.1} s, longest time without a read {} ms",
        sent.elapsed().as_secs_f64(),
        longest_pause.as_millis()
    ));
    let content = match chunked {
        true => without_chunks(&body),
        false => body,
    };
    Ok(Outcome {
        kind,
        id,
        bytes: content.len(),
        whole: end == "complete" && content == expected,
        end,
    })
}

/// Returns the content of the whole chunks.
fn without_chunks(body: &[u8]) -> Vec<u8> {
    let mut content = Vec::new();
    let mut rest = body;
    while let Some(end) = rest.windows(2).position(|bytes| bytes == b"\r\n") {
        let length = std::str::from_utf8(&rest[..end]).unwrap_or_default();
        let Ok(length) = usize::from_str_radix(length, 16) else {
            break;
        };
        let Some(chunk) = rest.get(end + 2..end + 2 + length) else {
            break;
        };
        content.extend_from_slice(chunk);
        rest = rest.get(end + 4 + length..).unwrap_or_default();
    }
    content
}
