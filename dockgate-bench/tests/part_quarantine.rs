//! Quarantine of parts of prompts that crash the engines that begin to answer on them.
//!
//! Guards against engines that crash one after the other under prompts of which no two are alike
//! but all hold one part, and against the refusal of prompts that share other parts with these.

use bytes::Bytes;
use dockgate_bench::gateway_fleet::{GatewayFleet, GatewayProcess, KEYS, route_config, wait_until};
use dockgate_bench::standin::caller::{all_events, call, connect_within};
use dockgate_bench::standin::{EndpointBehavior, PartCrash, ReceivedRequest, RoutedStandIn};
use dockgate_core::gateway::SuspectKey;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// The shared first part of most prompts.
const COMMON_PART: &str = "f1";
/// Parts under which engines crash.
const BAD_PARTS: [&str; 2] = ["bad1", "bad2"];
/// Number of parts that fewer sound prompts share.
const SUBJECTS: usize = 40;
const EVENTS: u64 = 6;
const EVENT_TIME: Duration = Duration::from_millis(40);
/// Time from a crash until the successor of the engine is ready.
const DOWNTIME: Duration = Duration::from_millis(2_500);
/// Time from the start of the sound callers until the first bad prompt.
const SOUND_TIME: Duration = Duration::from_millis(2_500);
const BAD_TIME: Duration = Duration::from_millis(11_000);
const BAD_INTERVAL: Duration = Duration::from_millis(300);
const SOUND_PAUSE: Duration = Duration::from_millis(150);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(4);
const STEP_INTERVAL: Duration = Duration::from_millis(20);

/// Number of crashes after which the bound on further sends begins.
const CRASHES_TO_BOUND: usize = 5;
/// Time within which boxes in touch learn what others know.
const SYNC_TIME: Duration = Duration::from_secs(3);
/// Maximum number of sends with a bad part after [`SYNC_TIME`].
const MAX_LATE_SENDS: usize = 3;

/// How prompts with bad parts are made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BadPrompts {
    /// There are none; instead, the busiest engine is killed again and again.
    None,
    /// The bad part follows the first part, beside a part that sound prompts share.
    InTheMiddle,
    /// The bad part is the first.
    First,
    /// Each second prompt holds another bad part.
    TwoInTurn,
}

impl BadPrompts {
    fn parts(self, number: usize) -> String {
        let subject = subject(number);
        let private = format!("e{number:x}");
        let (first, second) = match self {
            Self::First => (BAD_PARTS[0], subject.as_str()),
            Self::TwoInTurn => (COMMON_PART, BAD_PARTS[number % 2]),
            Self::InTheMiddle | Self::None => (COMMON_PART, BAD_PARTS[0]),
        };
        format!("{first}:400,{second}:200,{subject}:100,{private}:50")
    }
}

fn subject(number: usize) -> String {
    format!("50{:02x}", number % SUBJECTS)
}

/// A fault beside the bad prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disruption {
    None,
    /// The store is unavailable from before the first bad prompt.
    StoreAway,
    /// All boxes are killed and restarted in the middle of the bad prompts.
    BoxesKilled,
}

struct PlayPlan {
    path: &'static str,
    engines: usize,
    bad: BadPrompts,
    disruption: Disruption,
    bad_interval: Duration,
}

/// A prompt of a sound caller.
#[derive(Debug, Clone, Copy)]
struct SoundCall {
    /// Whether it has its key and first part in common with bad prompts.
    is_related: bool,
    at: Instant,
    is_complete: bool,
}

/// What happened in a play.
struct PlayRecord {
    bad_from: Instant,
    crashes: Vec<PartCrash>,
    /// The sends of bad prompts that reached engines, by bad part.
    bad_sends: HashMap<&'static str, Vec<Instant>>,
    sound: Vec<SoundCall>,
    /// When all boxes were ready after they had been killed.
    boxes_back: Option<Instant>,
    /// The keys that went into quarantine and are no bad parts, and those of them still in it.
    blamed_wrongly: BTreeSet<String>,
    held_wrongly: BTreeSet<String>,
    logs: String,
}

