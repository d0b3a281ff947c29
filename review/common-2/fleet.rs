//! A small fleet of the project's own processes, started with the commands of the deploy file, and
//! runners as processes of their own. All of them are killed when the fleet is dropped.

use std::{
    collections::HashMap,
    env, fs,
    io::{BufRead, BufReader, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{http, runner};

pub type Outcome<T> = Result<T, String>;

/// The program that the deploy file names, from the root of the repository.
const PROGRAM: &str = "target/release/waxwingmill";

/// The record of what was sent, answered and run.
#[derive(Debug, Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn create(folder: &str) -> Outcome<Self> {
        let path = PathBuf::from(folder).join("record.txt");
        let file = fs::File::create(path).map_err(|error| error.to_string())?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            lines: Arc::default(),
        })
    }

    /// Adds a line with the time of day in Unix milliseconds.
    pub fn note(&self, text: &str) {
        self.add(&format!("{} {text}", runner::unix_millis()));
    }

    fn add(&self, line: &str) {
        let _ = writeln!(self.file.lock().expect("the lock"), "{line}");
        self.lines.lock().expect("the lock").push(line.to_owned());
    }

    /// Returns the lines so far that contain `text`.
    pub fn find(&self, text: &str) -> Vec<String> {
        let lines = self.lines.lock().expect("the lock");
        lines
            .iter()
            .filter(|line| line.contains(text))
            .cloned()
            .collect()
    }

    /// Waits until a line contains `text`.
    pub fn await_line(&self, text: &str, limit: Duration) -> Outcome<String> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(line) = self.find(text).pop() {
                return Ok(line);
            }
            if Instant::now() >= deadline {
                return Err(format!("no line with `{text}` in time"));
            }
            thread::sleep(Duration::from_millis(2));
        }
    }
}

