//! A minimal HTTP/1.1 client.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// How the body of an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyEnd {
    /// As its framing says.
    Complete,
    /// The connection ended before that, or nothing came in time.
    Broken,
}

/// An answer, as far as it came.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    pub end: BodyEnd,
}

/// Sends a request over a new connection and returns the connection.
pub fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes())?;
    Ok(stream)
}

/// Removes the chunk framing from `raw`; tells whether the last chunk has come.
fn unchunk(raw: &[u8]) -> (Vec<u8>, bool) {
    let (mut rest, mut body) = (raw, Vec::new());
    while let Some(end) = rest.windows(2).position(|pair| pair == b"\r\n") {
        let size = String::from_utf8_lossy(&rest[..end]).trim().to_owned();
        let Ok(size) = usize::from_str_radix(&size, 16) else {
            break;
        };
        let start = end + 2;
        if size == 0 {
            return (body, rest.len() >= start + 2);
        }
        if rest.len() < start + size + 2 {
            body.extend_from_slice(&rest[start.min(rest.len())..(start + size).min(rest.len())]);
            break;
        }
        body.extend_from_slice(&rest[start..start + size]);
        rest = &rest[start + size + 2..];
    }
    (body, false)
}

/// Reads an answer until its end, until `enough` says so, or until `limit`.
pub fn receive(
    stream: &mut TcpStream,
    limit: Duration,
    enough: impl Fn(&Answer) -> bool,
) -> Option<Answer> {
    let deadline = Instant::now() + limit;
    let mut bytes = Vec::new();
    let mut buffer = [0; 16 * 1024];
    let mut closed = false;
    loop {
        let head_end = bytes.windows(4).position(|four| four == b"\r\n\r\n");
        if let Some(head_end) = head_end {
            let head = String::from_utf8_lossy(&bytes[..head_end]).to_lowercase();
            let raw = &bytes[head_end + 4..];
            let length = head
                .lines()
                .find_map(|line| line.strip_prefix("content-length:"))
                .and_then(|value| value.trim().parse::<usize>().ok());
            let (body, complete) = match length {
                _ if head.contains("transfer-encoding: chunked") => unchunk(raw),
                Some(length) => (raw.to_vec(), raw.len() >= length),
                None => (raw.to_vec(), closed),
            };
            let status = head
                .split(' ')
                .nth(1)
                .and_then(|status| status.parse().ok());
            let answer = Answer {
                status: status.unwrap_or(0),
                body: String::from_utf8_lossy(&body).into_owned(),
                end: if complete {
                    BodyEnd::Complete
                } else {
                    BodyEnd::Broken
                },
            };
            if complete || closed || Instant::now() >= deadline || enough(&answer) {
                return Some(answer);
            }
        } else if closed || Instant::now() >= deadline {
            return None;
        }
        let left = deadline.saturating_duration_since(Instant::now());
        let _ = stream.set_read_timeout(Some(left.max(Duration::from_millis(1))));
        match stream.read(&mut buffer) {
            Ok(0) => closed = true,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => closed = true,
        }
    }
}

/// Sends a request and reads its whole answer; `None` if there is none in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    limit: Duration,
) -> Option<Answer> {
    let mut stream = send(address, method, path, headers, body).ok()?;
    receive(&mut stream, limit, |_| false)
}
