//! Streams that callers take up after the boxes which knew their versions are gone, in a release.
//!
//! Guards against streams that hold events of two versions, and against streams that are refused
//! although endpoints of their version serve.

use dockgate_bench::gateway_fleet::{GatewayFleet, GatewayProcess, KEYS, route_config, wait_until};
use dockgate_bench::standin::{ResumedStream, StreamShape};
use dockgate_platform::{ENDPOINT_KEY_PREFIX, VERSIONS_KEY};
use futures::future::join_all;
use hyper::body::Bytes;
use nix::sys::signal::Signal;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use yare::parameterized;

use ReleaseStep::{
    BeginAgain, Delay, Freeze, Join, Kill, Outage, RemoveFirst, RemoveSecond, Start, TakeUp, Wait,
    Wake,
};

/// Streams of one test, fewer than the slots of the endpoints.
const STREAMS: u64 = 30;
/// Callers that begin one stream after the other, fewer than the slots of the endpoints of a version.
const RELEASE_CALLERS: u64 = 32;
/// The endpoints of each version in a release.
const RELEASE_ENDPOINTS: usize = 5;
/// Lets streams of all ages run before a release.
const FIRST_STEP: ReleaseStep = Wait(3_300);
/// Streams that begin while the others are taken up.
const NEW_STREAMS: u64 = 12;
const LONG_STREAM: StreamShape = StreamShape {
    events: 60,
    budget_ms: 4_000,
};
const SHORT_STREAM: StreamShape = StreamShape {
    events: 4,
    budget_ms: 4_000,
};
/// Time between the events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(50);
/// The number of requests with which a caller begins a stream, and with which it takes one up.
const MAX_TRIES: usize = 12;
const TRY_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which a caller considers an answer lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// The age from which streams count as taken up.
const COUNTED_AGE: Duration = Duration::from_secs(1);
/// The least number of streams taken up from which their share counts.
const COUNTED_STREAMS: usize = 12;
/// The timeout of the route of streams.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(4);

/// What became of the streams.
#[derive(Debug, Default)]
struct PlayOutcome {
    /// Streams that hold events of two versions, or not each event once.
    violations: Vec<String>,
    /// Streams of a version that serves which their callers took up, and those that went on.
    taken_up: usize,
    went_on: usize,
    new: usize,
    begun: usize,
    /// Refusals of requests that took up a stream.
    refusals: BTreeMap<String, usize>,
}

impl PlayOutcome {
    /// Counts streams; `cut_at` is when their boxes ended, and `served` lists the versions that
    /// serve.
    fn of(streams: &[ResumedStream], cut_at: Instant, served: &[&str]) -> Self {
        let mut outcome = Self::default();
        for stream in streams.iter().filter(|stream| stream.tries > 0) {
            outcome.count(stream);
            if is_counted(stream, cut_at, served) {
                outcome.taken_up += 1;
                outcome.went_on += usize::from(stream.continued > 0);
            }
        }
        outcome
    }

    /// Counts what was wrong with a stream, and the refusals of its requests.
    fn count(&mut self, stream: &ResumedStream) {
        self.violations.extend(stream.violations());
        for (reason, count) in &stream.refusals {
            *self.refusals.entry(reason.clone()).or_default() += count;
        }
    }

    fn count_new(&mut self, streams: &[ResumedStream]) {
        self.new += streams.len();
        let begun = streams.iter().filter(|stream| stream.began_at.is_some());
        self.begun += begun.count();
    }

    fn assert_not_mixed(&self) {
        println!("{self:?}");
        let count = self.violations.len();
        assert_eq!(count, 0, "streams with wrong events: {self:?}");
    }

    /// Asserts that the share of the streams that went on is at least half of the share of new ones
    /// that began.
    fn assert_not_refused(&self) {
        assert!(
            self.taken_up >= COUNTED_STREAMS,
            "too few streams: {self:?}"
        );
        let is_enough = 2 * self.went_on * self.new >= self.begun * self.taken_up;
        assert!(is_enough, "too few streams went on: {self:?}");
    }
}