fn prompt(path: &str, key: &str, id: &str, parts: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method("POST")
        .uri(path)
        .header("host", "h.example")
        .header("authorization", format!("Token {key}"))
        .header("x-request-id", id)
        .header("x-deadline-ms", "3000")
        .header("x-model", "m")
        .header("x-token-usage", format!("700,{EVENTS}"))
        .header("x-prefix-hash", parts)
        .body(Full::new(Bytes::from(id.to_owned())))
        .expect("the prompt is valid")
}

/// Sends a prompt and returns whether its answer is complete.
async fn send(address: SocketAddr, prompt: Request<Full<Bytes>>) -> bool {
    let answered = async {
        let mut sender = connect_within(address, ANSWER_TIMEOUT).await?;
        let response = sender.send_request(prompt).await.ok()?;
        let is_success = response.status() == StatusCode::OK;
        let body = response.into_body().collect().await.ok()?.to_bytes();
        Some(is_success && body == all_events(EVENTS).as_bytes())
    };
    let answered = tokio::time::timeout(ANSWER_TIMEOUT, answered).await;
    answered.ok().flatten().unwrap_or(false)
}

/// Sends sound prompts one after the other at boxes in turn.
async fn run_sound_caller(
    number: usize,
    path: &'static str,
    boxes: Vec<SocketAddr>,
    calls: Arc<Mutex<Vec<SoundCall>>>,
) {
    let is_related = number.is_multiple_of(2);
    let (key, first) = match is_related {
        true => ("k1", COMMON_PART),
        false => ("k2", "f2"),
    };
    for sent in 0.. {
        let id = format!("s{number}n{sent}");
        let parts = format!(
            "{first}:400,{}:200,c{number:x}{sent:x}:50",
            subject(number + 7 * sent)
        );
        let at = Instant::now();
        let address = boxes[(number + sent) % boxes.len()];
        let is_complete = send(address, prompt(path, key, &id, &parts)).await;
        let call = SoundCall {
            is_related,
            at,
            is_complete,
        };
        calls.lock().expect("no caller panics").push(call);
        tokio::time::sleep(SOUND_PAUSE).await;
    }
}

/// The engines of a play, which crash under bad parts and come back under new ids.
struct CrashingEngines {
    fleet: GatewayFleet,
    ended: Vec<(RoutedStandIn, Instant)>,
    old: Vec<RoutedStandIn>,
    started: usize,
}

impl CrashingEngines {
    fn prepare(engine: &RoutedStandIn) {
        BAD_PARTS
            .iter()
            .for_each(|part| engine.add_crash_part(part));
        engine.set_processing_time(EVENT_TIME);
    }

    fn new(fleet: GatewayFleet) -> Self {
        fleet.endpoints.iter().for_each(Self::prepare);
        Self {
            fleet,
            ended: Vec::new(),
            old: Vec::new(),
            started: 0,
        }
    }

    /// Replaces the engines whose downtime has passed by successors with new ids.
    async fn step(&mut self) {
        let now = Instant::now();
        let endpoints = &mut self.fleet.endpoints;
        let ended = endpoints.extract_if(.., |engine| engine.has_ended());
        self.ended.extend(ended.map(|engine| (engine, now)));
        let due = self.ended.extract_if(.., |(_, at)| *at + DOWNTIME <= now);
        for (engine, _) in due.collect::<Vec<_>>() {
            self.started += 1;
            let id = format!("next-{}", self.started);
            let successor = RoutedStandIn::start(&id, &engine.service).await;
            let successor = successor.expect("loopback has a port");
            Self::prepare(&successor);
            let (key, _) = engine.record("a", "ready");
            self.fleet.store.remove(&key);
            let (key, value) = successor.record("a", "ready");
            self.fleet.store.set(&key, value);
            self.fleet.endpoints.push(successor);
            self.old.push(engine);
        }
    }

    fn kill_busiest(&self) {
        let endpoints = self
            .fleet
            .endpoints
            .iter()
            .filter(|engine| !engine.has_ended());
        if let Some(engine) = endpoints.max_by_key(|engine| engine.running()) {
            engine.kill();
        }
    }

    fn all(&self) -> impl Iterator<Item = &RoutedStandIn> {
        let ended = self.ended.iter().map(|(engine, _)| engine);
        self.fleet.endpoints.iter().chain(ended).chain(&self.old)
    }
}

