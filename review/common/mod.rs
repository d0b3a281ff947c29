//! Helpers of the review's scripts, with the standard library only: they start the project's
//! programs as processes on loopback addresses, and provide stand-ins for runners, clients and the
//! operator that speak plain HTTP/1.1.
#![allow(dead_code)]

use std::{
    collections::HashMap,
    fs::{self, File},
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::unix::process::CommandExt as _,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Option of `prctl` for the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

pub const SIGTERM: i32 = 15;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

pub const HOST: &str = "shop.example";
pub const KEY: &str = "key-one";

/// Whether the script injects its disruption; `TROUBLE=0` leaves it out.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_millis(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// Ends the script because the case couldn't run.
pub fn give_up(record: &Record, why: &str) -> ! {
    record.line(&format!("the case couldn't run: {why}"));
    eprintln!("the case couldn't run: {why}");
    std::panic::panic_any(CannotRun)
}

pub struct CannotRun;

/// Runs a case and exits with its result: 1 if the rule was broken, 0 if it held, 2 if the case
/// couldn't run. All processes have ended by then.
pub fn main_with(case: impl FnOnce(&Record) -> bool + std::panic::UnwindSafe) {
    let folder = std::env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    let record = Record::create(&PathBuf::from(folder).join("record.txt"));
    let kept = record.clone();
    let result = std::panic::catch_unwind(move || case(&record));
    let code = match result {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(_) => 2,
    };
    kept.line(&format!("exit code {code}"));
    std::process::exit(code);
}

/// The file with what was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &std::path::Path) -> Self {
        Self {
            file: Arc::new(Mutex::new(File::create(path).expect("record.txt"))),
            start: Instant::now(),
        }
    }

    pub fn millis(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.start).as_millis()
    }

    pub fn line(&self, text: &str) {
        let millis = self.start.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{millis:>7} ms  {text}");
    }
}

/// A process of the program.
pub struct Process {
    pub name: String,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("a log file");
        let errors = log.try_clone().expect("a log file");
        let mut command = Command::new("target/release/waxwingmill");
        // The processes must not outlive a script that is ended from outside.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        let child = command
            .arg(self.role)
            .env("WAXWINGMILL_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = Some(child.expect("target/release/waxwingmill starts"));
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            let pid = i32::try_from(child.id()).unwrap();
            unsafe { kill(pid, signal) };
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Waits until the process has ended by itself; returns whether it did within `limit`.
    pub fn wait(&mut self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            match &mut self.child {
                None => return true,
                Some(child) => {
                    if child.try_wait().unwrap().is_some() {
                        self.child = None;
                        return true;
                    }
                }
            }
            sleep_millis(5);
        }
        false
    }

