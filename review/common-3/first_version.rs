//! The first configuration has version 0. It is acknowledged; then it is read back and used.

use std::{
    io::Write,
    net::TcpStream,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{fleet, Verdict};

/// Time for which the operator asks for the configuration: contact_ms of a small deployment, doubled.
const READ_TIME: Duration = Duration::from_secs(6);

fn document(version: u64) -> String {
    let rest = r#""routes":[{"name":"orders","hostname":"shop.example","path_prefix":"/orders/","route_type":"non_idempotent","timeout_ms":3000,"target_latency_ms":300,"priority":0,"backend":"register","retry_attempts":1,"public":false}],"services":[{"name":"register","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"shop","api_keys":["key-one"],"priority":1}]}"#;
    format!(r#"{{"version":{version},{rest}"#)
}

pub fn run(record: &Arc<fleet::Record>, trouble: bool) -> Verdict {
    match play(record, trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::NotRun(error.to_string()),
    }
}

fn play(record: &Arc<fleet::Record>, trouble: bool) -> std::io::Result<Verdict> {
    let fleet = fleet::Fleet::start(record.clone(), 3, 1)?;
    let log = record.clone();
    let answer: fleet::AnswerFunction = Arc::new(move |received| {
        log.note(format!("endpoint runs {}", received.id()));
        fleet::Reply::Whole(b"ok".to_vec())
    });
    let _endpoint = fleet::Endpoint::start(&fleet, fleet::FIRST_ENDPOINT, "register", 6, answer)?;
    let version = if trouble { 0 } else { 1 };
    let sent = document(version);
    let status = fleet.put(&sent);
    record.note(format!("PUT of version {version}: {status:?}"));
    match status {
        Some(200) => {}
        // A refusal breaks no promise to keep it.
        Some(400..500) => return Ok(Verdict::Held),
        _ => return Ok(Verdict::NotRun("no acknowledgement".to_owned())),
    }
    let end = Instant::now() + READ_TIME;
    let mut read = None;
    while read.is_none() && Instant::now() < end {
        for number in 1..=3 {
            let address = fleet.at(number, fleet.ports.control);
            let answer = fleet::call(address, "GET", "/config", "");
            let status = answer.as_ref().map(|answer| answer.status);
            record.note(format!("GET at core-{number}: {status:?}"));
            if let Ok(answer) = answer {
                if answer.status == 200 {
                    read = Some(String::from_utf8_lossy(&answer.body).into_owned());
                }
            }
        }
        thread::sleep(Duration::from_millis(500));
    }
    record.note(format!("read back: {}", read.as_deref().unwrap_or("nothing")));
    for _ in 0..5 {
        let id = fleet.new_id();
        let mut stream = TcpStream::connect(fleet.front(fleet::FIRST_ENTRY))?;
        stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        stream.write_all(fleet.request("/orders/1", &id, 3_000, "").as_bytes())?;
        let status = fleet::read_answer(&mut stream).map(|answer| answer.status);
        record.note(format!("client {id}: {status:?}"));
    }
    Ok(match read.as_deref() == Some(sent.as_str()) {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}