/// Plays sound callers beside bad prompts.
async fn play(plan: &PlayPlan) -> PlayRecord {
    const SOUND_CALLERS: usize = 6;
    let services = vec!["model"; plan.engines];
    let config = route_config(3, KEYS);
    let fleet = GatewayFleet::start(3, &services, &config).await;
    let mut engines = CrashingEngines::new(fleet.expect("a fleet starts on loopback"));
    let boxes = engines
        .fleet
        .gateways
        .iter()
        .map(GatewayProcess::caller_address);
    let boxes: Vec<SocketAddr> = boxes.collect();
    let calls = Arc::new(Mutex::new(Vec::new()));
    let callers = (0..SOUND_CALLERS).map(|number| {
        tokio::spawn(run_sound_caller(
            number,
            plan.path,
            boxes.clone(),
            calls.clone(),
        ))
    });
    let callers: Vec<_> = callers.collect();
    tokio::time::sleep(SOUND_TIME).await;
    engines
        .fleet
        .store
        .set_unavailable(plan.disruption == Disruption::StoreAway);
    let (bad_from, mut sent, mut boxes_back) = (Instant::now(), 0, None);
    while bad_from.elapsed() < BAD_TIME {
        if bad_from.elapsed() >= plan.bad_interval * sent as u32 {
            let address = boxes[sent % boxes.len()];
            let parts = plan.bad.parts(sent);
            let bad = prompt(plan.path, "k1", &format!("b{sent}"), &parts);
            match plan.bad {
                BadPrompts::None if sent % 2 == 0 => engines.kill_busiest(),
                BadPrompts::None => {}
                _ => drop(tokio::spawn(send(address, bad))),
            }
            sent += 1;
        }
        let is_kill_due = bad_from.elapsed() >= BAD_TIME / 2 && boxes_back.is_none();
        if plan.disruption == Disruption::BoxesKilled && is_kill_due {
            let gateways = &mut engines.fleet.gateways;
            gateways.iter_mut().for_each(GatewayProcess::kill);
            for gateway in gateways.iter_mut() {
                gateway.restart().expect("the gateway restarts");
            }
            for gateway in gateways.iter() {
                wait_until("a box is ready again", async || gateway.is_ready().await).await;
            }
            boxes_back = Some(Instant::now());
        }
        engines.step().await;
        tokio::time::sleep(STEP_INTERVAL).await;
    }
    for caller in callers {
        caller.abort();
    }
    let mut crashes: Vec<PartCrash> = engines
        .all()
        .filter_map(RoutedStandIn::part_crash)
        .collect();
    crashes.sort_unstable_by_key(|crash| crash.at);
    let runs: Vec<ReceivedRequest> = engines.all().flat_map(RoutedStandIn::ran).collect();
    let sends_of = |part: &'static str| {
        let sends = runs
            .iter()
            .filter(|run| run.shared_parts().any(|shared| shared == part));
        (part, sends.map(|run| run.at).collect())
    };
    let sound = calls.lock().expect("no caller panics").clone();
    let gateways = &engines.fleet.gateways;
    let logs: String = gateways.iter().map(GatewayProcess::logged).collect();
    let mut held = BTreeSet::new();
    for gateway in gateways {
        let answer = gateway.quarantine(None).await.expect("the box answers");
        held.extend(answer.requests.into_iter().map(|row| row.fingerprint));
    }
    let bad_keys = bad_keys();
    PlayRecord {
        blamed_wrongly: &quarantined_keys(&logs) - &bad_keys,
        held_wrongly: &held - &bad_keys,
        bad_from,
        crashes,
        bad_sends: BAD_PARTS.into_iter().map(sends_of).collect(),
        sound,
        boxes_back,
        logs,
    }
}

fn bad_keys() -> BTreeSet<String> {
    let ids = BAD_PARTS.map(|part| u64::from_str_radix(part, 16).expect("a part is hexadecimal"));
    let keys = ids.map(|id| SuspectKey::of_part("model", id).to_string());
    keys.into_iter().collect()
}

/// Returns the keys that boxes logged as quarantined.
fn quarantined_keys(logs: &str) -> BTreeSet<String> {
    const EVENT: &str = r#""event":"request_quarantined","print":""#;
    let keys = logs.split(EVENT).skip(1);
    keys.filter_map(|rest| Some(rest.split_once('"')?.0.to_owned()))
        .collect()
}

