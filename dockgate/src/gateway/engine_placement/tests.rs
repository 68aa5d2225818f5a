use super::super::placement_goal::PlacementGoal;
use super::*;
use crate::clock::ClockInstant;
use crate::gateway::gateway_state::tests::state_with_seed;
use crate::gateway::settings::GatewaySettings;
use dockgate_core::gateway::{
    EndpointChange, EndpointRecord, EndpointState, EngineLoad, LatencyLimits, RouteConfig,
    SoftwareVersion, StoreRevision, WaitQueue, best_homes,
};
use dockgate_platform::FleetConditions;
use std::collections::BTreeSet;
use std::time::Duration;
use tokio::net::UdpSocket;
use yare::parameterized;

const fn search_for(goal: PlacementGoal) -> EndpointSearch<'static> {
    EndpointSearch {
        tried: &[],
        goal,
        is_replacement: false,
    }
}

#[parameterized(
    many_local = { &[1, 2, 3, 4, 5], &[9, 8], 0, &[1, 2, 3] },
    one_remote_last = { &[1, 2, 3, 4], &[9, 8], 1, &[1, 2, 3, 9] },
    few_local = { &[1], &[9, 8, 7, 6], 0, &[1, 9, 8] },
    few_local_and_one_remote = { &[1, 2], &[9, 8, 7], 1, &[1, 2, 9, 8] },
    none_local = { &[], &[9, 8, 7, 6], 0, &[9, 8, 7] },
    none_at_all = { &[], &[], 1, &[] },
)]
fn homes_in_the_local_domain_come_first(
    local: &[u64],
    remote: &[u64],
    remote_homes: usize,
    homes: &[u64],
) {
    // The parameters are ranks in the order of the subject, not endpoint ids.
    let service = ServiceSpec {
        name: "x".to_owned(),
        connections: 100,
        engine: None,
        warmup: None,
    };
    let prompt = PromptShape {
        model: String::new(),
        input: 100,
        output: 10,
        max_output: 10,
        parts: Vec::new(),
    };
    let beyond = ShareLevel::new(2.0);
    let query = EngineQuery {
        service: &service,
        prompt: &prompt,
        own_subject: 7,
        search: search_for(PlacementGoal::Begin),
        patience_ms: 0,
        level: if remote_homes == 0 {
            beyond
        } else {
            ShareLevel::WITHIN
        },
        wait: None,
    };
    let all = (0..100).map(EndpointId);
    let order = best_homes(7, all, 100, |_| true);
    // Ranks of remote engines count down from 9, the best one first.
    let engine_at = |rank: &u64| match remote.contains(rank) {
        true => order[(10 - *rank) as usize],
        false => order[(*rank + 10) as usize],
    };
    let of_domain = |ranks: &[u64], domain: u32| -> Vec<ReadyEndpoint> {
        let ready = ranks.iter().map(|rank| ReadyEndpoint {
            id: engine_at(rank),
            domain: DomainKey(domain),
            version: SoftwareVersion::UNKNOWN,
        });
        ready.collect()
    };
    let ready = [of_domain(local, 1), of_domain(remote, 2)].concat();
    let weights = HomeWeights::default();
    let found = select_homes(&query, HOMES, &ready, DomainKey(1), &weights, |_| true);
    let expected: Vec<EndpointId> = homes.iter().map(engine_at).collect();
    assert_eq!(found, expected);
}

/// The time limits of a prompt whose first event is due in 600 ms.
pub(in super::super) const LIMITS: LatencyLimits = LatencyLimits {
    objective_ms: 600,
    shortest_objective_ms: 600,
    budget_ms: 6_000,
};

pub(in super::super) fn model_service() -> ServiceSpec {
    ServiceSpec {
        name: "model".to_owned(),
        connections: 2_000,
        engine: Some(EngineSpec {
            slots: 64,
            memory: 232_000,
        }),
        warmup: None,
    }
}

