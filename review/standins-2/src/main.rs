//! Stand-ins and callers of the scripts of the second review.
//!
//! `standins-2 CASE FOLDER` plays a case and writes `record.txt` into the folder. It exits with 0 if
//! the rule held, with 1 if it was broken, and with 2 if the case could not run.

mod draw;
mod fleet;
mod http;
mod json;
mod moved_store;
mod mute_watch;
mod plain_server;
mod raised_limit;
mod record;
mod store;
mod wrong_event;

use record::Record;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;

fn temporary_folder() -> std::io::Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("dockgate-review-{:016x}", draw::number()));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = &arguments[..] else {
        eprintln!("usage: standins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    fleet::end_after(Duration::from_secs(110));
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let played = (|| {
        let record = Record::create(&Path::new(folder).join("record.txt"))?;
        let temporary = temporary_folder()?;
        let held = match case.as_str() {
            "moved-store" => moved_store::run(&temporary, &record, trouble),
            "mute-watch" => mute_watch::run(&temporary, &record, trouble),
            "raised-limit" => raised_limit::run(&temporary, &record, trouble),
            "wrong-event" => wrong_event::run(&temporary, &record, trouble),
            _ => Err(std::io::Error::other("no such case")),
        };
        let is_kept = std::env::var("KEEP").as_deref() == Ok("1");
        match is_kept {
            true => println!("logs: {}", temporary.display()),
            false => drop(std::fs::remove_dir_all(&temporary)),
        }
        let held = held.inspect_err(|error| record.say(format!("could not run: {error}")))?;
        record.say(if held {
            "the rule held"
        } else {
            "the rule was broken"
        });
        Ok::<bool, std::io::Error>(held)
    })();
    match played {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(error) => {
            eprintln!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
