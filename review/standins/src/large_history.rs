//! Large configurations in quick succession while the store is slow, and gateways that cannot read the
//! changes any more.

use crate::config_watch::{self, Judgement};
use crate::fleet::{Fleet, Zone, plain_config};
use crate::record::Record;
use std::io;
use std::thread;
use std::time::{Duration, Instant};

/// A deployment with two machines in each zone.
const ZONES: [Zone; 2] = [
    Zone {
        name: "half-way-tree",
        machines: 2,
        servers: 2,
    },
    Zone {
        name: "new-kingston",
        machines: 2,
        servers: 1,
    },
];

/// `platform_slow` of the site: 60 times as slow, for 4.5 s.
const SLOW_FACTOR: u32 = 60;
const SLOW_TIME: Duration = Duration::from_millis(4_500);
/// `config_storm` of the site: a change every 0.08 s, for 2 s.
const STORM_CHANGES: u32 = 25;
const STORM_GAP: Duration = Duration::from_millis(80);
/// When it begins, after the store has turned slow.
const STORM_START: Duration = Duration::from_millis(300);
/// `value_bytes` of the settings.
const VALUE_BYTES: usize = 1_048_576;

/// Returns the number of idle routes with which a configuration just fits into a value.
fn most_routes(keys: &[&str]) -> usize {
    let bytes = |routes| plain_config(1_000, keys, routes).len();
    let (one, many) = (bytes(10), bytes(4_010));
    let per_route = (many - one).div_ceil(4_000);
    (VALUE_BYTES - one) / per_route - 50
}

/// Plays the case; returns whether the rule held.
pub fn play(record: &Record, is_disrupted: bool) -> io::Result<bool> {
    let [kept, revoked] = config_watch::KEYS;
    let routes = most_routes(&[kept, revoked]);
    let first = plain_config(3, &[kept, revoked], routes);
    record.line(format!(
        "version 3 has {routes} idle routes and {} bytes",
        first.len()
    ));
    let fleet = Fleet::start(&ZONES, config_watch::service(), &first, record)?;
    thread::sleep(Duration::from_secs(5));
    let requesters = config_watch::Requesters::start(&fleet, record);
    thread::sleep(Duration::from_millis(500));

    let store = fleet.store.clone();
    let started = Instant::now();
    if is_disrupted {
        store.slow_down(SLOW_FACTOR);
        record.line(format!("store: answers take {SLOW_FACTOR} times as long"));
    }
    let mut acked_ms = 0;
    for change in 1..=STORM_CHANGES {
        let due = started + STORM_START + STORM_GAP * change;
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let version = 3 + 2 * u64::from(change);
        let is_last = change == STORM_CHANGES;
        let keys = if is_last {
            &[kept][..]
        } else {
            &[kept, revoked]
        };
        store.put(
            "op/config",
            &plain_config(version, keys, routes + change as usize),
        );
        acked_ms = record.line(match is_last {
            true => format!("operator: version {version} is acknowledged: {revoked} is taken away"),
            false => format!("operator: version {version} is acknowledged: an idle route more"),
        });
    }
    thread::sleep((started + SLOW_TIME).saturating_duration_since(Instant::now()));
    store.slow_down(1);
    let calm_from_ms = record.line("store: answers take the usual time from now on");
    thread::sleep(Duration::from_secs(20));
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
