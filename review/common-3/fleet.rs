//! A small deployment on loopback addresses: the project's processes, stand-in endpoints and raw HTTP
//! clients. Only the standard library is used.

use std::{
    collections::HashMap,
    fs, io,
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::{
        fd::{AsRawFd, FromRawFd},
        unix::process::CommandExt,
    },
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, ...) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const SocketAddress, length: u32) -> i32;
}

pub const SIGTERM: i32 = 15;
const SIGKILL: usize = 9;


/// The ports, which are the same on all hosts.
#[derive(Clone, Copy)]
pub struct Ports {
    pub control: u16,
    pub link: u16,
    pub front: u16,
    pub ready: u16,
    pub app: u16,
}

/// The record of what was sent, answered and run.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
    path: PathBuf,
}

impl Record {
    pub fn new(path: &str) -> Arc<Self> {
        Arc::new(Self {
            start: Instant::now(),
            lines: Mutex::default(),
            path: PathBuf::from(path),
        })
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let at = self.start.elapsed().as_secs_f64();
        self.lines
            .lock()
            .unwrap()
            .push(format!("{at:8.3} s  {}", line.as_ref()));
    }

    pub fn save(&self) {
        let text = self.lines.lock().unwrap().join("\n") + "\n";
        let _ = fs::write(&self.path, text);
    }
}

fn millis_now() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

/// An answer as a client reads it.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

/// Splits the head of a message into its first line and its headers.
pub fn parse_head(head: &[u8]) -> (String, HashMap<String, String>) {
    let text = String::from_utf8_lossy(head).into_owned();
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    (first, headers)
}

/// Reads up to the blank line after a head; returns the head and what was read beyond it.
pub fn read_head(stream: &mut TcpStream, mut buffer: Vec<u8>) -> io::Result<(Vec<u8>, Vec<u8>)> {
    loop {
        if let Some(end) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let rest = buffer.split_off(end + 4);
            buffer.truncate(end);
            return Ok((buffer, rest));
        }
        let mut chunk = [0; 4096];
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        buffer.extend_from_slice(&chunk[..count]);
    }
}

/// Reads one answer with a `Content-Length`.
pub fn read_answer(stream: &mut TcpStream) -> io::Result<Answer> {
    let (head, mut body) = read_head(stream, Vec::new())?;
    let (first, headers) = parse_head(&head);
    let status = first.split(' ').nth(1).and_then(|code| code.parse().ok());
    let length: usize = headers
        .get("content-length")
        .and_then(|length| length.parse().ok())
        .unwrap_or(0);
    let mut chunk = [0; 65536];
    while body.len() < length {
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        body.extend_from_slice(&chunk[..count]);
    }
    Ok(Answer {
        status: status.unwrap_or(0),
        headers,
        body,
    })
}

/// Makes one call on a connection of its own; follows a redirection twice.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<Answer> {
    let (mut address, mut path) = (address, path.to_owned());
    for _ in 0..3 {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        let length = body.len();
        let request = format!(
            "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\nConnection: close\r\n\r\n{body}"
        );
        stream.write_all(request.as_bytes())?;
        let answer = read_answer(&mut stream)?;
        let target = answer.headers.get("location").cloned();
        match target.filter(|_| answer.status == 307) {
            Some(target) => {
                let rest = target.trim_start_matches("http://").to_owned();
                let (host, tail) = rest.split_once('/').unwrap_or((&rest, ""));
                address = host.parse().map_err(|_| io::ErrorKind::InvalidData)?;
                path = format!("/{tail}");
            }
            None => return Ok(answer),
        }
    }
    Err(io::ErrorKind::Other.into())
}

/// Lets a process be killed when this one ends, in whatever way.
pub fn end_with_parent(command: &mut Command) -> &mut Command {
    const PR_SET_PDEATHSIG: i32 = 1;
    // SAFETY: prctl may be called between fork and exec.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        })
    }
}