impl PlayRecord {
    /// Returns the time from which on the bound for a bad part holds, if it crashed enough engines.
    fn bound_from(&self, part: &str) -> Option<Instant> {
        let crashes = self.crashes.iter().filter(|crash| crash.part == part);
        let fifth = crashes.map(|crash| crash.at).nth(CRASHES_TO_BOUND - 1)?;
        Some(fifth + SYNC_TIME)
    }

    /// Returns the number of sends that the bound limits.
    fn late_sends(&self, part: &str) -> usize {
        let Some(bound_from) = self.bound_from(part) else {
            return 0;
        };
        let is_out_of_touch = |at: Instant| {
            self.boxes_back
                .is_some_and(|back| at < back + SYNC_TIME && at + SYNC_TIME > back)
        };
        let sends = self.bad_sends[part].iter();
        sends
            .filter(|at| **at > bound_from && !is_out_of_touch(**at))
            .count()
    }

    /// Returns the fraction of sound prompts that share key and first part with bad ones and are
    /// answered, among those sent within a time.
    fn served_fraction(&self, from: Instant, until: Instant) -> f64 {
        let calls = self.sound.iter().filter(|call| call.is_related);
        let calls: Vec<_> = calls
            .filter(|call| call.at >= from && call.at < until)
            .collect();
        let served = calls.iter().filter(|call| call.is_complete).count();
        assert!(!calls.is_empty(), "no sound prompt was sent");
        served as f64 / calls.len() as f64
    }

    fn check(&self) {
        let late = BAD_PARTS.map(|part| self.late_sends(part));
        let crashes = self.crashes.iter().map(|crash| crash.at - self.bad_from);
        let sends = BAD_PARTS.map(|part| self.bad_sends[part].len());
        let start = self.bad_from - SOUND_TIME;
        let before = self.served_fraction(start, self.bad_from);
        let bounds = BAD_PARTS.iter().filter_map(|part| self.bound_from(part));
        let settled = bounds.max().unwrap_or(self.bad_from) + SYNC_TIME;
        let settled = settled.max(self.boxes_back.unwrap_or(settled));
        let settled = settled.min(self.bad_from + BAD_TIME - Duration::from_secs(2));
        let after = self.served_fraction(settled, self.bad_from + BAD_TIME);
        let seen = format!(
            "{} crashes, {sends:?} sends with bad parts, {late:?} of them late, sound ones served: \
             {before:.2} before, {after:.2} after; {} sound keys quarantined, {} of them held; \
             crashes at {:?}",
            self.crashes.len(),
            self.blamed_wrongly.len(),
            self.held_wrongly.len(),
            crashes.collect::<Vec<_>>(),
        );
        println!("{seen}");
        assert!(!self.crashes.is_empty(), "no engine crashed: {seen}");
        assert!(
            late.iter().all(|late| *late <= MAX_LATE_SENDS),
            "late sends: {seen}"
        );
        assert!(
            after >= before / 2.0,
            "sound prompts are not served: {seen}"
        );
    }
}

#[tokio::test]
async fn part_that_crashes_engines_is_quarantined() {
    let plan = PlayPlan {
        path: "/live/x",
        engines: 12,
        bad: BadPrompts::InTheMiddle,
        disruption: Disruption::None,
        bad_interval: BAD_INTERVAL,
    };
    play(&plan).await.check();
}

#[tokio::test]
async fn part_of_prompts_that_are_not_resumable_is_quarantined() {
    let plan = PlayPlan {
        path: "/draft/x",
        engines: 12,
        bad: BadPrompts::InTheMiddle,
        disruption: Disruption::None,
        bad_interval: BAD_INTERVAL,
    };
    play(&plan).await.check();
}

/// Guards against blame for the sound parts that were at the same ends, while no prompt completes.
#[tokio::test]
async fn sound_parts_at_the_same_ends_are_not_quarantined() {
    let plan = PlayPlan {
        path: "/live/x",
        engines: 12,
        bad: BadPrompts::InTheMiddle,
        disruption: Disruption::None,
        bad_interval: Duration::from_millis(60),
    };
    let record = play(&plan).await;
    record.check();
    assert!(
        record.held_wrongly.is_empty(),
        "in quarantine: {:?}",
        record.held_wrongly
    );
}