/// Returns whether a stream had run for a while when its box ended, at a version that serves.
fn is_counted(stream: &ResumedStream, cut_at: Instant, served: &[&str]) -> bool {
    let mut served = served.iter();
    let is_served = served.any(|version| stream.versions.contains(*version));
    let began_at = stream.began_at;
    is_served && began_at.is_some_and(|began_at| began_at + COUNTED_AGE <= cut_at)
}

/// Callers whose streams run, and who take them up once they may.
struct StreamCallers {
    may_retry: watch::Sender<bool>,
    callers: Vec<JoinHandle<ResumedStream>>,
}

impl StreamCallers {
    /// Spawns callers, each at the box after that of the caller before.
    fn start(fleet: &GatewayFleet, shape: StreamShape, numbers: std::ops::Range<u64>) -> Self {
        let may_retry = watch::channel(false).0;
        let boxes = addresses(fleet);
        let callers = numbers.map(|number| {
            let stream = ResumedStream::new(shape, number);
            tokio::spawn(run_caller(
                stream,
                number,
                boxes.clone(),
                may_retry.subscribe(),
            ))
        });
        let callers = callers.collect();
        Self { may_retry, callers }
    }

    /// Lets the callers take up their streams, and returns the streams.
    async fn take_up(self) -> Vec<ResumedStream> {
        self.may_retry.send_replace(true);
        let streams = join_all(self.callers).await;
        streams.into_iter().map(|stream| stream.unwrap()).collect()
    }
}

fn addresses(fleet: &GatewayFleet) -> Vec<SocketAddr> {
    let boxes = fleet.gateways.iter();
    boxes.map(GatewayProcess::caller_address).collect()
}

/// Begins a stream, and takes it up at one box after the other once its caller may.
async fn run_caller(
    mut stream: ResumedStream,
    number: u64,
    boxes: Vec<SocketAddr>,
    mut may_retry: watch::Receiver<bool>,
) -> ResumedStream {
    for attempt in 0..=MAX_TRIES {
        let address = boxes[(number as usize + attempt) % boxes.len()];
        try_once(
            &mut stream,
            format!("s{number}t{attempt}"),
            address,
            u64::MAX >> 1,
        )
        .await;
        may_retry.wait_for(|may_retry| *may_retry).await.unwrap();
        if stream.is_whole() {
            break;
        }
        tokio::time::sleep(TRY_INTERVAL).await;
    }
    stream
}

/// Sends one request for a stream and reads up to `leave_after` events.
async fn try_once(stream: &mut ResumedStream, id: String, address: SocketAddr, leave_after: u64) {
    let attempt = stream.attempt(id, address, leave_after);
    // A lost answer is taken up with the next request.
    let _ = tokio::time::timeout(ANSWER_TIMEOUT, attempt).await;
}

/// Begins new streams at all boxes and returns them.
async fn begin_new_streams(fleet: &GatewayFleet) -> Vec<ResumedStream> {
    let numbers = STREAMS..STREAMS + NEW_STREAMS;
    StreamCallers::start(fleet, SHORT_STREAM, numbers)
        .take_up()
        .await
}

/// Lets callers take up their streams while new ones begin; `cut_at` is when their boxes ended.
async fn play_take_up(
    fleet: &GatewayFleet,
    callers: StreamCallers,
    cut_at: Instant,
    served: &[&str],
) -> PlayOutcome {
    let (streams, new) = tokio::join!(callers.take_up(), begin_new_streams(fleet));
    let mut outcome = PlayOutcome::of(&streams, cut_at, served);
    outcome.count_new(&new);
    outcome
}

/// Starts boxes and some endpoints of v1.
async fn start_first_version(domains: &[&str], endpoints: usize) -> GatewayFleet {
    let config = route_config(3, KEYS);
    let fleet = GatewayFleet::start_in(domains, &vec!["model"; endpoints], &config).await;
    let fleet = fleet.unwrap();
    prepare_endpoints(&fleet);
    fleet
}

