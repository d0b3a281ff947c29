//! Stand-ins for the scripts of the second review: a small fleet of the project's own processes on
//! loopback addresses, a runner, callers and an operator, and the scenarios that use them. It needs
//! the standard library only. `review/build-2.sh` builds it.

mod fleet;
mod http;
mod runner;
mod scenarios;

use std::{env, process};

fn main() {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let first = arguments.first().map_or("", String::as_str);
    if first == "runner" {
        runner::run(&arguments[1..]);
    }
    let Some(folder) = arguments.get(1) else {
        eprintln!("usage: stand-ins SCENARIO FOLDER");
        process::exit(2);
    };
    let trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let code = match first {
        "resumed-stream" => scenarios::resumed_stream(folder, trouble),
        "last-account" => scenarios::last_account(folder, trouble),
        "clock-back" => scenarios::clock_back(folder, trouble),
        "replaced-host" => scenarios::replaced_host(folder, trouble),
        _ => Err(format!("no scenario {first}")),
    };
    process::exit(match code {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            2
        }
    });
}
