//! An endpoint begins an answer without a length before it has read the whole request, and crashes
//! while both are on their way over a slow link.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicUsize, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

use crate::{fleet, Verdict};

/// The whole answer, and the part that is sent at once; the rest follows when the request is read.
const ANSWER_BYTES: usize = 4_800;
const FIRST_BYTES: usize = 1_200;

/// The size of the request, as on the sheet.
const REQUEST_BYTES: usize = 12_000;

/// The link to the endpoint takes this many bytes in each interval: 40 KB/s.
const LINK_BYTES: usize = 400;
const LINK_INTERVAL: Duration = Duration::from_millis(10);

/// The receive buffer at the near end of the link.
const LINK_BUFFER: i32 = 4_096;

/// The bytes of the request that have passed the link when the endpoint is killed.
const KILL_AFTER: usize = 4_000;

fn document() -> String {
    r#"{"version":1,"routes":[{"name":"orders","hostname":"shop.example","path_prefix":"/orders/","route_type":"non_idempotent","timeout_ms":8000,"target_latency_ms":2000,"priority":0,"backend":"register","retry_attempts":1,"public":false}],"services":[{"name":"register","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"shop","api_keys":["key-one"],"priority":1}]}"#.to_owned()
}

/// Runs the endpoint's process: it answers one request at a time, reading on meanwhile.
pub fn run_endpoint(address: &str) {
    let listener = TcpListener::bind(address).expect("the address is free");
    for stream in listener.incoming().flatten() {
        thread::spawn(move || answer(stream));
    }
}