fn prepare_endpoints(fleet: &GatewayFleet) {
    for endpoint in &fleet.endpoints {
        endpoint.set_processing_time(EVENT_INTERVAL);
        endpoint.name_version_in_events();
    }
}

/// Starts three endpoints of v2.
async fn add_second_version(fleet: &mut GatewayFleet) {
    fleet.add_version("v2", 3).await.unwrap();
    prepare_endpoints(fleet);
}

/// Guards against streams that are refused although their version serves, after no box is left that
/// knew where they began.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_are_not_refused_after_all_boxes_were_killed_in_a_release() {
    let mut fleet = start_first_version(&["a"; 6], 3).await;
    add_second_version(&mut fleet).await;
    let callers = StreamCallers::start(&fleet, LONG_STREAM, 0..STREAMS);
    tokio::time::sleep(Duration::from_millis(1_800)).await;
    let cut_at = Instant::now();
    fleet.restart_all().await.unwrap();
    let outcome = play_take_up(&fleet, callers, cut_at, &["v1", "v2"]).await;
    outcome.assert_not_mixed();
    outcome.assert_not_refused();
}

/// One step of a release in which boxes are killed.
#[derive(Debug, Clone, Copy)]
enum ReleaseStep {
    /// Lets a time pass, in milliseconds.
    Wait(u64),
    /// The endpoints of v2 join.
    Join,
    /// Removes the records of this many endpoints of v1, which go on with their runs.
    RemoveFirst(usize),
    /// Removes the records of all endpoints of v2.
    RemoveSecond,
    /// Sets the delay of each call of the store, in milliseconds.
    Delay(u64),
    /// Begins or ends an outage of the store.
    Outage(bool),
    /// Freezes the boxes of a failure domain.
    Freeze(&'static str),
    /// Lets all frozen boxes run.
    Wake,
    /// Kills all boxes that are not frozen.
    Kill,
    /// Starts the boxes that were killed.
    Start,
    /// Lets callers begin streams again once all boxes that are not frozen are ready.
    BeginAgain,
    /// Lets callers take up their streams once all boxes that are not frozen are ready.
    TakeUp,
}

/// What callers do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallerPhase {
    /// They begin one stream after the other.
    Begin,
    /// They wait until boxes run again.
    Wait,
    /// They take up the stream that was cut.
    TakeUp,
}

/// A stream of a caller that begins one after the other.
struct CallerStream {
    stream: ResumedStream,
    /// When its last request was sent.
    tried_at: Instant,
    /// When the last request was sent that took it up and brought events.
    continued_at: Option<Instant>,
}

impl CallerStream {
    fn new(subject: u64) -> Self {
        Self {
            stream: ResumedStream::new(LONG_STREAM, subject),
            tried_at: Instant::now(),
            continued_at: None,
        }
    }

    async fn try_at(&mut self, id: String, address: SocketAddr) {
        let continued = self.stream.continued;
        self.tried_at = Instant::now();
        try_once(&mut self.stream, id, address, u64::MAX >> 1).await;
        if self.stream.continued > continued {
            self.continued_at = Some(self.tried_at);
        }
    }
}

/// Begins streams until boxes are killed, and takes up the one that was cut.
async fn run_release_caller(
    number: u64,
    boxes: Vec<SocketAddr>,
    mut phases: watch::Receiver<CallerPhase>,
) -> Vec<CallerStream> {
    // Streams begin at different times, so that some are old whenever boxes are killed.
    let stream_ms = LONG_STREAM.events * EVENT_INTERVAL.as_millis() as u64;
    tokio::time::sleep(Duration::from_millis(stream_ms * number / RELEASE_CALLERS)).await;
    let mut streams = vec![CallerStream::new(number)];
    let (mut attempt, mut tries) = (0, 0);
    loop {
        let phase = phases.wait_for(|phase| *phase != CallerPhase::Wait).await;
        let phase = *phase.unwrap();
        let count = streams.len() as u64;
        let last = streams.last_mut().expect("a caller has a stream");
        let has_begun = last.stream.began_at.is_some();
        match phase {
            CallerPhase::TakeUp if last.stream.is_whole() || !has_begun || tries == MAX_TRIES => {
                return streams;
            }
            CallerPhase::Begin if last.stream.is_whole() => {
                streams.push(CallerStream::new(number + RELEASE_CALLERS * count));
            }
            _ => {}
        }
        let last = streams.last_mut().expect("a caller has a stream");
        let address = boxes[(number as usize + attempt) % boxes.len()];
        last.try_at(format!("r{number}t{attempt}"), address).await;
        attempt += 1;
        tries = match *phases.borrow() {
            CallerPhase::TakeUp => tries + 1,
            CallerPhase::Begin | CallerPhase::Wait => 0,
        };
        if !last.stream.is_whole() {
            tokio::time::sleep(TRY_INTERVAL).await;
        }
    }
}

