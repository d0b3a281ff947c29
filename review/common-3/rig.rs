//! Runs one case of the review: `rig CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held
//! and 2 if the case couldn't run. `TROUBLE=0` leaves the disruption out.

mod early_end;
mod first_version;
mod fleet;
mod slow_readers;

use std::{process::exit, thread, time::Duration};

/// The longest time for which a case runs.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: rig CASE RECORD");
        exit(2);
    };
    if case == "endpoint" {
        return early_end::run_endpoint(path);
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = fleet::Record::new(path);
    record.note(format!("case {case}, disruption: {trouble}"));
    let watched = record.clone();
    let (sender, receiver) = std::sync::mpsc::channel();
    let case = case.clone();
    thread::spawn(move || {
        let verdict = match case.as_str() {
            "slow-readers" => slow_readers::run(&watched, trouble),
            "early-end" => early_end::run(&watched, trouble),
            "first-version" => first_version::run(&watched, trouble),
            other => Verdict::NotRun(format!("no case {other}")),
        };
        let _ = sender.send(verdict);
    });
    let verdict = receiver
        .recv_timeout(TIME_LIMIT)
        .unwrap_or_else(|_| Verdict::NotRun("the time is over".to_owned()));
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::NotRun(reason) => (format!("not run: {reason}"), 2),
    };
    record.note(&text);
    record.save();
    println!("{text}");
    exit(code);
}
