//! A runner: it tells control hosts of itself, serves calls and streams, and writes a line to its
//! standard output for everything that happens.
//!
//! A stream has as many events as its option says. The head is sent when the run begins, and the
//! first event after the time that the prompt takes. With `unframed`, answers have neither a length
//! nor chunks and end with their connection.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, SystemTime},
};

use crate::http;

/// Time between two events, and from the head of a stream to its first event.
const EVENT_INTERVAL: Duration = Duration::from_millis(100);
const PROMPT_TIME: Duration = Duration::from_millis(400);

/// The time between two notices.
const NOTICE_INTERVAL: Duration = Duration::from_millis(1_200);

#[derive(Debug, Clone)]
struct Options {
    id: String,
    service: String,
    address: SocketAddr,
    controls: Vec<SocketAddr>,
    events: u64,
    unframed: bool,
    /// The time of day on the runner's host, relative to the true one, in milliseconds.
    clock_offset: i64,
}

/// Returns the true time of day in Unix milliseconds.
pub fn unix_millis() -> i64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    i64::try_from(now.unwrap_or_default().as_millis()).unwrap_or(0)
}

fn say(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = writeln!(out, "{} {text}", unix_millis());
    let _ = out.flush();
}

fn options(arguments: &[String]) -> Options {
    let value = |name: &str| {
        let position = arguments.iter().position(|argument| argument == name);
        position
            .and_then(|position| arguments.get(position + 1))
            .cloned()
    };
    let required = |name: &str| value(name).expect("an option of the runner is missing");
    Options {
        id: required("--id"),
        service: required("--service"),
        address: required("--address").parse().expect("an address"),
        controls: required("--controls")
            .split(',')
            .map(|one| one.parse().expect("an address"))
            .collect(),
        events: value("--events")
            .and_then(|events| events.parse().ok())
            .unwrap_or(8),
        unframed: arguments.iter().any(|argument| argument == "--unframed"),
        clock_offset: value("--clock-offset")
            .and_then(|offset| offset.parse().ok())
            .unwrap_or(0),
    }
}

/// Runs until the process is killed. A line `draining` on standard input makes the runner tell that
/// it leaves; it goes on serving.
pub fn run(arguments: &[String]) -> ! {
    let options = options(arguments);
    let listener = loop {
        // The address may still be in use by the process that had it before.
        match TcpListener::bind(options.address) {
            Ok(listener) => break listener,
            Err(_) => thread::sleep(Duration::from_millis(20)),
        }
    };
    let born = unix_millis() + options.clock_offset;
    say(&format!("started born={born}"));
    let state = Arc::new(Mutex::new(("ready", 0_u64)));
    let (told, shared) = (options.clone(), state.clone());
    thread::spawn(move || {
        loop {
            tell(&told, born, &shared);
            thread::sleep(NOTICE_INTERVAL);
        }
    });
    let (told, shared) = (options.clone(), state);
    thread::spawn(move || {
        let mut line = String::new();
        while std::io::stdin()
            .read_line(&mut line)
            .is_ok_and(|count| count > 0)
        {
            if line.trim() == "draining" {
                shared.lock().expect("the lock").0 = "draining";
                tell(&told, born, &shared);
            }
            line.clear();
        }
    });
    for stream in listener.incoming().flatten() {
        let options = options.clone();
        thread::spawn(move || serve(stream, &options));
    }
    std::process::exit(0);
}