/// A release while callers receive streams.
struct ReleasePlay {
    fleet: GatewayFleet,
    domains: &'static [&'static str],
    phases: watch::Sender<CallerPhase>,
    callers: Vec<JoinHandle<Vec<CallerStream>>>,
    /// The boxes that are frozen, and those that are killed.
    frozen: BTreeSet<usize>,
    killed: BTreeSet<usize>,
    /// When boxes were killed last.
    cut_at: Instant,
}

impl ReleasePlay {
    /// Starts boxes, endpoints of v1 and callers whose streams run.
    async fn start(domains: &'static [&'static str]) -> Self {
        let fleet = start_first_version(domains, RELEASE_ENDPOINTS).await;
        let phases = watch::channel(CallerPhase::Begin).0;
        let boxes = addresses(&fleet);
        let callers = (0..RELEASE_CALLERS).map(|number| {
            let caller = run_release_caller(number, boxes.clone(), phases.subscribe());
            tokio::spawn(caller)
        });
        let callers = callers.collect();
        Self {
            fleet,
            domains,
            phases,
            callers,
            frozen: BTreeSet::new(),
            killed: BTreeSet::new(),
            cut_at: Instant::now(),
        }
    }

    async fn run(&mut self, step: ReleaseStep) {
        match step {
            ReleaseStep::Wait(time_ms) => tokio::time::sleep(Duration::from_millis(time_ms)).await,
            ReleaseStep::Join => self.join().await,
            ReleaseStep::RemoveFirst(count) => {
                for endpoint in &self.fleet.endpoints[..count] {
                    self.fleet.store.remove(&endpoint.record("a", "ready").0);
                }
            }
            ReleaseStep::RemoveSecond => self.fleet.remove_version("v2"),
            ReleaseStep::Outage(unavailable) => self.fleet.store.set_unavailable(unavailable),
            ReleaseStep::Delay(time_ms) => {
                self.fleet.store.set_delay(Duration::from_millis(time_ms));
            }
            ReleaseStep::Freeze(domain) => self.freeze(domain),
            ReleaseStep::Wake => {
                for index in std::mem::take(&mut self.frozen) {
                    self.fleet.gateways[index].signal(Signal::SIGCONT);
                }
            }
            ReleaseStep::Kill => self.kill(),
            ReleaseStep::Start => {
                for index in std::mem::take(&mut self.killed) {
                    self.fleet.gateways[index].restart().unwrap();
                }
            }
            ReleaseStep::BeginAgain => self.resume_callers(CallerPhase::Begin).await,
            ReleaseStep::TakeUp => self.resume_callers(CallerPhase::TakeUp).await,
        }
    }

    async fn join(&mut self) {
        for number in 0..RELEASE_ENDPOINTS {
            let id = format!("v2-{number}");
            let added = self.fleet.add_endpoint_of_version("v2", &id, "model").await;
            added.unwrap();
        }
        prepare_endpoints(&self.fleet);
    }

    fn freeze(&mut self, domain: &str) {
        let boxes = self.domains.iter().enumerate();
        let boxes = boxes.filter(|(_, of_box)| **of_box == domain);
        self.frozen.extend(boxes.map(|(index, _)| index));
        for index in &self.frozen {
            self.fleet.gateways[*index].signal(Signal::SIGSTOP);
        }
    }

    fn kill(&mut self) {
        self.phases.send_replace(CallerPhase::Wait);
        self.cut_at = Instant::now();
        let frozen = &self.frozen;
        let boxes = self.fleet.gateways.iter_mut().enumerate();
        for (index, gateway) in boxes.filter(|(index, _)| !frozen.contains(index)) {
            gateway.kill();
            self.killed.insert(index);
        }
    }

    async fn resume_callers(&self, phase: CallerPhase) {
        let boxes = self.fleet.gateways.iter().enumerate();
        for (_, gateway) in boxes.filter(|(index, _)| !self.frozen.contains(index)) {
            wait_until("a box is ready", async || gateway.is_ready().await).await;
        }
        self.phases.send_replace(phase);
    }

    /// Waits until all callers have taken up their streams while new ones begin; `served` lists the
    /// versions of which two endpoints serve.
    async fn finish(self, served: &[&str]) -> PlayOutcome {
        let (streams, new) = tokio::join!(join_all(self.callers), begin_new_streams(&self.fleet));
        let mut outcome = PlayOutcome::default();
        for caller in streams.into_iter().flat_map(Result::unwrap) {
            outcome.count(&caller.stream);
            let is_taken_up = caller.tried_at >= self.cut_at && caller.stream.tries > 0;
            if is_taken_up && is_counted(&caller.stream, self.cut_at, served) {
                outcome.taken_up += 1;
                let went_on = caller.continued_at >= Some(self.cut_at);
                outcome.went_on += usize::from(went_on);
            }
        }
        outcome.count_new(&new);
        outcome
    }
}