fn answer(mut stream: TcpStream) {
    let Ok((head, mut body)) = fleet::read_head(&mut stream, Vec::new()) else {
        return;
    };
    let (_, headers) = fleet::parse_head(&head);
    let id = headers.get("x-waxwingmill-attempt-id").cloned();
    let length: usize = headers
        .get("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    let id = id.unwrap_or_default();
    let head = format!("HTTP/1.1 200 OK\r\nX-Waxwingmill-Attempt-Id: {id}\r\nX-Waxwingmill-Runner-Seal: seal.{id}\r\nConnection: close\r\n\r\n");
    let first = [head.into_bytes(), vec![b'a'; FIRST_BYTES]].concat();
    if stream.write_all(&first).is_err() {
        return;
    }
    let mut chunk = [0; 4096];
    while body.len() < length {
        match stream.read(&mut chunk) {
            Ok(count) if count > 0 => body.extend_from_slice(&chunk[..count]),
            _ => return,
        }
    }
    let _ = stream.write_all(&vec![b'b'; ANSWER_BYTES - FIRST_BYTES]);
}

/// Passes one connection on: slowly towards the endpoint, at once back.
fn relay(near: TcpStream, endpoint: SocketAddr, passed: Arc<AtomicUsize>, log: Arc<fleet::Record>) {
    let Ok(far) = TcpStream::connect(endpoint) else {
        fleet::reset(near);
        return;
    };
    let (Ok(mut back_from), Ok(mut back_to)) = (far.try_clone(), near.try_clone()) else {
        return;
    };
    let back_log = log.clone();
    thread::spawn(move || {
        let mut chunk = [0; 4096];
        loop {
            match back_from.read(&mut chunk) {
                Ok(count) if count > 0 => {
                    if back_to.write_all(&chunk[..count]).is_err() {
                        return;
                    }
                }
                Ok(_) => {
                    back_log.note("link: the endpoint's end of the stream, passed on");
                    let _ = back_to.shutdown(Shutdown::Write);
                    return;
                }
                Err(error) => {
                    back_log.note(format!("link: {error} from the endpoint"));
                    return;
                }
            }
        }
    });
    let (mut from, mut to) = (near, far);
    let mut chunk = [0; LINK_BYTES];
    loop {
        let Ok(count) = from.read(&mut chunk) else {
            return;
        };
        if count == 0 {
            let _ = to.shutdown(Shutdown::Write);
            return;
        }
        thread::sleep(LINK_INTERVAL);
        if let Err(error) = to.write_all(&chunk[..count]) {
            let bytes = passed.load(Ordering::Relaxed);
            log.note(format!(
                "link: {error} after {bytes} bytes of the request, passed on as a reset"
            ));
            fleet::reset(from);
            return;
        }
        passed.fetch_add(count, Ordering::Relaxed);
    }
}

pub fn run(record: &Arc<fleet::Record>, trouble: bool) -> Verdict {
    match play(record, trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::NotRun(error.to_string()),
    }
}

struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn play(record: &Arc<fleet::Record>, trouble: bool) -> std::io::Result<Verdict> {
    let fleet = fleet::Fleet::start(record.clone(), 3, 1)?;
    let endpoint = fleet.at(fleet::FIRST_ENDPOINT + 1, fleet.ports.app);
    let mut process = Process(
        fleet::end_with_parent(&mut Command::new(std::env::current_exe()?))
            .args(["endpoint", &endpoint.to_string()])
            .stdin(Stdio::null())
            .spawn()?,
    );
    let near = fleet.at(fleet::FIRST_ENDPOINT, fleet.ports.app);
    let listener = fleet::listen_with_buffer(near, LINK_BUFFER)?;
    let passed: Arc<AtomicUsize> = Arc::default();
    let (counted, log) = (passed.clone(), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (counted, log) = (counted.clone(), log.clone());
            thread::spawn(move || relay(stream, endpoint, counted, log));
        }
    });
    let _beats = fleet::Endpoint::announce(&fleet, fleet::FIRST_ENDPOINT, "register", 6);
    if fleet.put(&document()) != Some(200) || !fleet.await_ready() {
        return Ok(Verdict::NotRun("the fleet didn't start".to_owned()));
    }
    thread::sleep(Duration::from_secs(4));
    passed.store(0, Ordering::Relaxed);
    let id = fleet.new_id();
    let asking = {
        let (fleet, id) = (fleet.clone(), id.clone());
        thread::spawn(move || ask(&fleet, &id))
    };
    if trouble {
        for _ in 0..3_000 {
            if passed.load(Ordering::Relaxed) >= KILL_AFTER {
                break;
            }
            thread::sleep(Duration::from_millis(1));
        }
        record.note(format!(
            "SIGKILL to the endpoint, {} bytes of the request have passed the link",
            passed.load(Ordering::Relaxed)
        ));
        process.0.kill()?;
        process.0.wait()?;
    }
    let answer = asking.join().map_err(|_| std::io::ErrorKind::Other)?;
    let verdict = match answer {
        Ok(answer) => {
            let sealed = answer.headers.contains_key("x-waxwingmill-runner-seal");
            record.note(format!(
                "client {id}: {}, sealed: {sealed}, complete with {} bytes; the endpoint's whole body has {ANSWER_BYTES}",
                answer.status,
                answer.body.len()
            ));
            match (answer.status, answer.body.len() == ANSWER_BYTES) {
                (200, false) => Verdict::Broken,
                (200, true) if !trouble => Verdict::Held,
                (_, _) if trouble => Verdict::Held,
                _ => Verdict::NotRun("no answer without the disruption".to_owned()),
            }
        }
        Err(error) => {
            record.note(format!("client {id}: no complete answer: {error}"));
            match trouble {
                true => Verdict::Held,
                false => Verdict::NotRun("no answer without the disruption".to_owned()),
            }
        }
    };
    Ok(verdict)
}

fn ask(fleet: &fleet::Fleet, id: &str) -> std::io::Result<fleet::Answer> {
    let mut stream = TcpStream::connect(fleet.front(fleet::FIRST_ENTRY))?;
    stream.set_read_timeout(Some(Duration::from_secs(9)))?;
    let request = fleet.request("/orders/1", id, 8_000, "");
    let request = request.replace(
        "Content-Length: 0",
        &format!("Content-Length: {REQUEST_BYTES}"),
    );
    fleet.record.note(format!(
        "client {id}: POST /orders/1 with {REQUEST_BYTES} bytes"
    ));
    stream.write_all(request.as_bytes())?;
    stream.write_all(&vec![b'z'; REQUEST_BYTES])?;
    fleet::read_answer(&mut stream)
}