#[tokio::test]
async fn first_part_that_crashes_engines_is_quarantined() {
    let plan = PlayPlan {
        path: "/live/x",
        engines: 12,
        bad: BadPrompts::First,
        disruption: Disruption::None,
        bad_interval: BAD_INTERVAL,
    };
    play(&plan).await.check();
}

#[tokio::test]
async fn two_parts_that_crash_engines_in_turn_are_quarantined() {
    let plan = PlayPlan {
        path: "/live/x",
        engines: 14,
        bad: BadPrompts::TwoInTurn,
        disruption: Disruption::None,
        bad_interval: BAD_INTERVAL,
    };
    play(&plan).await.check();
}

#[tokio::test]
async fn part_is_quarantined_while_the_store_is_away() {
    let plan = PlayPlan {
        path: "/live/x",
        engines: 30,
        bad: BadPrompts::InTheMiddle,
        disruption: Disruption::StoreAway,
        bad_interval: BAD_INTERVAL,
    };
    play(&plan).await.check();
}

#[tokio::test]
async fn quarantine_of_a_part_survives_a_restart_of_all_boxes() {
    let plan = PlayPlan {
        path: "/live/x",
        engines: 12,
        bad: BadPrompts::InTheMiddle,
        disruption: Disruption::BoxesKilled,
        bad_interval: BAD_INTERVAL,
    };
    play(&plan).await.check();
}

/// Guards against the quarantine of parts that are at each end by chance.
#[tokio::test]
async fn no_part_is_quarantined_if_busy_engines_end_for_other_reasons() {
    let plan = PlayPlan {
        path: "/live/x",
        engines: 12,
        bad: BadPrompts::None,
        disruption: Disruption::None,
        bad_interval: BAD_INTERVAL,
    };
    let record = play(&plan).await;
    assert!(
        record.logs.contains("\"endpoint_ended\""),
        "no box noticed an end"
    );
    let quarantined = record.logs.matches("\"request_quarantined\"").count();
    assert_eq!(quarantined, 0, "quarantined: {}", record.logs);
}

/// A fleet in which a part is in quarantine.
async fn start_with_quarantined_part(engines: usize) -> CrashingEngines {
    const MAX_SENDS: usize = 12;
    let services = vec!["model"; engines];
    let fleet = GatewayFleet::start(3, &services, &route_config(3, KEYS)).await;
    let mut engines = CrashingEngines::new(fleet.expect("a fleet starts on loopback"));
    for number in 0..MAX_SENDS {
        let (status, _) = engines.send_bad(number, "first").await;
        if status == StatusCode::SERVICE_UNAVAILABLE {
            break;
        }
        tokio::time::sleep(BAD_INTERVAL).await;
        engines.step().await;
    }
    for gateway in &engines.fleet.gateways {
        wait_until("the part is in quarantine", async || {
            let metrics = gateway.metrics().await;
            metrics.contains("dockgate_quarantined_parts 1\n")
        })
        .await;
    }
    wait_until("the quarantine is stored", async || {
        let keys = engines.fleet.store.keys();
        keys.iter().any(|key| key.starts_with("quarantine/"))
    })
    .await;
    engines
}

impl CrashingEngines {
    /// Sends a prompt with a bad part to a box, and returns status and body of the response.
    async fn send_bad(&self, number: usize, series: &str) -> (StatusCode, String) {
        let gateways = &self.fleet.gateways;
        let id = format!("{series}{number}");
        // No other part is shared, so that no other one is suspect.
        let parts = format!("{}:400,e{number:x}:50", BAD_PARTS[0]);
        let prompt = prompt("/live/x", "k1", &id, &parts);
        let response = call(&gateways[number % gateways.len()], prompt).await;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map(http_body_util::Collected::to_bytes);
        let body = body.unwrap_or_default();
        (status, String::from_utf8_lossy(&body).into_owned())
    }

    /// Sends a prompt with a bad part, no two alike, to each of the boxes at once.
    async fn send_bad_to_all(&self, series: &str) -> Vec<(StatusCode, String)> {
        let sends = (0..self.fleet.gateways.len()).map(|at| self.send_bad(at, series));
        futures::future::join_all(sends).await
    }