/// The processes of the project. All are killed when this is dropped.
pub struct Fleet {
    pub network: String,
    pub ports: Ports,
    folder: PathBuf,
    controls: u8,
    entries: u8,
    children: Mutex<HashMap<u8, Child>>,
    next_id: AtomicU64,
    pub record: Arc<Record>,
}

/// The number of the first entry's host; control hosts count from 1, endpoints from 31.
pub const FIRST_ENTRY: u8 = 11;
pub const FIRST_ENDPOINT: u8 = 31;

impl Fleet {
    /// Starts control hosts and entries with empty disks.
    pub fn start(record: Arc<Record>, controls: u8, entries: u8) -> io::Result<Arc<Self>> {
        let pid = std::process::id();
        let network = format!("127.{}.{}", 64 + pid / 250 % 60, 2 + pid % 250);
        let free = || -> io::Result<u16> {
            Ok(TcpListener::bind(format!("{network}.1:0"))?.local_addr()?.port())
        };
        let ports = Ports {
            control: free()?,
            link: free()?,
            front: free()?,
            ready: free()?,
            app: free()?,
        };
        let folder = std::env::temp_dir().join(format!("waxwing-review-{pid}"));
        fs::create_dir_all(&folder)?;
        let fleet = Arc::new(Self {
            network,
            ports,
            folder,
            controls,
            entries,
            children: Mutex::default(),
            next_id: AtomicU64::new(u64::from(pid) << 32),
            record,
        });
        for number in (1..=controls).chain(fleet.entry_numbers()) {
            fleet.start_process(number, true)?;
        }
        Ok(fleet)
    }

    pub fn entry_numbers(&self) -> std::ops::Range<u8> {
        FIRST_ENTRY..FIRST_ENTRY + self.entries
    }

    pub fn at(&self, number: u8, port: u16) -> SocketAddr {
        format!("{}.{number}:{port}", self.network).parse().unwrap()
    }