/// Creates the state of a box that owns `count` engines.
pub(in super::super) async fn state_with_engines(count: u64) -> Arc<GatewayState> {
    let datagrams = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let own = datagrams.local_addr().unwrap();
    let state = Arc::new(state_with_seed(datagrams, own));
    let config = RouteConfig {
        version: 1,
        services: vec![model_service()],
        ..RouteConfig::default()
    };
    state.apply_routes(config, "store");
    let engines = (0..count).map(|number| {
        let record = EndpointRecord {
            id: format!("engine-{number}"),
            started_ms: None,
            service: "model".to_owned(),
            address: "10.0.0.1:80".parse().unwrap(),
            domain: "a".to_owned(),
            slots: 64,
            state: EndpointState::Ready,
            warmup_ms: 0,
            version: "v1".to_owned(),
        };
        EndpointChange::Put(record, StoreRevision::from(number + 1))
    });
    state.apply_endpoints(engines.collect(), None, "store");
    state
}

/// Places a burst of prompts with the same shared parts; returns the placements and the number of
/// refusals.
async fn place_burst(
    state: &Arc<GatewayState>,
    count: u64,
    level: ShareLevel,
) -> (Vec<EnginePlacement>, usize) {
    let service = model_service();
    let prompt = PromptShape {
        model: String::new(),
        input: 4_000,
        output: 7,
        max_output: 30,
        parts: vec![PromptPart {
            id: 9,
            tokens: 2_000,
        }],
    };
    let mut placed = Vec::new();
    let mut refused = 0;
    for number in 0..count {
        let query = EngineQuery {
            service: &service,
            prompt: &prompt,
            own_subject: number,
            search: search_for(PlacementGoal::Begin),
            patience_ms: 0,
            level,
            wait: None,
        };
        let request = AdmissionRequest::new(1, &prompt, LIMITS).level(level);
        match find_engine(state, query, &request).await {
            Ok(placement) => placed.push(placement),
            Err(_) => refused += 1,
        }
    }
    (placed, refused)
}

/// Guards against refusals while most engines of a large fleet are idle.
#[tokio::test]
async fn bursts_of_similar_prompts_overflow_to_idle_engines() {
    let state = state_with_engines(200).await;
    let (placed, _) = place_burst(&state, 100, ShareLevel::WITHIN).await;
    let engines: BTreeSet<EndpointId> = placed.iter().map(|placed| placed.target.id).collect();
    assert_eq!(
        engines.len(),
        HOMES_AND_OVERFLOW.shared,
        "all further engines are used"
    );
    let twin = state_with_engines(HOMES.shared as u64).await;
    let (homes_alone, _) = place_burst(&twin, 100, ShareLevel::WITHIN).await;
    assert!(
        placed.len() >= 2 * homes_alone.len(),
        "{} in place of {}",
        placed.len(),
        homes_alone.len()
    );
}

#[tokio::test]
async fn prompts_beyond_the_share_do_not_overflow() {
    let state = state_with_engines(200).await;
    let (placed, refused) = place_burst(&state, 100, ShareLevel::new(2.0)).await;
    let engines: BTreeSet<EndpointId> = placed.iter().map(|placed| placed.target.id).collect();
    assert!(engines.len() <= HOMES.shared && refused > 0);
}

/// Guards against a fleet without free engines that asks all of them for each prompt.
#[tokio::test]
async fn prompts_are_refused_without_further_requests_while_all_engines_are_busy() {
    let state = state_with_engines(200).await;
    let (_placed, _) = place_burst(&state, 400, ShareLevel::WITHIN).await;
    assert!(
        !state.with(|view| view.overflow.try_ask(now_ms())),
        "the budget is used up"
    );
}

/// What becomes of a prompt whose home is full.
#[derive(Debug, Clone, Copy, PartialEq)]
enum FullHomeCase {
    WaitsInTime,
    KnownToBeLate,
    /// It continues a stream, which is not queued.
    Resumed,
}