    /// Returns the exit status if the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            None => true,
            Some(child) => child.try_wait().unwrap().is_some(),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The processes of a small deployment: control hosts 1 to 3, entries 11 and up.
pub struct Fleet {
    pub controls: Vec<Process>,
    pub entries: Vec<Process>,
    pub control_http: Vec<SocketAddr>,
    pub fronts: Vec<SocketAddr>,
    pub readies: Vec<SocketAddr>,
    folder: PathBuf,
    network: u8,
    ports: [u16; 5],
}

impl Fleet {
    /// Starts three control hosts and `entries` entries, with the settings that the templates of
    /// the deploy file give on a small deployment.
    pub fn start(record: &Record, entries: usize) -> Self {
        let pid = std::process::id();
        let network = u8::try_from(20 + pid % 200).unwrap();
        let folder = std::env::temp_dir().join(format!("waxwing-review-{pid}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        // The ports stay bound until all are known, so that they differ.
        let first = format!("127.{network}.0.1:0");
        let held: Vec<_> = (0..5).map(|_| TcpListener::bind(&first).unwrap()).collect();
        let ports = std::array::from_fn(|n| held[n].local_addr().unwrap().port());
        drop(held);
        let mut fleet = Self {
            controls: Vec::new(),
            entries: Vec::new(),
            control_http: Vec::new(),
            fronts: Vec::new(),
            readies: Vec::new(),
            folder,
            network,
            ports,
        };
        for number in 1..=3 {
            fleet.control_http.push(fleet.address(number, 0));
        }
        for number in 1..=3 {
            let name = format!("control-{number}");
            fleet.write_control(number, true);
            let process = fleet.process(&name, "control");
            fleet.controls.push(process);
        }
        for number in 11..11 + u8::try_from(entries).unwrap() {
            let name = format!("entry-{number}");
            fleet.write_entry(number);
            fleet.fronts.push(fleet.address(number, 2));
            fleet.readies.push(fleet.address(number, 3));
            let process = fleet.process(&name, "entry");
            fleet.entries.push(process);
        }
        for process in fleet.controls.iter_mut().chain(&mut fleet.entries) {
            process.start();
        }
        sleep_millis(1_500);
        // Only the first start founds the group.
        for number in 1..=3 {
            fleet.write_control(number, false);
        }
        record.line("3 control hosts and the entries started");
        fleet
    }

    fn process(&self, name: &str, role: &'static str) -> Process {
        Process {
            name: name.to_owned(),
            role,
            settings: self.folder.join(format!("{name}.json")),
            log: self.folder.join(format!("{name}.log")),
            child: None,
        }
    }

    /// Ports: 0 control, 1 link, 2 front, 3 ready, 4 metrics.
    pub fn address(&self, number: u8, port: usize) -> SocketAddr {
        format!("127.{}.0.{number}:{}", self.network, self.ports[port])
            .parse()
            .unwrap()
    }

    fn seeds(&self) -> String {
        let seeds: Vec<_> = self.control_http.iter().map(|seed| format!("\"{seed}\"")).collect();
        format!("[{}]", seeds.join(","))
    }

    fn write_control(&self, number: u8, found: bool) {
        let text = format!(
            "{{\"name\": \"control-{number}\", \"data_centre\": \"a\", \"http_address\": \"{}\", \
             \"link_address\": \"{}\", \"metrics_address\": \"{}\", \"seeds\": {}, \
             \"found\": {found}, \"tolerated_losses\": 1, \"data_folder\": \"{}\"}}",
            self.address(number, 0),
            self.address(number, 1),
            self.address(number, 4),
            self.seeds(),
            self.folder.join(format!("disk-{number}")).display(),
        );
        fs::write(self.folder.join(format!("control-{number}.json")), text).unwrap();
    }

    fn write_entry(&self, number: u8) {
        let text = format!(
            "{{\"name\": \"entry-{number}\", \"data_centre\": \"a\", \"front_address\": \"{}\", \
             \"ready_address\": \"{}\", \"link_address\": \"{}\", \"metrics_address\": \"{}\", \
             \"seeds\": {}, \"retry_ratio\": 0.2, \"retry_extra\": 52, \
             \"retry_window_seconds\": 10, \"quota_slack\": 140000, \"grace_seconds\": 8}}",
            self.address(number, 2),
            self.address(number, 3),
            self.address(number, 1),
            self.address(number, 4),
            self.seeds(),
        );
        fs::write(self.folder.join(format!("entry-{number}.json")), text).unwrap();
    }

    /// Sends a configuration until it is acknowledged, as the operator does.
    pub fn put_config(&self, record: &Record, version: u64, body: &str) {
        let end = Instant::now() + Duration::from_secs(20);
        let mut number = 0;
        let mut target = self.control_http[0];
        while Instant::now() < end {
            let limit = Duration::from_secs(1);
            let call = call(target, "PUT", "/config", &[], body.as_bytes(), limit);
            match call {
                Ok(answer) if answer.status == 200 => {
                    record.line(&format!("configuration {version} acknowledged by {target}"));
                    return;
                }
                Ok(answer) if answer.status == 307 => {
                    let location = answer.header("location").unwrap_or_default().to_owned();
                    let address = location.trim_start_matches("http://");
                    let address = address.split('/').next().unwrap_or_default();
                    if let Ok(address) = address.parse() {
                        target = address;
                        continue;
                    }
                }
                _ => {}
            }
            number += 1;
            target = self.control_http[number % 3];
            sleep_millis(100);
        }
        give_up(record, "the configuration was not acknowledged");
    }

    /// Waits until all entries report themselves ready.
    pub fn await_ready(&self, record: &Record) {
        let end = Instant::now() + Duration::from_secs(20);
        for ready in &self.readies {
            loop {
                let limit = Duration::from_secs(1);
                let answer = call(*ready, "GET", "/ready", &[], b"", limit);
                if answer.is_ok_and(|answer| answer.status == 200) {
                    break;
                }
                if Instant::now() > end {
                    give_up(record, "an entry did not become ready");
                }
                sleep_millis(20);
            }
        }
        record.line("all entries are ready");
    }

    pub fn logs(&self) -> PathBuf {
        self.folder.clone()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.controls.iter_mut().chain(&mut self.entries) {
            process.kill();
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// A small configuration: one host with a service of plain calls (`/read/` idempotent, `/book/`
/// not) and a service of streams (`/draft/` resumable, `/ask/` not).
pub fn config(version: u64, key: &str) -> String {
    let route = |name: &str, kind: &str, service: &str, extra: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"hostname\":\"{HOST}\",\"path_prefix\":\"/{name}/\",\
             \"route_type\":\"{kind}\",\"timeout_ms\":15000,\"target_latency_ms\":800,\
             \"priority\":1,\"backend\":\"{service}\",\"retry_attempts\":2,\"public\":false{extra}}}"
        )
    };
    let stream = ",\"sticky_sessions\":true,\"target_gap_ms\":400,\"stream_resume\":";
    let routes = [
        route("read", "idempotent", "register", ""),
        route("book", "non_idempotent", "register", ""),
        route("draft", "streaming", "model", &format!("{stream}true")),
        route("ask", "streaming", "model", &format!("{stream}false")),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"register\",\
         \"health_path\":\"/health\",\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}},\
         {{\"name\":\"model\",\"health_path\":\"/health\",\"max_connections\":360,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":10,\"kv_capacity\":611734,\
         \"kv_token_bytes\":35136,\"link_mbps\":550000.0,\"stride\":6,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-one\",\"api_keys\":[\"{key}\"],\"priority\":1,\
         \"unit\":\"tokens\",\"uncached_tokens\":200,\"rate_per_s\":3000000,\
         \"burst_size\":3000000}}]}}",
        routes.join(",")
    )
}

/// An answer with what was received of its body.
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body looked complete.
    pub complete: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }
}

fn find_end(bytes: &[u8]) -> Option<usize> {
    bytes.windows(4).position(|window| window == b"\r\n\r\n").map(|at| at + 4)
}

fn parse_head(bytes: &[u8]) -> (String, Vec<(String, String)>) {
    let text = String::from_utf8_lossy(bytes);
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers = headers.map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
    (first, headers.collect())
}

/// Sends one request over a new connection and reads the answer to its end.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let end = Instant::now() + limit;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers.iter().any(|(name, _)| *name == "Host") {
        head += &format!("Host: {address}\r\n");
    }
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    read_answer(&mut stream, end)
}

