//! Plays the cases of the review that are scripts.
//!
//! Usage: `review-standins CASE FOLDER`, from the root of the repository. Writes `record.txt` in the
//! folder and exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
//! With `TROUBLE=0` in the environment, the disruption is left out.

mod config_watch;
mod fleet;
mod gateway;
mod http;
mod json;
mod large_history;
mod mixed_versions;
mod record;
mod removed_server;
mod server;
mod slow_reader;
mod small_window;
mod stale_config;
mod store;

use record::Record;
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: review-standins CASE FOLDER");
        return ExitCode::from(2);
    };
    let is_disrupted = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case {case}, disruption: {is_disrupted}"));
    let played = match case.as_str() {
        "stale-config" => stale_config::play(&record, is_disrupted),
        "large-history" => large_history::play(&record, is_disrupted),
        "mixed-versions" => mixed_versions::play(&record, is_disrupted),
        "removed-server" => removed_server::play(&record, is_disrupted),
        "slow-reader" => slow_reader::play(&record, is_disrupted),
        _ => Err(std::io::Error::other("unknown case")),
    };
    match played {
        Ok(true) => {
            record.line("the rule held");
            println!("the rule held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            record.line("the rule was broken");
            println!("the rule was broken");
            ExitCode::from(1)
        }
        Err(error) => {
            record.line(format!("the case could not run: {error}"));
            println!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}
