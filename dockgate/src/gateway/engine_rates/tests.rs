use super::*;
use crate::gateway::datagrams::encode;
use crate::gateway::engine_placement::tests::{LIMITS, model_service, state_with_engines};
use dockgate_core::gateway::{AdmissionRequest, PromptPart, PromptShape};
use dockgate_proto::GatewayDatagram;

const ENGINES: u64 = 6;

fn engine(number: u64) -> EndpointId {
    EndpointId::of_lifetime(&format!("engine-{number}"), None)
}

/// Returns the rates in a heartbeat, and whether the datagram ends with its message.
fn rates_in_heartbeat(state: &GatewayState) -> (Vec<EngineRate>, bool) {
    let heartbeat = state.with(|view| view.fleet.own().clone());
    let shares = Vec::new();
    let message = GatewayMessage::Heartbeat { heartbeat, shares };
    let encoded = encode(state, message.clone()).unwrap();
    let plain = GatewayDatagram {
        from: state.own_key(),
        incarnation: state.incarnation(),
        message,
        evacuations: Vec::new(),
        rates: Vec::new(),
    };
    let is_plain = plain.encode().unwrap() == encoded.bytes();
    let rates = GatewayDatagram::decode(encoded.bytes()).unwrap().rates;
    (rates, is_plain)
}

/// Lets an engine prefill one prompt after the other, in `slowdown` times 10 ms per 1,000 tokens.
fn prefill(state: &GatewayState, endpoint: EndpointId, slowdown: u64) {
    let spec = model_service().engine.unwrap();
    for number in 0..60 {
        let input = [2_000, 8_000][number as usize % 2];
        let part = PromptPart {
            id: u64::from(number),
            tokens: input,
        };
        let prompt = PromptShape {
            input,
            parts: vec![part],
            ..PromptShape::default()
        };
        let request = AdmissionRequest::new(1, &prompt, LIMITS);
        let key = state.run_key(number);
        let placed_ms = 1_000 + 600 * u64::from(number);
        let took_ms = 20 + u64::from(input) / 100 * slowdown;
        state.with(|view| {
            let load = view.engines.load_mut(endpoint, spec);
            load.place(key, &request, placed_ms);
            load.start(key, placed_ms + took_ms, true);
            load.end(key);
        });
    }
}

/// Guards against weights or additional bytes in a fleet of equal engines, and against an engine
/// whose speed is not reported.
#[tokio::test]
async fn rates_are_reported_once_an_engine_is_slower_than_the_others() {
    let state = state_with_engines(ENGINES).await;
    (0..ENGINES).for_each(|number| prefill(&state, engine(number), 1));
    update_weights(&state);
    assert!(state.with(|view| view.engine_weights.homes().is_uniform()));
    assert_eq!(rates_in_heartbeat(&state), (Vec::new(), true));

    let state = state_with_engines(ENGINES).await;
    (1..ENGINES).for_each(|number| prefill(&state, engine(number), 1));
    prefill(&state, engine(0), 4);
    update_weights(&state);
    let (rates, is_plain) = rates_in_heartbeat(&state);
    assert_eq!((rates.len(), is_plain), (ENGINES as usize, false));
    let weight = |number| state.with(|view| view.engine_weights.homes().get(engine(number)));
    assert!(weight(0) < 0.5 && weight(1) == 1.0, "{}", weight(0));
}

/// Guards against reports on unknown endpoints and against received rates that have no effect.
#[tokio::test]
async fn received_rates_of_known_engines_become_weights() {
    let state = state_with_engines(ENGINES).await;
    let row = |endpoint, step| EngineRate {
        endpoint,
        step,
        counter: 1,
        age_ds: 0,
    };
    let mut rates: Vec<EngineRate> = (0..ENGINES).map(|number| row(engine(number), 20)).collect();
    rates[0].step = 12;
    rates.push(row(EndpointId(1), 4));
    receive_rates(&state, &rates);
    update_weights(&state);
    let weights = state.with(|view| view.engine_weights.homes().clone());
    let weights: Vec<(EndpointId, f64)> = weights.iter().collect();
    assert_eq!(weights, [(engine(0), 0.25)]);
}