/// Guards against streams that go on at another version, and against streams that are refused
/// although their version serves. Without versions that serve, refusals are correct.
#[parameterized(
    killed_100_ms_after_the_join = { &["a"; 3], &["v1", "v2"], &[Join, Wait(100), Kill, Start, TakeUp] },
    killed_500_ms_after_the_join = { &["a"; 6], &["v1", "v2"], &[Join, Wait(500), Kill, Start, TakeUp] },
    killed_2_s_after_the_join = {
        &["a", "a", "b", "b", "c", "c"], &["v1", "v2"], &[Join, Wait(2_000), Kill, Start, TakeUp]
    },
    killed_10_s_after_the_join = {
        &["a", "a", "b"], &["v1", "v2"], &[Join, Wait(10_000), Kill, Start, TakeUp]
    },
    killed_at_a_single_box = { &["a"], &["v1", "v2"], &[Join, Wait(2_500), Kill, Start, TakeUp] },
    killed_while_two_of_the_first_version_are_left = {
        &["a", "a", "b"], &["v1", "v2"],
        &[Join, Wait(2_000), RemoveFirst(3), Wait(300), Kill, Start, TakeUp]
    },
    killed_just_after_the_first_version_was_removed = {
        &["a"; 3], &[],
        &[Join, Wait(2_000), RemoveFirst(5), Wait(200), Kill, Start, TakeUp]
    },
    killed_some_time_after_the_first_version_was_removed = {
        &["a", "a", "b"], &["v2"],
        &[Join, Wait(2_000), RemoveFirst(5), Wait(4_000), Kill, Start, TakeUp]
    },
    killed_twice = {
        &["a", "a", "b"], &["v1", "v2"],
        &[Join, Wait(2_000), Kill, Start, TakeUp, Wait(500), Kill, Start, TakeUp]
    },
    killed_again_before_the_second_version_is_admitted = {
        &["a", "a", "b"], &["v1", "v2"],
        &[
            Join, Wait(300), Kill, Delay(300), Start, BeginAgain, Wait(350), Kill, Start, BeginAgain,
            Wait(350), Kill, Delay(0), Start, TakeUp,
        ]
    },
    killed_beside_a_frozen_domain = {
        &["a", "a", "b"], &["v1", "v2"],
        &[Join, Wait(2_500), Freeze("b"), Wait(200), Kill, Start, TakeUp, Wait(1_000), Wake]
    },
    killed_while_the_store_is_unavailable = {
        &["a"; 3], &[],
        &[Join, Outage(true), Wait(2_500), Kill, Start, Wait(1_000), Outage(false), TakeUp]
    },
    second_version_joined_while_all_were_down = {
        &["a"; 3], &["v1"], &[Wait(2_000), Kill, Join, Start, Wait(2_000), TakeUp]
    },
    second_version_gone_while_all_were_down = {
        &["a"; 3], &["v1"], &[Join, Wait(1_300), Kill, RemoveSecond, Start, TakeUp]
    },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn streams_are_neither_mixed_nor_refused_after_boxes_were_killed(
    domains: &'static [&'static str],
    served: &[&str],
    steps: &[ReleaseStep],
) {
    let mut play = ReleasePlay::start(domains).await;
    play.run(FIRST_STEP).await;
    for step in steps {
        play.run(*step).await;
    }
    let outcome = play.finish(served).await;
    outcome.assert_not_mixed();
    if !served.is_empty() {
        outcome.assert_not_refused();
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum StoredVersions {
    /// The value is removed.
    Missing,
    /// Another writer replaced the value.
    Replaced(&'static [u8]),
    /// The store is restored from a copy of the time before v2 joined, and the records of v2 come
    /// back.
    Older,
    /// The same, and the records of v2 come back only after streams were taken up.
    OlderWithoutRecords,
}

/// Guards against boxes that take versions which they cannot know of for versions that never were.
#[parameterized(
    removed = { StoredVersions::Missing },
    no_text = { StoredVersions::Replaced(b"\xff\xfe\x00") },
    a_number_below_zero = {
        StoredVersions::Replaced(br#"{"versions":[{"service":-1,"version":2}]}"#)
    },
    no_versions = { StoredVersions::Replaced(br#"{"versions":[]}"#) },
    older_copy = { StoredVersions::Older },
    older_copy_without_records = { StoredVersions::OlderWithoutRecords },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn streams_are_not_mixed_when_the_stored_versions_are_missing(stored: StoredVersions) {
    let mut fleet = start_first_version(&["a"; 6], 3).await;
    wait_until("the versions are in the store", async || {
        fleet.store.keys().iter().any(|key| key == VERSIONS_KEY)
    })
    .await;
    let older = fleet.store.snapshot();
    add_second_version(&mut fleet).await;
    let callers = StreamCallers::start(&fleet, LONG_STREAM, 0..STREAMS);
    tokio::time::sleep(Duration::from_millis(1_800)).await;
    let cut_at = Instant::now();
    fleet.kill_all();
    match stored {
        StoredVersions::Missing => fleet.store.remove(VERSIONS_KEY),
        StoredVersions::Replaced(bytes) => fleet.store.set(VERSIONS_KEY, Bytes::from_static(bytes)),
        StoredVersions::Older | StoredVersions::OlderWithoutRecords => fleet.store.restore(older),
    }
    match stored {
        StoredVersions::OlderWithoutRecords => {}
        _ => {
            fleet.publish_version("v2");
            fleet.remove_version("v1");
        }
    }
    fleet.start_all().await.unwrap();
    let outcome = play_take_up(&fleet, callers, cut_at, &[]).await;
    outcome.assert_not_mixed();
}

/// How one box does not hear of the second version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DeafBox {
    /// It is frozen as the version joins, and the store does not answer it.
    Frozen,
    /// It is frozen as the version joins, and the store answers it afterwards.
    FrozenWithStore,
    /// It is alone in its domain, and its watches tell nothing.
    MuteWatch,
}

/// What the other boxes do once streams have begun.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum OtherBoxes {
    Killed,
    /// Frozen to the end.
    Frozen,
    /// Frozen for a time within which the streams are taken up.
    FrozenFor(Duration),
    /// Killed just after the box that is asked wakes.
    KilledAfterWake,
}

/// A service with one version for as long as a stream can be taken up, before a second one joins of
/// which one box does not hear. Streams are taken up at that box.
struct LonelyBox {
    fleet: GatewayFleet,
    deaf: DeafBox,
    /// A box that follows the store, where the streams begin.
    first: usize,
    /// The box that is asked.
    asked: usize,
}

impl LonelyBox {
    async fn start(deaf: DeafBox) -> Self {
        let domains = match deaf {
            DeafBox::Frozen | DeafBox::FrozenWithStore => ["a"; 6],
            DeafBox::MuteWatch => ["a", "a", "a", "a", "a", "b"],
        };
        let fleet = start_first_version(&domains, 3).await;
        tokio::time::sleep(2 * ROUTE_TIMEOUT + Duration::from_secs(1)).await;
        let followers = fleet.find_followers(5).await;
        let first = followers.iter().position(|follows| *follows).unwrap();
        let asked = match deaf {
            DeafBox::Frozen | DeafBox::FrozenWithStore => {
                followers.iter().position(|follows| !*follows).unwrap()
            }
            DeafBox::MuteWatch => domains.len() - 1,
        };
        Self {
            fleet,
            deaf,
            first,
            asked,
        }
    }

    fn asked_box(&self) -> &GatewayProcess {
        &self.fleet.gateways[self.asked]
    }

    /// Lets the second version join, and begins streams until `time` after the first one of it;
    /// their callers leave after the second event.
    async fn begin_streams(&mut self, time: Duration) -> Vec<ResumedStream> {
        const BEGIN_INTERVAL: Duration = Duration::from_millis(10);
        let listener = &self.fleet.store_listeners[self.asked];
        match self.deaf {
            DeafBox::MuteWatch => listener.set_loses_answers(ENDPOINT_KEY_PREFIX, true),
            DeafBox::Frozen => listener.set_silent(true),
            DeafBox::FrozenWithStore => {}
        }
        if self.deaf != DeafBox::MuteWatch {
            self.asked_box().signal(Signal::SIGSTOP);
        }
        for number in 0..3 {
            let id = format!("v2-{number}");
            let added = self.fleet.add_endpoint_of_version("v2", &id, "model").await;
            added.unwrap();
        }
        prepare_endpoints(&self.fleet);
        let address = self.fleet.gateways[self.first].caller_address();
        let mut callers = Vec::new();
        let mut first_run = None;
        wait_until("streams begin at the second version", async || {
            let number = callers.len() as u64;
            let mut stream = ResumedStream::new(LONG_STREAM, number);
            callers.push(tokio::spawn(async move {
                try_once(&mut stream, format!("s{number}"), address, 2).await;
                stream
            }));
            tokio::time::sleep(BEGIN_INTERVAL).await;
            let mut of_second = self.fleet.endpoints[3..].iter();
            if first_run.is_none() && of_second.any(|second| !second.ran().is_empty()) {
                first_run = Some(Instant::now());
            }
            first_run.is_some_and(|first_run| first_run.elapsed() >= time)
        })
        .await;
        let streams = join_all(callers).await;
        streams.into_iter().map(Result::unwrap).collect()
    }

    fn silence(&mut self, others: OtherBoxes) {
        let asked = self.asked;
        let boxes = self.fleet.gateways.iter_mut().enumerate();
        let boxes = boxes.filter(|(index, _)| *index != asked);
        boxes.for_each(|(_, gateway)| match others {
            OtherBoxes::Killed | OtherBoxes::KilledAfterWake => gateway.kill(),
            OtherBoxes::Frozen | OtherBoxes::FrozenFor(_) => gateway.signal(Signal::SIGSTOP),
        });
    }

    async fn wake_all_after(&self, time: Duration) {
        tokio::time::sleep(time).await;
        for gateway in &self.fleet.gateways {
            gateway.signal(Signal::SIGCONT);
        }
    }

    /// Takes up streams at the box that is asked, several times each.
    async fn take_up(&self, streams: Vec<ResumedStream>) -> Vec<ResumedStream> {
        /// The number of requests with which a stream is taken up; the others wake meanwhile.
        const ASKED_TRIES: usize = 8;
        let address = self.asked_box().caller_address();
        let begun = streams
            .into_iter()
            .filter(|stream| stream.began_at.is_some());
        let taken_up = begun.enumerate().map(async |(number, mut stream)| {
            for attempt in 0..ASKED_TRIES {
                if stream.is_whole() {
                    break;
                }
                try_once(&mut stream, format!("s{number}t{attempt}"), address, 3).await;
                tokio::time::sleep(TRY_INTERVAL).await;
            }
            stream
        });
        join_all(taken_up).await
    }

    /// Begins streams until `time` after the first one of the second version, lets the other boxes
    /// fall silent and takes the streams up.
    async fn play(mut self, time: Duration, others: OtherBoxes) {
        /// Time for which all boxes run after the one that is asked has woken.
        const SHARED_TIME: Duration = Duration::from_millis(20);
        let streams = self.begin_streams(time).await;
        if others == OtherBoxes::KilledAfterWake {
            self.asked_box().signal(Signal::SIGCONT);
            tokio::time::sleep(SHARED_TIME).await;
        }
        let cut_at = Instant::now();
        self.silence(others);
        self.asked_box().signal(Signal::SIGCONT);
        let waking = async {
            if let OtherBoxes::FrozenFor(time) = others {
                self.wake_all_after(time).await;
            }
        };
        let (streams, ()) = tokio::join!(self.take_up(streams), waking);
        let outcome = PlayOutcome::of(&streams, cut_at, &["v1", "v2"]);
        outcome.assert_not_mixed();
        let of_second = streams
            .iter()
            .filter(|stream| stream.versions.contains("v2"));
        assert!(
            of_second.count() > 0,
            "no stream began at the second version"
        );
    }
}

/// Guards against a box that takes silence for consent: it has not heard of the version, and no
/// other box answers.
#[parameterized(
    killed_after_200_ms = { DeafBox::Frozen, 200, OtherBoxes::Killed },
    killed_after_600_ms = { DeafBox::Frozen, 600, OtherBoxes::Killed },
    frozen_after_200_ms = { DeafBox::Frozen, 200, OtherBoxes::Frozen },
    frozen_after_600_ms = { DeafBox::Frozen, 600, OtherBoxes::Frozen },
    mute_watch_killed_after_50_ms = { DeafBox::MuteWatch, 50, OtherBoxes::Killed },
    mute_watch_killed_after_200_ms = { DeafBox::MuteWatch, 200, OtherBoxes::Killed },
    mute_watch_frozen_after_200_ms = { DeafBox::MuteWatch, 200, OtherBoxes::Frozen },
    wakes_after_1_s = { DeafBox::Frozen, 1_000, OtherBoxes::KilledAfterWake },
    wakes_after_2_s = { DeafBox::Frozen, 2_000, OtherBoxes::KilledAfterWake },
    wakes_after_4_s = { DeafBox::Frozen, 4_000, OtherBoxes::KilledAfterWake },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn stream_is_not_continued_at_a_box_whose_peers_do_not_answer(
    deaf: DeafBox,
    begin_ms: u64,
    others: OtherBoxes,
) {
    let lonely = LonelyBox::start(deaf).await;
    lonely.play(Duration::from_millis(begin_ms), others).await;
}

/// Guards against the same at a box that reaches the store, until the others wake.
#[parameterized(
    after_100_ms = { 100 },
    after_300_ms = { 300 },
    after_600_ms = { 600 },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 2))]
async fn stream_is_not_continued_at_a_box_whose_peers_are_frozen(begin_ms: u64) {
    /// Time for which the other boxes are frozen.
    const FROZEN_TIME: Duration = Duration::from_millis(1_500);
    let lonely = LonelyBox::start(DeafBox::FrozenWithStore).await;
    let others = OtherBoxes::FrozenFor(FROZEN_TIME);
    lonely.play(Duration::from_millis(begin_ms), others).await;
}