    /// Starts a process with the command of the deploy file, and with settings as its templates give
    /// them.
    pub fn start_process(&self, number: u8, first_start: bool) -> io::Result<()> {
        let ports = self.ports;
        let link = self.at(number, ports.link);
        let seeds: Vec<String> = (1..=self.controls)
            .take(3)
            .map(|seed| format!("\"{}\"", self.at(seed, ports.control)))
            .collect();
        let seeds = seeds.join(",");
        let disk = self.folder.join(format!("disk-{number}"));
        let (role, settings) = if number <= self.controls {
            let http = self.at(number, ports.control);
            let disk = disk.display();
            let text = format!(
                r#"{{"name":"core-{number}","data_centre":"a","http_address":"{http}","link_address":"{link}","seeds":[{seeds}],"found":{first_start},"tolerated_losses":1,"data_folder":"{disk}","memory_megabytes":256}}"#
            );
            ("control", text)
        } else {
            let front = self.at(number, ports.front);
            let ready = self.at(number, ports.ready);
            let text = format!(
                r#"{{"name":"edge-{number}","data_centre":"a","front_address":"{front}","ready_address":"{ready}","link_address":"{link}","seeds":[{seeds}],"leaving_price":0.3,"retry_ratio":0.2,"retry_extra":52,"retry_window_seconds":10,"quota_slack":140000,"grace_seconds":8.0,"memory_megabytes":260}}"#
            );
            ("entry", text)
        };
        let file = self.folder.join(format!("settings-{number}.json"));
        fs::write(&file, settings)?;
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("log-{number}")))?;
        let mut command = Command::new("target/release/waxwingmill");
        let child = end_with_parent(&mut command)
            .arg(role)
            .env("WAXWINGMILL_CONFIG", &file)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()?;
        self.children.lock().unwrap().insert(number, child);
        Ok(())
    }

    pub fn signal(&self, number: u8, signal: i32) {
        if let Some(child) = self.children.lock().unwrap().get(&number) {
            // SAFETY: the child has not been waited for, so its id is still its own.
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// Sends a configuration until it gets a final answer; returns its status.
    pub fn put(&self, document: &str) -> Option<u16> {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            for number in 1..=self.controls {
                let address = self.at(number, self.ports.control);
                match call(address, "PUT", "/config", document) {
                    Ok(answer) if answer.status < 500 => return Some(answer.status),
                    _ => {}
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        None
    }

    /// Tells whether an entry says that it is ready.
    pub fn is_ready(&self, number: u8) -> bool {
        let answer = call(self.at(number, self.ports.ready), "GET", "/ready", "");
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until all entries are ready.
    pub fn await_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if self.entry_numbers().all(|number| self.is_ready(number)) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn front(&self, entry: u8) -> SocketAddr {
        self.at(entry, self.ports.front)
    }

    pub fn new_id(&self) -> String {
        format!("{:016x}", self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// Builds a request of a client; `headers` are complete lines.
    pub fn request(&self, path: &str, id: &str, deadline: u32, headers: &str) -> String {
        format!(
            "POST {path} HTTP/1.1\r\nHost: shop.example\r\nX-Waxwingmill-Attempt-Id: {id}\r\nX-Waxwingmill-Deadline-Ms: {deadline}\r\nAuthorization: Token key-one\r\n{headers}Content-Length: 0\r\n\r\n"
        )
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in self.children.lock().unwrap().values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
        self.record.save();
    }
}

fn endpoint_id(number: u8) -> String {
    format!("i-{number:08x}")
}

/// What an endpoint was asked.
pub struct Received {
    pub path: String,
    pub headers: HashMap<String, String>,
}

impl Received {
    pub fn id(&self) -> &str {
        self.headers
            .get("x-waxwingmill-attempt-id")
            .map_or("", String::as_str)
    }
}

/// A stand-in endpoint: it registers, sends heartbeats and answers with what `answer` returns.
pub struct Endpoint {
    stop: Arc<AtomicBool>,
}

/// What an endpoint answers.
pub enum Reply {
    /// A body with a length.
    Whole(Vec<u8>),
    /// A stream of `count` events of `bytes` bytes each, one every `gap`.
    Events {
        count: usize,
        bytes: usize,
        gap: Duration,
    },
}

/// Returns the event with this number.
pub fn event(number: usize, bytes: usize) -> Vec<u8> {
    let head = format!("id: {number}\ndata: ");
    let filler = bytes.saturating_sub(head.len() + 2);
    format!("{head}{}\n\n", "y".repeat(filler)).into_bytes()
}

pub type AnswerFunction = Arc<dyn Fn(&Received) -> Reply + Send + Sync>;

impl Endpoint {
    pub fn start(
        fleet: &Arc<Fleet>,
        number: u8,
        service: &str,
        slots: u32,
        answer: AnswerFunction,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(fleet.at(number, fleet.ports.app))?;
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (answer, id) = (answer.clone(), endpoint_id(number));
                thread::spawn(move || serve(stream, &id, slots, &answer));
            }
        });
        Ok(Self::announce(fleet, number, service, slots))
    }

    /// Sends the heartbeats of an endpoint that something else serves.
    pub fn announce(fleet: &Arc<Fleet>, number: u8, service: &str, slots: u32) -> Self {
        let address = fleet.at(number, fleet.ports.app);
        let id = endpoint_id(number);
        let stop = Arc::new(AtomicBool::new(false));
        let (fleet, service, stopped) = (Arc::downgrade(fleet), service.to_owned(), stop.clone());
        thread::spawn(move || {
            let born = millis_now();
            let mut sequence = 0;
            while !stopped.load(Ordering::Relaxed) {
                let Some(fleet) = fleet.upgrade() else { return };
                sequence += 1;
                let body = format!(
                    r#"{{"backend":"{service}","address":"{address}","zone":"a","version":"v1","slots":{slots},"state":"ready","cold_remaining_ms":0,"seq":{sequence},"born":{born}}}"#
                );
                for number in 1..=fleet.controls {
                    let control = fleet.at(number, fleet.ports.control);
                    let path = format!("/runners/{id}");
                    if call(control, "PUT", &path, &body).is_ok_and(|answer| answer.status == 200) {
                        break;
                    }
                }
                drop(fleet);
                thread::sleep(Duration::from_millis(1_000));
            }
        });
        Self { stop }
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
    }
}

fn serve(mut stream: TcpStream, own_id: &str, slots: u32, answer: &AnswerFunction) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    loop {
        let Ok((head, rest)) = read_head(&mut stream, buffer) else {
            return;
        };
        let (first, headers) = parse_head(&head);
        let path = first.split(' ').nth(1).unwrap_or_default().to_owned();
        let length: usize = headers
            .get("content-length")
            .and_then(|length| length.parse().ok())
            .unwrap_or(0);
        buffer = rest;
        while buffer.len() < length {
            let mut chunk = [0; 4096];
            match stream.read(&mut chunk) {
                Ok(count) if count > 0 => buffer.extend_from_slice(&chunk[..count]),
                _ => return,
            }
        }
        buffer.drain(..length);
        let received = Received { path, headers };
        let id = received.id().to_owned();
        let expected = received.headers.get("x-waxwingmill-expect-runner");
        let misdirected = expected.is_some_and(|expected| expected != own_id);
        let head = format!("HTTP/1.1 200 OK\r\nX-Waxwingmill-Attempt-Id: {id}\r\nX-Waxwingmill-Runner-Seal: seal.{id}\r\nX-Waxwingmill-Runner-Load: 1,0,{slots}\r\n");
        let written = if misdirected {
            let text = format!("HTTP/1.1 421 Misdirected Request\r\nX-Waxwingmill-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            stream.write_all(text.as_bytes())
        } else {
            match answer(&received) {
                Reply::Whole(body) => {
                    let head = format!("{head}Content-Length: {}\r\n\r\n", body.len());
                    stream.write_all(&[head.into_bytes(), body].concat())
                }
                Reply::Events { count, bytes, gap } => {
                    write_events(&mut stream, &head, count, bytes, gap)
                }
            }
        };
        if written.is_err() {
            return;
        }
    }
}

fn write_events(
    stream: &mut TcpStream,
    head: &str,
    count: usize,
    bytes: usize,
    gap: Duration,
) -> io::Result<()> {
    let head = format!(
        "{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    for number in 0..count {
        let event = event(number, bytes);
        let chunk = [format!("{:x}\r\n", event.len()).into_bytes(), event, b"\r\n".to_vec()];
        stream.write_all(&chunk.concat())?;
        thread::sleep(gap);
    }
    stream.write_all(b"0\r\n\r\n")
}

#[repr(C)]
struct SocketAddress {
    family: u16,
    port: [u8; 2],
    host: [u8; 4],
    padding: [u8; 8],
}

const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;
const SO_LINGER: i32 = 13;

/// Resets a connection, in both directions and for all its clones.
pub fn reset(stream: TcpStream) {
    let linger: [i32; 2] = [1, 0];
    // SAFETY: the descriptor is open, and the value lives through the call.
    unsafe { setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_LINGER, linger.as_ptr(), 8) };
    drop(stream);
}

/// Listens with a receive buffer of this many bytes on each accepted connection.
pub fn listen_with_buffer(address: SocketAddr, bytes: i32) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    // SAFETY: the descriptor is open, and the value lives through the call.
    let set = unsafe { setsockopt(listener.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) };
    match set < 0 {
        true => Err(io::Error::last_os_error()),
        false => Ok(listener),
    }
}

/// Connects with a receive buffer of this many bytes, which bounds the window that the peer is given.
pub fn connect_with_buffer(address: SocketAddr, bytes: i32) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let raw = SocketAddress {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        host: address.ip().octets(),
        padding: [0; 8],
    };
    // SAFETY: the arguments live through the calls, and the descriptor is handed to the stream at once.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        let set = setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, 4);
        if set < 0 || connect(descriptor, &raw, 16) < 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
