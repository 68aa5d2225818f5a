//! Engines of different speed behind a fleet of real processes.

use dockgate_bench::gateway_fleet::{GatewayFleet, GatewayProcess, start_fleet, wait_until};
use dockgate_bench::standin::caller::{call, request, text};
use futures::future::join_all;
use http::HeaderValue;
use std::time::Duration;

const BOXES: usize = 5;
/// The engine that is slower than the two others.
const SLOW: usize = 0;

/// Sends a prompt to each box, with lengths and subjects of their own. The stand-ins prefill
/// prompts side by side, so there is one at a time.
async fn press(fleet: &GatewayFleet, round: usize) {
    for (index, gateway) in fleet.gateways.iter().enumerate() {
        let id = format!("r{round}{index}");
        let tokens = [1_500, 6_000][(round + index) % 2];
        for (number, engine) in fleet.endpoints.iter().enumerate() {
            let slowdown = if number == SLOW { 4 } else { 1 };
            engine.set_processing_time(Duration::from_millis(tokens / 100 * slowdown));
        }
        let mut prompt = request("/live/x", &id, Some(1));
        let headers = prompt.headers_mut();
        let usage = HeaderValue::try_from(format!("{tokens},1"));
        headers.insert("x-token-usage", usage.unwrap());
        let parts = HeaderValue::try_from(format!("a{round}{index}:{},b2:500", tokens - 500));
        headers.insert("x-prefix-hash", parts.unwrap());
        text(call(gateway, prompt).await).await;
    }
}

/// Guards against rates that do not reach the boxes that own none of the engines.
#[tokio::test]
async fn all_boxes_learn_that_an_engine_is_slow() {
    let fleet = start_fleet(BOXES, &["model", "model", "model"]).await;
    let mut round = 0;
    wait_until("all boxes know the weight", async || {
        press(&fleet, round).await;
        round += 1;
        let logs = fleet.gateways.iter().map(GatewayProcess::logged);
        let event = r#""event":"engine_weight","endpoint":"life-0","from":1.0,"to":0."#;
        let is_logged = logs.into_iter().any(|log| log.contains(event));
        let metrics = join_all(fleet.gateways.iter().map(GatewayProcess::metrics)).await;
        let mut metrics = metrics.iter();
        is_logged && metrics.all(|metrics| metrics.contains("dockgate_weighted_engines 1\n"))
    })
    .await;
}