/// Guards against a prompt that is refused although its home has capacity in time, one that is held
/// although it would be late, and a stream that breaks off as its home is full.
#[parameterized(
    waits_in_time = { FullHomeCase::WaitsInTime },
    known_to_be_late = { FullHomeCase::KnownToBeLate },
    resumed = { FullHomeCase::Resumed },
)]
#[test_macro(tokio::test)]
async fn only_prompts_that_can_be_in_time_wait_at_a_full_home(case: FullHomeCase) {
    let state = state_with_engines(1).await;
    state.set_settings(GatewaySettings {
        conditions: FleetConditions { contended: true },
        ..GatewaySettings::clone(&state.settings())
    });
    let (placed, refused) = place_burst(&state, 30, ShareLevel::WITHIN).await;
    assert!(refused > 0);
    let service = model_service();
    let prompt = PromptShape {
        input: 4_000,
        output: 7,
        ..PromptShape::default()
    };
    let is_late = case == FullHomeCase::KnownToBeLate;
    let window = WaitWindow {
        arrived: ClockInstant::now(),
        objective: Duration::from_millis(if is_late { 240 } else { 60_000 }),
        priority: 1,
    };
    let resumed = case == FullHomeCase::Resumed;
    let goal = match resumed {
        true => PlacementGoal::Resume(SoftwareVersion::from_name("v1")),
        false => PlacementGoal::Begin,
    };
    let query = EngineQuery {
        service: &service,
        prompt: &prompt,
        own_subject: 99,
        search: search_for(goal),
        patience_ms: 0,
        level: ShareLevel::WITHIN,
        wait: (!resumed).then_some(window),
    };
    let waiting =
        || state.with(|view| view.wait_queues.values().map(WaitQueue::len).sum::<usize>());
    let request = AdmissionRequest::new(1, &prompt, LIMITS);
    let free = async {
        while case == FullHomeCase::WaitsInTime && waiting() == 0 {
            tokio::task::yield_now().await;
        }
        drop(placed);
    };
    let (found, ()) = tokio::join!(find_engine(&state, query, &request), free);
    assert_eq!(found.is_ok(), !is_late);
    drop(found);
    let runs = state.with(|view| view.engines.iter().map(EngineLoad::runs).sum::<usize>());
    assert_eq!((waiting(), runs), (0, 0));
}

/// Guards against slow engines that are asked as often as the others.
#[test]
fn engines_are_homes_by_their_weight() {
    let service = model_service();
    let prompt = PromptShape::default();
    let ready = |id| ReadyEndpoint {
        id: EndpointId(id),
        domain: DomainKey(1),
        version: SoftwareVersion::UNKNOWN,
    };
    let ready: Vec<ReadyEndpoint> = (0..40).map(ready).collect();
    let times_home = |weight: f64| {
        let weights = HomeWeights::from_iter([(EndpointId(7), weight)]);
        let subjects = (0..2_000).filter(|subject| {
            let query = EngineQuery {
                service: &service,
                prompt: &prompt,
                own_subject: *subject,
                search: search_for(PlacementGoal::Begin),
                patience_ms: 0,
                level: ShareLevel::WITHIN,
                wait: None,
            };
            let homes = select_homes(&query, HOMES, &ready, DomainKey(1), &weights, |_| true);
            homes.contains(&EndpointId(7))
        });
        subjects.count()
    };
    let [slow, equal, fast] = [0.25, 1.0, 4.0].map(times_home);
    assert!(
        slow * 3 < equal && equal * 2 < fast,
        "{slow} {equal} {fast}"
    );
}

/// Guards against a stream that is refused although its caller would bear the pause, and one that
/// goes on at another software version.
#[parameterized(
    within_the_patience = { "v1", 60_000, true },
    beyond_the_patience = { "v1", 0, false },
    version_not_served = { "v2", 60_000, false },
)]
#[test_macro(tokio::test)]
async fn stream_that_is_taken_up_is_placed_at_a_full_home(
    version: &str,
    patience_ms: u32,
    is_placed: bool,
) {
    let state = state_with_engines(1).await;
    let (_placed, refused) = place_burst(&state, 30, ShareLevel::WITHIN).await;
    assert!(refused > 0);
    let service = model_service();
    let prompt = PromptShape {
        input: 4_000,
        ..PromptShape::default()
    };
    let query = EngineQuery {
        service: &service,
        prompt: &prompt,
        own_subject: 99,
        search: search_for(PlacementGoal::TakeUp(SoftwareVersion::from_name(version))),
        patience_ms,
        level: ShareLevel::WITHIN,
        wait: None,
    };
    let request = AdmissionRequest::new(1, &prompt, LIMITS);
    let found = find_engine(&state, query, &request).await;
    assert_eq!(found.is_ok(), is_placed);
}
