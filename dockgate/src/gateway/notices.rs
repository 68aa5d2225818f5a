//! Takes in what endpoints say of themselves in their answers.

use super::events::{GatewayEvent, log_gateway};
use super::gateway_metrics::GATEWAY_METRICS;
use super::gateway_state::GatewayState;
use super::upstream::EndpointTarget;
use crate::clock::now_ms;
use dockgate_core::gateway::{EndpointNotice, NoticeNews};

/// Takes in what the answer to `request` says of its endpoint.
pub(super) fn hear(
    state: &GatewayState,
    target: &EndpointTarget,
    request: &str,
    notice: EndpointNotice,
) {
    if notice.is_empty() {
        return;
    }
    GATEWAY_METRICS.note_notice(notice);
    let news = state.with(|beliefs| beliefs.endpoints.hear(target.id, notice, now_ms()));
    let endpoint = &target.name;
    for news in news {
        log_gateway(&match news {
            NoticeNews::Leaves => GatewayEvent::EndpointLeaves { endpoint, request },
            NoticeNews::Rests(rest) => GatewayEvent::EndpointRests {
                endpoint,
                request,
                for_ms: rest.as_millis() as u64,
            },
        });
    }
}

/// Counts a send to an endpoint that has told this box not to.
pub(super) fn note_send(state: &GatewayState, target: &EndpointTarget) {
    let now = now_ms();
    let (leaves, rests) = state.with(|beliefs| {
        let notices = beliefs.endpoints.notices();
        let rests = notices.rest_until_ms(target.id, now).is_some();
        (notices.leaves(target.id), rests)
    });
    if leaves {
        GATEWAY_METRICS.note_late_send("leaves");
    }
    if rests {
        GATEWAY_METRICS.note_late_send("rest");
    }
}