    /// Waits until all boxes know the successors of the engines that have ended.
    async fn replace_ended(&mut self) {
        wait_until("the ended engines are replaced", async || {
            self.step().await;
            self.ended.is_empty()
        })
        .await;
        for gateway in &self.fleet.gateways {
            wait_until("a box knows all successors", async || {
                let log = gateway.logged();
                let ids =
                    (1..=self.started).map(|number| format!("\"endpoint\":\"next-{number}\""));
                ids.into_iter().all(|id| log.contains(&id))
            })
            .await;
        }
    }

    fn bad_runs(&self) -> usize {
        let runs = self.all().flat_map(RoutedStandIn::ran);
        let is_bad = |run: &ReceivedRequest| run.shared_parts().any(|part| part == BAD_PARTS[0]);
        runs.filter(is_bad).count()
    }

    /// Simulates a suspension of all boxes, each for a total of `time`.
    async fn suspend_all(&self, time: Duration) {
        for gateway in &self.fleet.gateways {
            let before = gateway.logged().matches("\"woke\"").count();
            let simulated = gateway.simulate_suspension(time);
            simulated.expect("the suspension is simulated");
            wait_until("a box has noticed the suspension", async || {
                gateway.logged().matches("\"woke\"").count() > before
            })
            .await;
        }
    }

    async fn wait_until_released(&self) {
        for gateway in &self.fleet.gateways {
            wait_until("the part is released", async || {
                let metrics = gateway.metrics().await;
                metrics.contains("dockgate_quarantined_parts 0\n")
            })
            .await;
        }
    }
}

/// Guards against trials of a part that several boxes make, or that are repeated.
#[tokio::test]
async fn trials_of_a_quarantined_part_are_sent_once_over_the_fleet() {
    const FIRST_TRIAL: Duration = Duration::from_secs(31);
    const SECOND_TRIAL: Duration = Duration::from_secs(31 + 301);
    let mut engines = start_with_quarantined_part(8).await;
    let runs = engines.bad_runs();
    let responses = engines.send_bad_to_all("early").await;
    assert_eq!(engines.bad_runs(), runs, "{responses:?}");
    engines.suspend_all(FIRST_TRIAL).await;
    let responses = engines.send_bad_to_all("second").await;
    assert_eq!(engines.bad_runs(), runs + 1, "{responses:?}");
    engines.step().await;
    let endpoints = engines.fleet.endpoints.iter();
    endpoints.for_each(RoutedStandIn::clear_crash_bodies);
    engines.suspend_all(SECOND_TRIAL).await;
    let responses = engines.send_bad_to_all("third").await;
    assert!(
        responses
            .iter()
            .any(|(status, _)| *status == StatusCode::OK),
        "{responses:?}"
    );
    engines.wait_until_released().await;
}

/// Guards against a trial that is spent on endpoints that have ended, which are the homes of the part.
#[tokio::test]
async fn trial_of_a_part_whose_homes_have_ended_reaches_another_endpoint() {
    const FIRST_TRIAL: Duration = Duration::from_secs(31);
    let engines = start_with_quarantined_part(24).await;
    let endpoints = &engines.fleet.endpoints;
    endpoints.iter().for_each(RoutedStandIn::clear_crash_bodies);
    let running = endpoints.iter().filter(|engine| !engine.has_ended());
    running.skip(1).for_each(RoutedStandIn::kill);
    engines.suspend_all(FIRST_TRIAL).await;
    let responses = engines.send_bad_to_all("trial").await;
    assert!(
        responses
            .iter()
            .any(|(status, _)| *status == StatusCode::OK),
        "{responses:?}"
    );
    engines.wait_until_released().await;
}