/// Sends a notice to one control host after the other until one acknowledges it.
fn tell(options: &Options, born: i64, state: &Mutex<(&'static str, u64)>) {
    let (phase, sequence) = {
        let mut state = state.lock().expect("the lock");
        state.1 += 1;
        *state
    };
    let body = format!(
        "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":10,\"state\":\"{phase}\",\"cold_remaining_ms\":0,\"seq\":{sequence},\"born\":{born}}}",
        options.service, options.address
    );
    let headers = [
        ("Host", "control".to_owned()),
        ("Content-Type", "application/json".to_owned()),
        ("Connection", "close".to_owned()),
    ];
    let path = format!("/runners/{}", options.id);
    for control in &options.controls {
        let answer = http::call(
            *control,
            "PUT",
            &path,
            &headers,
            &body,
            Duration::from_secs(1),
        );
        if answer.is_some_and(|answer| answer.status == 200) {
            say(&format!(
                "acknowledged state={phase} seq={sequence} born={born} by={control}"
            ));
            return;
        }
    }
    say(&format!(
        "unacknowledged state={phase} seq={sequence} born={born}"
    ));
}

fn serve(mut stream: TcpStream, options: &Options) {
    let _ = stream.set_nodelay(true);
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    loop {
        let Some(head_end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") else {
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => return,
                Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            }
            continue;
        };
        let head = String::from_utf8_lossy(&bytes[..head_end]).into_owned();
        let field = |name: &str| {
            head.lines().find_map(|line| {
                let (found, value) = line.split_once(':')?;
                found
                    .eq_ignore_ascii_case(name)
                    .then(|| value.trim().to_owned())
            })
        };
        let length = field("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        while bytes.len() < head_end + 4 + length {
            match stream.read(&mut buffer) {
                Ok(0) | Err(_) => return,
                Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            }
        }
        bytes.drain(..head_end + 4 + length);
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        if path == "/health" {
            let answer = format!(
                "HTTP/1.1 200 OK\r\nX-Waxwingmill-Runner-Id: {}\r\nContent-Length: 0\r\n\r\n",
                options.id
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let attempt = field("x-waxwingmill-attempt-id").unwrap_or_default();
        if field("x-waxwingmill-expect-runner").is_some_and(|expected| expected != options.id) {
            say(&format!("misdirected attempt={attempt}"));
            let answer = format!(
                "HTTP/1.1 421 Misdirected Request\r\nX-Waxwingmill-Attempt-Id: {attempt}\r\nContent-Length: 0\r\n\r\n"
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let tenant = field("x-waxwingmill-tenant").unwrap_or_else(|| "none".to_owned());
        say(&format!(
            "runs attempt={attempt} path={path} tenant={tenant}"
        ));
        let seal = format!(
            "X-Waxwingmill-Attempt-Id: {attempt}\r\nX-Waxwingmill-Runner-Seal: seal-of-{}\r\n",
            options.id
        );
        let is_stream = field("x-waxwingmill-token-count").is_some();
        let last = field("last-event-id")
            .and_then(|last| last.parse().ok())
            .unwrap_or(0);
        let kept = match is_stream {
            true => answer_stream(&mut stream, options, &seal, &attempt, last),
            false => {
                thread::sleep(Duration::from_millis(20));
                let body = format!("done by {}", options.id);
                let answer = format!(
                    "HTTP/1.1 200 OK\r\n{seal}Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                stream.write_all(answer.as_bytes()).is_ok()
            }
        };
        if !kept {
            return;
        }
    }
}

/// Sends a stream; returns whether the connection can be used again.
fn answer_stream(
    stream: &mut TcpStream,
    options: &Options,
    seal: &str,
    attempt: &str,
    last: u64,
) -> bool {
    let framing = if options.unframed {
        ""
    } else {
        "Transfer-Encoding: chunked\r\n"
    };
    let head = format!("HTTP/1.1 200 OK\r\n{seal}Content-Type: text/event-stream\r\n{framing}\r\n");
    if stream.write_all(head.as_bytes()).is_err() {
        return false;
    }
    say(&format!("head attempt={attempt} after={last}"));
    thread::sleep(PROMPT_TIME);
    for id in last + 1..=options.events {
        let event = format!("id: {id}\ndata: piece {id}\n\n");
        let bytes = match options.unframed {
            true => event,
            false => format!("{:x}\r\n{event}\r\n", event.len()),
        };
        if stream.write_all(bytes.as_bytes()).is_err() {
            say(&format!("dropped attempt={attempt} at={id}"));
            return false;
        }
        thread::sleep(EVENT_INTERVAL);
    }
    say(&format!("finished attempt={attempt}"));
    if options.unframed {
        return false;
    }
    stream.write_all(b"0\r\n\r\n").is_ok()
}