pub struct Fleet {
    pub record: Record,
    network: u8,
    ports: [u16; 6],
    folder: PathBuf,
    seeds: Vec<SocketAddr>,
    tolerated_losses: u32,
    processes: HashMap<String, Child>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for process in self.processes.values_mut() {
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn free_ports(address: IpAddr) -> Outcome<[u16; 6]> {
    let mut held = Vec::new();
    for _ in 0..6 {
        held.push(TcpListener::bind((address, 0)).map_err(|error| error.to_string())?);
    }
    let mut ports = [0; 6];
    for (port, listener) in ports.iter_mut().zip(&held) {
        *port = listener
            .local_addr()
            .map_err(|error| error.to_string())?
            .port();
    }
    Ok(ports)
}

impl Fleet {
    /// Starts this many control hosts, the first three of which are the seeds, and an entry.
    pub fn start(folder: &str, controls: u8, tolerated_losses: u32) -> Outcome<Self> {
        let record = Record::create(folder)?;
        let network = 30 + u8::try_from(std::process::id() % 200).unwrap_or(0);
        let ports = free_ports(IpAddr::V4(Ipv4Addr::new(127, network, 0, 1)))?;
        let folder = env::temp_dir().join(format!("waxwing-review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut fleet = Self {
            record,
            network,
            ports,
            folder,
            seeds: Vec::new(),
            tolerated_losses,
            processes: HashMap::new(),
        };
        fleet.seeds = (1..=controls.min(3))
            .map(|number| fleet.control(number))
            .collect();
        for number in 1..=controls {
            fleet.write_control(number, true)?;
            fleet.start_control(number)?;
        }
        fleet.start_entry()?;
        // Only the first start may found the group.
        fleet.await_leader(Duration::from_secs(15))?;
        for number in 1..=controls {
            fleet.write_control(number, false)?;
        }
        Ok(fleet)
    }

    fn at(&self, number: u8, port: usize) -> SocketAddr {
        SocketAddr::new(
            IpAddr::V4(Ipv4Addr::new(127, self.network, 0, number)),
            self.ports[port],
        )
    }

    /// Returns the address for operators and runners of a control host.
    pub fn control(&self, number: u8) -> SocketAddr {
        self.at(number, 0)
    }

    pub fn entry(&self) -> SocketAddr {
        self.at(100, 3)
    }

    pub fn set_seeds(&mut self, numbers: &[u8]) {
        self.seeds = numbers.iter().map(|number| self.control(*number)).collect();
    }

    fn seed_list(&self) -> String {
        let seeds: Vec<_> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        seeds.join(",")
    }

    fn data_folder(&self, number: u8) -> PathBuf {
        self.folder.join(format!("disk-{number}"))
    }

    /// Writes the settings of a control host as the template of the deploy file has them.
    pub fn write_control(&self, number: u8, found: bool) -> Outcome<()> {
        let text = format!(
            "{{\"name\":\"control-{number}\",\"data_centre\":\"a\",\"http_address\":\"{}\",\"link_address\":\"{}\",\"metrics_address\":\"{}\",\"seeds\":[{}],\"found\":{found},\"tolerated_losses\":{},\"data_folder\":\"{}\",\"memory_megabytes\":256}}",
            self.control(number),
            self.at(number, 1),
            self.at(number, 2),
            self.seed_list(),
            self.tolerated_losses,
            self.data_folder(number).display()
        );
        let path = self.folder.join(format!("control-{number}.json"));
        fs::write(path, text).map_err(|error| error.to_string())
    }

    pub fn start_control(&mut self, number: u8) -> Outcome<()> {
        self.spawn(&format!("control-{number}"), "control")
    }

    fn start_entry(&mut self) -> Outcome<()> {
        let text = format!(
            "{{\"name\":\"entry-100\",\"data_centre\":\"a\",\"front_address\":\"{}\",\"ready_address\":\"{}\",\"link_address\":\"{}\",\"metrics_address\":\"{}\",\"seeds\":[{}],\"leaving_price\":0.3,\"retry_ratio\":0.2,\"retry_extra\":52,\"retry_window_seconds\":10,\"quota_slack\":140000,\"grace_seconds\":8,\"memory_megabytes\":260}}",
            self.entry(),
            self.at(100, 4),
            self.at(100, 1),
            self.at(100, 2),
            self.seed_list()
        );
        let path = self.folder.join("entry-100.json");
        fs::write(path, text).map_err(|error| error.to_string())?;
        self.spawn("entry-100", "entry")
    }

    fn spawn(&mut self, name: &str, role: &str) -> Outcome<()> {
        let child = Command::new(PROGRAM)
            .arg(role)
            .env(
                "WAXWINGMILL_CONFIG",
                self.folder.join(format!("{name}.json")),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))?;
        self.record.note(&format!("start {name}"));
        self.processes.insert(name.to_owned(), child);
        Ok(())
    }

    /// Kills a process and waits for its end.
    pub fn kill(&mut self, name: &str) {
        if let Some(mut process) = self.processes.remove(name) {
            let _ = process.kill();
            let _ = process.wait();
            self.record.note(&format!("kill {name}"));
        }
    }

    /// Deletes the data folder of a control host that doesn't run.
    pub fn wipe(&self, number: u8) -> Outcome<()> {
        self.record.note(&format!("wipe control-{number}"));
        fs::remove_dir_all(self.data_folder(number)).map_err(|error| error.to_string())
    }

    /// Starts a runner that tells these control hosts of itself. `address` keeps the address of an
    /// earlier process.
    pub fn start_runner(
        &mut self,
        id: &str,
        service: &str,
        controls: &[u8],
        address: Option<SocketAddr>,
        further: &[&str],
    ) -> Outcome<SocketAddr> {
        let address = match address {
            Some(address) => address,
            None => {
                let listener =
                    TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
                listener.local_addr().map_err(|error| error.to_string())?
            }
        };
        let controls: Vec<_> = controls
            .iter()
            .map(|number| self.control(*number).to_string())
            .collect();
        let program = env::current_exe().map_err(|error| error.to_string())?;
        let mut child = Command::new(program)
            .args(["runner", "--id", id, "--service", service])
            .args([
                "--address",
                &address.to_string(),
                "--controls",
                &controls.join(","),
            ])
            .args(further)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(|error| error.to_string())?;
        let (record, name) = (self.record.clone(), format!("runner-{id}"));
        record.note(&format!("start {name} at {address} {}", further.join(" ")));
        let output = child.stdout.take().ok_or("no output of the runner")?;
        let label = name.clone();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let (time, text) = line.split_once(' ').unwrap_or(("0", &line));
                record.add(&format!("{time} {label}: {text}"));
            }
        });
        self.processes.insert(name, child);
        Ok(address)
    }

    /// Makes a runner tell that it leaves.
    pub fn drain_runner(&mut self, id: &str) -> Outcome<()> {
        let process = self.processes.get_mut(&format!("runner-{id}"));
        let input = process
            .and_then(|process| process.stdin.as_mut())
            .ok_or("no such runner")?;
        input
            .write_all(b"draining\n")
            .map_err(|error| error.to_string())?;
        input.flush().map_err(|error| error.to_string())
    }

    /// Returns the control hosts that run.
    pub fn running_controls(&self) -> Vec<u8> {
        let names = self
            .processes
            .keys()
            .filter_map(|name| name.strip_prefix("control-"));
        let mut numbers: Vec<u8> = names.filter_map(|number| number.parse().ok()).collect();
        numbers.sort_unstable();
        numbers
    }

    /// Returns the value of a metric of a control host.
    pub fn metric(&self, number: u8, name: &str) -> Option<u64> {
        let headers = [
            ("Host", "control".to_owned()),
            ("Connection", "close".to_owned()),
        ];
        let answer = http::call(
            self.at(number, 2),
            "GET",
            "/metrics",
            &headers,
            "",
            Duration::from_millis(500),
        )?;
        let line = answer
            .body
            .lines()
            .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '))?;
        line.trim().parse().ok()
    }

    /// Waits until a control host leads, and returns its number.
    pub fn await_leader(&self, limit: Duration) -> Outcome<u8> {
        let deadline = Instant::now() + limit;
        loop {
            let controls = self.running_controls();
            let leader = controls
                .into_iter()
                .find(|number| self.metric(*number, "waxwing_registrar_leads") == Some(1));
            if let Some(leader) = leader {
                return Ok(leader);
            }
            if Instant::now() >= deadline {
                return Err("no control host leads in time".to_owned());
            }
            thread::sleep(Duration::from_millis(50));
        }
    }

    /// Sends a call of the operator to one control host after the other until one answers it; returns
    /// the status, the body and the host that answered, or `None` at the limit.
    pub fn operate(&self, method: &str, body: &str, limit: Duration) -> Option<(u16, String, u8)> {
        let deadline = Instant::now() + limit;
        let headers = [
            ("Host", "control".to_owned()),
            ("Content-Type", "application/json".to_owned()),
            ("Connection", "close".to_owned()),
        ];
        while Instant::now() < deadline {
            for number in self.running_controls() {
                let answer = http::call(
                    self.control(number),
                    method,
                    "/config",
                    &headers,
                    body,
                    Duration::from_secs(1),
                );
                if let Some(answer) = answer
                    .filter(|answer| answer.status == 200 || (400..500).contains(&answer.status))
                {
                    self.record.note(&format!(
                        "operator {method} answered {} by control-{number}",
                        answer.status
                    ));
                    return Some((answer.status, answer.body, number));
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        self.record.note(&format!(
            "operator {method}: no answer in {} s",
            limit.as_secs()
        ));
        None
    }

    /// Stores a configuration; fails unless it is acknowledged. Returns the host that did so.
    pub fn put(&self, document: &str) -> Outcome<u8> {
        match self.operate("PUT", document, Duration::from_secs(20)) {
            Some((200, _, number)) => Ok(number),
            other => Err(format!("the configuration was not acknowledged: {other:?}")),
        }
    }
}

/// Returns a configuration with a route of each kind and these tenants, a JSON list.
pub fn document(version: u64, tenants: &str) -> String {
    let route = |name: &str, kind: &str, service: &str, resume: bool| {
        format!(
            "{{\"name\":\"{name}\",\"hostname\":\"shop.example\",\"path_prefix\":\"/{name}/\",\"route_type\":\"{kind}\",\"timeout_ms\":15000,\"target_latency_ms\":800,\"priority\":0,\"backend\":\"{service}\",\"retry_attempts\":2,\"public\":false,\"sticky_sessions\":false,\"stream_resume\":{resume},\"target_gap_ms\":400}}"
        )
    };
    let routes = [
        route("read", "idempotent", "register", false),
        route("book", "non_idempotent", "register", false),
        route("draft", "streaming", "model", true),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"register\",\"health_path\":\"/health\",\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}},{{\"name\":\"model\",\"health_path\":\"/health\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":10,\"kv_capacity\":600000,\"stride\":1}}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":{tenants}}}",
        routes.join(",")
    )
}
