use super::super::gateway_state::tests::state_with_seed;
use super::*;
use dockgate_core::gateway::{LatencyLimits, PromptShape};
use tokio::net::UdpSocket;
use yare::parameterized;

const WORKSPACE: u64 = 7;
const UNITS: u64 = 1_000;

/// How an attempt ends.
enum AttemptEnd {
    Failed,
    Begun,
    FailedAfterBegin,
    CallerLeft,
}

async fn admitted_run() -> (Arc<GatewayState>, RunGuard) {
    let datagrams = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let own = datagrams.local_addr().unwrap();
    let state = Arc::new(state_with_seed(datagrams, own));
    let prompt = PromptShape {
        model: "m".to_owned(),
        input: UNITS as u32,
        output: 0,
        max_output: 0,
        parts: Vec::new(),
    };
    let limits = LatencyLimits {
        objective_ms: 600,
        shortest_objective_ms: 600,
        budget_ms: 4_000,
    };
    let request = AdmissionRequest::new(WORKSPACE, &prompt, limits);
    let endpoint = EndpointId::from_name("e");
    let guard = RunGuard::new(&state, endpoint, 1, state.own_key(), request);
    guard.record_admission(UNITS);
    (state, guard)
}

fn admitted_units(state: &GatewayState) -> u64 {
    let rows = state.with(|view| view.shares.rows(now_ms()));
    rows.iter().map(|row| row.admitted).sum()
}

/// Guards against workspaces that are held back for service which engines never began.
#[parameterized(
    failed = { AttemptEnd::Failed, false },
    begun = { AttemptEnd::Begun, true },
    failed_after_begin = { AttemptEnd::FailedAfterBegin, true },
    caller_left = { AttemptEnd::CallerLeft, true },
)]
fn prompts_count_as_service_unless_they_fail_before_they_begin(end: AttemptEnd, counts: bool) {
    let runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = { runtime }.enable_all().build().unwrap();
    runtime.block_on(async {
        let (state, mut guard) = admitted_run().await;
        assert!(admitted_units(&state) > 0);
        match end {
            AttemptEnd::Failed => guard.record_failure(Some(EndpointOutcome::Unreachable)),
            AttemptEnd::Begun => guard.record_first_event(),
            AttemptEnd::FailedAfterBegin => {
                guard.record_first_event();
                guard.record_failure(Some(EndpointOutcome::Failed));
            }
            AttemptEnd::CallerLeft => {}
        }
        drop(guard);
        assert_eq!(admitted_units(&state) > 0, counts);
    });
}
