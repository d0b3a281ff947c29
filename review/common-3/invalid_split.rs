//! An operator sends a configuration in which a route names a service that isn't defined.

use std::sync::Arc;

use crate::{fleet, Verdict};

fn document(version: u64, backend: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"orders","hostname":"shop.example","path_prefix":"/orders/","route_type":"non_idempotent","timeout_ms":3000,"target_latency_ms":300,"priority":0,"backend":"{backend}","traffic_split":[{{"backend":"register","weight":1}}],"retry_attempts":1,"public":false}}],"services":[{{"name":"register","health_path":"/health","max_connections":96,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"shop","api_keys":["key-one"],"priority":1}}]}}"#
    )
}

pub fn run(record: &Arc<fleet::Record>, trouble: bool) -> Verdict {
    match play(record, trouble) {
        Ok(verdict) => verdict,
        Err(error) => Verdict::NotRun(error.to_string()),
    }
}

fn play(record: &Arc<fleet::Record>, trouble: bool) -> std::io::Result<Verdict> {
    let fleet = fleet::Fleet::start(record.clone(), 3, 1)?;
    let first = fleet.put(&document(5, "register"));
    record.note(format!("PUT of version 5, valid: {first:?}"));
    if first != Some(200) || !fleet.await_ready() {
        return Ok(Verdict::NotRun("no first configuration".to_owned()));
    }
    let backend = if trouble { "register-new" } else { "register" };
    let second = document(8, backend);
    let status = fleet.put(&second);
    record.note(format!(
        "PUT of version 8, whose route names the service {backend}: {status:?}"
    ));
    let read = fleet.get();
    record.note(format!("read back: {}", read.as_deref().unwrap_or("nothing")));
    let in_force = read.as_deref() == Some(second.as_str());
    Ok(match (trouble, status) {
        (true, Some(200)) => Verdict::Broken,
        (true, Some(400..500)) if in_force => Verdict::Broken,
        (true, Some(400..500)) => Verdict::Held,
        (false, Some(200)) if in_force => Verdict::Held,
        _ => Verdict::NotRun("no clear answer".to_owned()),
    })
}
