//! Answers to watches that are lost, and gateways that keep a configuration that is no longer in force.

use crate::config_watch::{self, Judgement};
use crate::fleet::{Fleet, plain_config};
use crate::record::Record;
use std::io;
use std::thread;
use std::time::Duration;

/// Plays the case; returns whether the rule held.
pub fn play(record: &Record, is_disrupted: bool) -> io::Result<bool> {
    let [kept, revoked] = config_watch::KEYS;
    let first = plain_config(3, &[kept, revoked], 0);
    let fleet = Fleet::start(
        &config_watch::ZONES,
        config_watch::service(),
        &first,
        record,
    )?;
    // The gateways exchange what they keep in the store after their start.
    thread::sleep(Duration::from_secs(5));
    let requesters = config_watch::Requesters::start(&fleet, record);
    thread::sleep(Duration::from_millis(500));

    let store = fleet.store.clone();
    store.put("op/config", &plain_config(5, &[kept, revoked], 1));
    record.line("operator: version 5 is acknowledged: an idle route more");
    thread::sleep(Duration::from_millis(300));

    let (answers_before, _) = store.answers();
    if is_disrupted {
        store.lose_next_answers("op/");
    }
    store.put("op/config", &plain_config(8, &[kept], 1));
    let acked_ms = record.line(format!(
        "operator: version 8 is acknowledged: {revoked} is taken away"
    ));
    thread::sleep(Duration::from_millis(400));
    store.answer_all();
    let calm_from_ms = record.line("store: answers all calls from now on");
    // Planned work: a server is emptied and taken away.
    let leaving = fleet.servers[2].id.clone();
    let (key, value) = fleet.servers[2].entry("draining", 2);
    store.put(&key, &value);
    record.line(format!("{leaving}: draining"));
    thread::sleep(Duration::from_millis(4_000));
    store.remove(&key);
    record.line(format!("{leaving}: its entry is removed"));
    thread::sleep(Duration::from_millis(8_000));
    let (answers, lost) = store.answers();
    record.line(format!(
        "store: lost {lost} of {} answers since version 8 was written",
        answers - answers_before
    ));
    config_watch::judge(
        fleet,
        requesters,
        &Judgement {
            acked_ms,
            calm_from_ms: is_disrupted.then_some(calm_from_ms),
        },
        record,
    )
}