/// Reads an answer until its end, or until `end`.
pub fn read_answer(stream: &mut TcpStream, end: Instant) -> io::Result<Answer> {
    let mut received = Vec::new();
    let mut buffer = [0; 16 * 1024];
    let mut read = |received: &mut Vec<u8>| -> io::Result<usize> {
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        let count = stream.read(&mut buffer)?;
        received.extend_from_slice(&buffer[..count]);
        Ok(count)
    };
    let head_end = loop {
        if let Some(head_end) = find_end(&received) {
            break head_end;
        }
        if read(&mut received)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    let (first, headers) = parse_head(&received[..head_end]);
    let status = first.split(' ').nth(1).and_then(|status| status.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let mut answer = Answer { status, headers, body: Vec::new(), complete: false };
    let mut rest = received[head_end..].to_vec();
    let chunked = answer.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
    let length: Option<usize> = answer.header("content-length").and_then(|value| value.parse().ok());
    loop {
        if chunked {
            let (body, complete) = decode_chunks(&rest);
            (answer.body, answer.complete) = (body, complete);
        } else if let Some(length) = length {
            answer.complete = rest.len() >= length;
            answer.body = rest[..rest.len().min(length)].to_vec();
        } else {
            answer.body = rest.clone();
        }
        if answer.complete {
            return Ok(answer);
        }
        match read(&mut rest) {
            Ok(0) => {
                answer.complete = !chunked && length.is_none();
                return Ok(answer);
            }
            Ok(_) => {}
            Err(_) => return Ok(answer),
        }
    }
}

fn decode_chunks(bytes: &[u8]) -> (Vec<u8>, bool) {
    let (mut body, mut at) = (Vec::new(), 0);
    loop {
        let Some(line) = bytes[at..].windows(2).position(|window| window == b"\r\n") else {
            return (body, false);
        };
        let size = String::from_utf8_lossy(&bytes[at..at + line]).into_owned();
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return (body, false);
        };
        let start = at + line + 2;
        if size == 0 {
            return (body, bytes.len() >= start + 2);
        }
        if bytes.len() < start + size + 2 {
            let have = bytes.len().min(start + size);
            body.extend_from_slice(&bytes[start.min(have)..have]);
            return (body, false);
        }
        body.extend_from_slice(&bytes[start..start + size]);
        at = start + size + 2;
    }
}

/// A request that reached a runner and was run.
#[derive(Clone)]
pub struct Run {
    pub at: Instant,
    pub runner: String,
    pub attempt: String,
    pub headers: HashMap<String, String>,
}

pub type Runs = Arc<Mutex<Vec<Run>>>;

/// A runner of plain calls that answers each request after its work time.
pub struct Runner {
    pub id: String,
    pub service: &'static str,
    pub address: SocketAddr,
    pub born: u64,
    pub work: Arc<AtomicU64>,
    pub sequence: AtomicU64,
    ended: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Runner {
    pub fn start(id: &str, service: &'static str, work_millis: u64, runs: Runs) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service,
            address: listener.local_addr().unwrap(),
            born: unix_millis(),
            work: Arc::new(AtomicU64::new(work_millis)),
            sequence: AtomicU64::new(0),
            ended: Arc::default(),
            connections: Arc::default(),
        });
        let shared = runner.clone();
        listener.set_nonblocking(true).unwrap();
        thread::spawn(move || {
            while !shared.ended.load(Ordering::SeqCst) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        let _ = stream.set_nodelay(true);
                        if let Ok(copy) = stream.try_clone() {
                            shared.connections.lock().unwrap().push(copy);
                        }
                        let (shared, runs) = (shared.clone(), runs.clone());
                        thread::spawn(move || shared.serve(stream, &runs));
                    }
                    Err(_) => sleep_millis(2),
                }
            }
        });
        runner
    }

    fn serve(&self, mut stream: TcpStream, runs: &Runs) {
        let mut pending = Vec::new();
        while let Some((first, headers, _body)) = read_request(&mut stream, &mut pending) {
            let headers: HashMap<_, _> = headers.into_iter().collect();
            let attempt = headers.get("x-waxwingmill-attempt-id").cloned().unwrap_or_default();
            let expected = headers.get("x-waxwingmill-expect-runner");
            let mut answer = String::from("HTTP/1.1 ");
            if expected.is_some_and(|expected| *expected != self.id) {
                answer += &format!(
                    "421 Misdirected\r\nX-Waxwingmill-Attempt-Id: {attempt}\r\n\
                     X-Waxwingmill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
            } else if first.starts_with("GET /health") {
                answer += &format!(
                    "200 OK\r\nX-Waxwingmill-Runner-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
            } else {
                runs.lock().unwrap().push(Run {
                    at: Instant::now(),
                    runner: self.id.clone(),
                    attempt: attempt.clone(),
                    headers,
                });
                sleep_millis(self.work.load(Ordering::SeqCst));
                let body = format!("done by {} for {attempt}", self.id);
                answer += &format!(
                    "200 OK\r\nX-Waxwingmill-Attempt-Id: {attempt}\r\n\
                     X-Waxwingmill-Runner-Seal: {}\r\nContent-Length: {}\r\n\r\n{body}",
                    self.id,
                    body.len()
                );
            }
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Ends the runner: its socket and all its connections close.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Returns the body of the next heartbeat.
    pub fn next_beat(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"backend\":\"{}\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\
             \"slots\":6,\"state\":\"{state}\",\"cold_remaining_ms\":0,\"seq\":{sequence},\
             \"born\":{}}}",
            self.service, self.address, self.born
        )
    }

    /// Sends a heartbeat body to a control host; returns whether it was acknowledged.
    pub fn send_beat(&self, control: SocketAddr, body: &str) -> bool {
        let path = format!("/runners/{}", self.id);
        let limit = Duration::from_secs(1);
        let answer = call(control, "PUT", &path, &[], body.as_bytes(), limit);
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Sends heartbeats every 1.2 s, to the same control host until one fails there, then to the
    /// next one, until `stop`.
    pub fn beat_from(self: &Arc<Self>, controls: Vec<SocketAddr>, first: usize, stop: Arc<AtomicBool>) {
        let runner = self.clone();
        thread::spawn(move || {
            let mut position = first;
            while !stop.load(Ordering::SeqCst) {
                let body = runner.next_beat("ready");
                for _ in 0..controls.len() {
                    if runner.send_beat(controls[position % controls.len()], &body) {
                        break;
                    }
                    position += 1;
                }
                for _ in 0..120 {
                    if stop.load(Ordering::SeqCst) {
                        return;
                    }
                    sleep_millis(10);
                }
            }
        });
    }
}

fn read_request(
    stream: &mut TcpStream,
    pending: &mut Vec<u8>,
) -> Option<(String, Vec<(String, String)>, Vec<u8>)> {
    let mut buffer = [0; 16 * 1024];
    let head_end = loop {
        if let Some(end) = find_end(pending) {
            break end;
        }
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        pending.extend_from_slice(&buffer[..count]);
    };
    let (first, headers) = parse_head(&pending[..head_end]);
    let length = headers.iter().find(|(name, _)| name == "content-length");
    let length: usize = length.and_then(|(_, value)| value.parse().ok()).unwrap_or(0);
    while pending.len() < head_end + length {
        let count = stream.read(&mut buffer).ok().filter(|count| *count > 0)?;
        pending.extend_from_slice(&buffer[..count]);
    }
    let body = pending[head_end..head_end + length].to_vec();
    pending.drain(..head_end + length);
    Some((first, headers, body))
}

fn unix_millis() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    u64::try_from(now.unwrap().as_millis()).unwrap()
}

/// What a client saw of one attempt.
pub struct Attempt {
    pub id: String,
    pub sent: Instant,
    pub entry: SocketAddr,
    /// `None` if the connection failed or closed without an answer.
    pub status: Option<u16>,
    pub complete: bool,
}

/// Writes to the record what became of each attempt that was sent after `from`, in order of time.
pub fn record_attempts(record: &Record, from: Instant, attempts: &[Attempt], runs: &[Run]) {
    let mut attempts: Vec<_> = attempts.iter().filter(|seen| seen.sent >= from).collect();
    attempts.sort_by_key(|seen| seen.sent);
    for seen in attempts {
        let ran: Vec<_> = runs
            .iter()
            .filter(|run| run.attempt == seen.id)
            .map(|run| format!("{} at {} ms", run.runner, record.millis(run.at)))
            .collect();
        record.line(&format!(
            "sent at {} ms: {} to {}, run by {ran:?}, answered {:?}{}",
            record.millis(seen.sent),
            seen.id,
            seen.entry,
            seen.status,
            if seen.complete { "" } else { ", not whole" }
        ));
    }
}

/// Sends one plain request and waits for its answer.
pub fn attempt(entry: SocketAddr, id: &str, path: &str, key: &str, deadline_millis: u64) -> Attempt {
    let sent = Instant::now();
    let deadline = deadline_millis.to_string();
    let authorization = format!("Token {key}");
    let headers = [
        ("Host", HOST),
        ("X-Waxwingmill-Attempt-Id", id),
        ("X-Waxwingmill-Deadline-Ms", deadline.as_str()),
        ("Authorization", authorization.as_str()),
    ];
    let limit = Duration::from_millis(deadline_millis + 500);
    let answer = call(entry, "POST", path, &headers, b"the body", limit);
    let (status, complete) = match answer {
        Ok(answer) => (Some(answer.status), answer.complete),
        Err(_) => (None, false),
    };
    Attempt { id: id.to_owned(), sent, entry, status, complete }
}