/// Guards against a trial that is spent at an endpoint that refuses it without running it.
#[tokio::test]
async fn trial_that_an_endpoint_refuses_goes_on_to_another() {
    const FIRST_TRIAL: Duration = Duration::from_secs(31);
    let engines = start_with_quarantined_part(24).await;
    let endpoints = &engines.fleet.endpoints;
    let full = EndpointBehavior::Full;
    endpoints
        .iter()
        .for_each(|engine| engine.set_behavior(full));
    let runs = engines.bad_runs();
    engines.suspend_all(FIRST_TRIAL).await;
    let responses = engines.send_bad_to_all("trial").await;
    // A line may be written after the answer.
    wait_until("two endpoints have refused the trial", async || {
        let gateways = engines.fleet.gateways.iter();
        let logs: String = gateways.map(GatewayProcess::logged).collect();
        let lines = logs.lines();
        let of_trial = lines.filter(|line| line.contains(r#""request":"trial"#));
        of_trial.filter(|line| line.contains("not run: ")).count() == 2
    })
    .await;
    assert_eq!(engines.bad_runs(), runs, "{responses:?}");
}

/// Guards against a release by an operator that takes effect at one box only.
#[tokio::test]
async fn release_of_a_part_applies_to_all_boxes() {
    let mut engines = start_with_quarantined_part(8).await;
    let (status, text) = engines.send_bad(0, "refused").await;
    let refused = (
        StatusCode::SERVICE_UNAVAILABLE,
        "not_run: ends_endpoints\n".to_owned(),
    );
    assert_eq!((status, text), refused);
    let gateways = &engines.fleet.gateways;
    let named = format!("\"part\":\"{}\"", BAD_PARTS[0]);
    wait_until("a line names the part", async || {
        gateways[0].logged().contains(&named)
    })
    .await;
    let answer = gateways[0].quarantine(None).await.expect("the box answers");
    let [held] = &answer.requests[..] else {
        panic!("one part is in quarantine: {answer:?}")
    };
    assert_eq!((held.kind.as_str(), held.trials), ("part", 0));
    let released = gateways[0].quarantine(Some(held.fingerprint.clone())).await;
    assert_eq!(released.map(|answer| answer.requests.len()), Ok(0));
    engines.wait_until_released().await;
    // A request tries few endpoints that refuse connections, and the homes of the part may all do so.
    engines.replace_ended().await;
    let endpoints = engines.fleet.endpoints.iter();
    endpoints.for_each(RoutedStandIn::clear_crash_bodies);
    let responses = engines.send_bad_to_all("free").await;
    assert!(
        responses
            .iter()
            .all(|(status, _)| *status == StatusCode::OK),
        "{responses:?}"
    );
}

/// Guards against engines that crash after the verdict under prompts that were sent before it.
#[tokio::test]
async fn prompts_without_an_answer_are_withdrawn_at_the_verdict() {
    const ENGINES: usize = 8;
    const MIN_CRASHES: usize = 3;
    const MAX_SENDS: usize = 40;
    /// Longer than callers wait.
    const SLOW: Duration = Duration::from_secs(60);
    let config = route_config(3, KEYS);
    let fleet = GatewayFleet::start(3, &["model"; ENGINES], &config).await;
    let engines = CrashingEngines::new(fleet.expect("a fleet starts on loopback"));
    let endpoints = &engines.fleet.endpoints;
    endpoints
        .iter()
        .for_each(|engine| engine.set_processing_time(SLOW));
    let slow_runs = || endpoints.iter().map(RoutedStandIn::running).sum::<i64>();
    let mut sent = Vec::new();
    for number in 0..MAX_SENDS {
        let crashes = endpoints.iter().filter(|engine| engine.has_ended()).count();
        if crashes >= MIN_CRASHES {
            break;
        }
        if slow_runs() > 0 {
            let idle = endpoints.iter().filter(|engine| engine.running() == 0);
            idle.for_each(|engine| engine.set_processing_time(EVENT_TIME));
        }
        let address = engines.fleet.gateways[number % 3].caller_address();
        // The last shared part differs, so that the prompts are spread over the engines.
        let parts = format!("{}:400,e{number:x}:50,d{number:x}:50", BAD_PARTS[0]);
        let prompt = prompt("/draft/x", "k1", &format!("w{number}"), &parts);
        sent.push(tokio::spawn(async move {
            let mut sender = connect_within(address, ANSWER_TIMEOUT).await?;
            Some(sender.send_request(prompt).await.ok()?.status())
        }));
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let ran_slowly = endpoints.iter().filter(|engine| !engine.has_ended());
    let ran_slowly = ran_slowly.flat_map(RoutedStandIn::ran).count();
    assert!(ran_slowly > 0, "no prompt reached a slow engine");
    for status in futures::future::join_all(sent).await {
        let status = status.expect("no caller panics").expect("the box answers");
        let is_withdrawn = status == StatusCode::BAD_GATEWAY;
        let is_refused = status == StatusCode::SERVICE_UNAVAILABLE;
        assert!(
            is_withdrawn || is_refused,
            "a prompt waited for its answer: {status}"
        );
    }
    wait_until("no withdrawn prompt runs", async || slow_runs() == 0).await;
}
