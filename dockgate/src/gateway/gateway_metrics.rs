//! Counters and histograms of a gateway, in addition to the daemon's metrics. Its gauges are in
//! `gateway_gauges`.

use crate::metrics::METRICS;
use dockgate_core::gateway::{EndpointNotice, WaitOutcome};
use prometheus::{Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts};
use std::sync::LazyLock;
use std::time::Duration;

/// Upper bounds of the time buckets, in seconds. They are dense around the latency objectives of
/// 0.1 to 1 s and around 10 ms, where most refusals are.
const TIME_BUCKETS_S: [f64; 11] = [0.002, 0.005, 0.01, 0.03, 0.1, 0.2, 0.3, 0.6, 1.0, 2.0, 6.0];

/// The counters and histograms of a gateway.
pub(super) struct GatewayMetrics {
    /// Completed requests by service and outcome.
    pub(super) outcomes: IntCounterVec,
    /// Time from arrival to the first event or complete response, by service.
    pub(super) first_event: HistogramVec,
    /// Time from arrival to the routing decision, by service.
    pub(super) decision: HistogramVec,
    /// Tokens of admitted prompts, by whether they are assumed to be cached.
    prompt_tokens: IntCounterVec,
    /// Streams that were resumed at another endpoint.
    pub(super) resumed_streams: IntCounter,
    /// Events of streams that were out of order or had no readable id, by fault.
    rejected_events: IntCounterVec,
    /// Streams that callers took up, by how their version was found or why they were refused.
    taken_up: IntCounterVec,
    /// Streams whose versions were read from the store.
    pub(super) loaded_streams: IntCounter,
    /// Rounds of queries to other boxes about the versions of streams.
    pub(super) stream_queries: IntCounter,
    /// Admission verdicts that did not arrive in time.
    pub(super) missed_verdicts: IntCounter,
    /// Prompts that were declined for an engine without a request to the box that decides for it.
    pub(super) declined_locally: IntCounter,
    /// Prompts that were admitted by an engine other than their homes.
    pub(super) overflowed: IntCounter,
    /// Changes of the weights of engines that this box owns.
    pub(super) weight_changes: IntCounter,
    withheld_sends: IntCounterVec,
    silent_sends: IntCounterVec,
    /// Log lines about requests that exceeded the rate limit.
    pub(super) suppressed_lines: IntCounter,
    /// Restores of the store from an older copy.
    pub(super) store_eras: IntCounter,
    /// Answers of endpoints that were given up, by the bound that they exceeded.
    unbounded_answers: IntCounterVec,
    /// Connections of callers that were given up, by cause.
    pub(super) abandoned_connections: IntCounterVec,
    /// Checks of watches of the store by followed data and result.
    pub(super) store_watch_checks: IntCounterVec,
    /// Calls to the store by followed data and outcome.
    pub(super) store_calls: IntCounterVec,
    /// Requests for the state of other boxes, by kind of state and outcome.
    pub(super) state_requests: IntCounterVec,
    /// Duration of these requests by kind of state.
    pub(super) state_request_times: HistogramVec,
    suspensions: Histogram,
    panics: IntCounterVec,
    quarantine_changes: IntCounterVec,
    unusable_records: IntCounterVec,
    notices: IntCounterVec,
    datagrams: IntCounterVec,
    datagram_bytes: IntCounterVec,
    waits: IntCounterVec,
    wait_times: HistogramVec,
}

/// The gateway's metrics.
pub(super) static GATEWAY_METRICS: LazyLock<GatewayMetrics> = LazyLock::new(GatewayMetrics::new);

fn counter(name: &str, help: &str) -> IntCounter {
    let metric = IntCounter::new(name, help).expect("a constant name is valid");
    METRICS.register(metric.clone());
    metric
}

fn counter_vec(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let metric = IntCounterVec::new(Opts::new(name, help), labels);
    let metric = metric.expect("a constant name is valid");
    METRICS.register(metric.clone());
    metric
}

fn histogram_vec(name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(TIME_BUCKETS_S.to_vec());
    let metric = HistogramVec::new(options, labels).expect("a constant name is valid");
    METRICS.register(metric.clone());
    metric
}

fn histogram(name: &str, help: &str) -> Histogram {
    let options = HistogramOpts::new(name, help).buckets(TIME_BUCKETS_S.to_vec());
    let metric = Histogram::with_opts(options).expect("a constant name is valid");
    METRICS.register(metric.clone());
    metric
}

impl GatewayMetrics {
    fn new() -> Self {
        Self {
            outcomes: counter_vec(
                "dockgate_gateway_requests_total",
                "Requests that ended, by service and outcome",
                &["service", "outcome"],
            ),
            first_event: histogram_vec(
                "dockgate_first_event_seconds",
                "Time from arrival to the first event or whole answer, by service",
                &["service"],
            ),
            decision: histogram_vec(
                "dockgate_decision_seconds",
                "Time from arrival to the decision where a request goes, by service",
                &["service"],
            ),
            prompt_tokens: counter_vec(
                "dockgate_prompt_tokens_total",
                "Tokens of admitted prompts, by whether they were believed to be cached",
                &["cached"],
            ),
            resumed_streams: counter(
                "dockgate_streams_resumed_total",
                "Streams that went on at another endpoint",
            ),
            rejected_events: counter_vec(
                "dockgate_rejected_events_total",
                "Events of streams that were out of order, or had no readable id, by fault",
                &["fault"],
            ),
            taken_up: counter_vec(
                "dockgate_streams_taken_up_total",
                "Streams that callers took up, by how their software version was found: \
                 only_version, own, peer; or why they were refused: version_unknown, version_gone",
                &["origin"],
            ),
            loaded_streams: counter(
                "dockgate_loaded_streams_total",
                "Streams whose software versions were read from the platform's store",
            ),
            stream_queries: counter(
                "dockgate_stream_queries_total",
                "Rounds in which other boxes were asked for the software version of a stream",
            ),
            missed_verdicts: counter(
                "dockgate_missed_verdicts_total",
                "Seeks that the deciding box did not answer in time",
            ),
            declined_locally: counter(
                "dockgate_declined_alone_total",
                "Prompts declined for one engine without asking the box that decides",
            ),
            overflowed: counter(
                "dockgate_overflowed_prompts_total",
                "Prompts admitted by an engine other than their homes, which had declined",
            ),
            weight_changes: counter(
                "dockgate_engine_weight_changes_total",
                "Changes of the weights of engines that this box decides for",
            ),
            withheld_sends: counter_vec(
                "dockgate_withheld_sends_total",
                "Requests that were not written to an endpoint once that was decided, by reason",
                &["reason"],
            ),
            silent_sends: counter_vec(
                "dockgate_silent_sends_total",
                "Sends whose endpoint was silent for longer than expected: noticed, and how the wait \
                 ended: answered, replaced by another endpoint, timed_out",
                &["step"],
            ),
            suppressed_lines: counter(
                "dockgate_log_lines_held_back_total",
                "Lines about requests that were not written, as there were too many in a second",
            ),
            store_eras: counter(
                "dockgate_store_eras_total",
                "Times that the store came back from an older copy, as this box heard",
            ),
            unbounded_answers: counter_vec(
                "dockgate_unbounded_answers_total",
                "Answers of endpoints that were given up, by bound: too_large (the largest size of \
                 an answer), out_of_memory (the memory for answers), no_progress (bytes of a stream \
                 without a new event), long_head",
                &["bound"],
            ),
            abandoned_connections: counter_vec(
                "dockgate_abandoned_connections_total",
                "Connections of callers that were given up with what they had not received, by \
                 cause: unread (an answer waited to be read), system (no room or no acknowledgement \
                 for 10 s)",
                &["cause"],
            ),
            store_watch_checks: counter_vec(
                "dockgate_store_watch_checks_total",
                "Calls to the platform's store that check whether a watch has missed changes, by \
                 what is followed and result: current, missed, failed",
                &["followed", "result"],
            ),
            store_calls: counter_vec(
                "dockgate_store_calls_total",
                "Calls to the platform's store, by what is followed and outcome",
                &["followed", "outcome"],
            ),
            state_requests: counter_vec(
                "dockgate_state_questions_total",
                "Questions to other boxes for what they know, by what was asked for and outcome",
                &["what", "outcome"],
            ),
            state_request_times: histogram_vec(
                "dockgate_state_question_seconds",
                "How long a question to another box for what it knows took, by what was asked for",
                &["what"],
            ),
            suspensions: histogram(
                "dockgate_suspension_seconds",
                "For how long this box was suspended, each time",
            ),
            panics: counter_vec(
                "dockgate_task_panics_total",
                "Panics of tasks that run for as long as the process, by task",
                &["task"],
            ),
            quarantine_changes: counter_vec(
                "dockgate_quarantine_changes_total",
                "Requests and parts of prompts that went into quarantine or were released, by change",
                &["change"],
            ),
            unusable_records: counter_vec(
                "dockgate_unusable_records_total",
                "Records read from the store that name no endpoint to use, by reason",
                &["reason"],
            ),
            notices: counter_vec(
                "dockgate_endpoint_notices_total",
                "Answers that say of their endpoint that it leaves or wants rest, and words of other boxes, by notice",
                &["notice"],
            ),
            datagrams: counter_vec(
                "dockgate_peer_datagrams_total",
                "Datagrams between boxes, by kind and direction",
                &["kind", "direction"],
            ),
            datagram_bytes: counter_vec(
                "dockgate_peer_datagram_bytes_total",
                "Bytes of datagrams between boxes, by kind and direction",
                &["kind", "direction"],
            ),
            waits: counter_vec(
                "dockgate_endpoint_waits_total",
                "Requests that were offered to the queue of an endpoint of this box, by service and outcome",
                &["service", "outcome"],
            ),
            wait_times: histogram_vec(
                "dockgate_endpoint_wait_seconds",
                "Time that requests waited for capacity at an endpoint of this box, by service",
                &["service"],
            ),
        }
    }

    /// Counts a completed request.
    pub(super) fn record_outcome(&self, service: &str, outcome: &str) {
        self.outcomes.with_label_values(&[service, outcome]).inc();
    }

    /// Counts an answer that was given up since it exceeded a bound.
    pub(super) fn record_unbounded_answer(&self, bound: &str) {
        self.unbounded_answers.with_label_values(&[bound]).inc();
    }

    /// Counts an event of a stream that was out of order or had no readable id.
    pub(super) fn record_rejected_event(&self, fault: &str) {
        self.rejected_events.with_label_values(&[fault]).inc();
    }

    /// Counts a stream that a caller takes up.
    pub(super) fn record_take_up(&self, origin: &str) {
        self.taken_up.with_label_values(&[origin]).inc();
    }

    /// Records the duration of a suspension of this box.
    pub(super) fn record_suspension(&self, suspended: Duration) {
        self.suspensions.observe(suspended.as_secs_f64());
    }

    /// Counts a panic of a supervised task.
    pub(super) fn record_panic(&self, task: &str) {
        self.panics.with_label_values(&[task]).inc();
    }

    /// Counts a request that entered or left quarantine.
    pub(super) fn record_quarantine_change(&self, change: &str) {
        self.quarantine_changes.with_label_values(&[change]).inc();
    }

    /// Counts an endpoint record that is invalid.
    pub(super) fn record_unusable_record(&self, reason: &str) {
        self.unusable_records.with_label_values(&[reason]).inc();
    }

    /// Counts the notices that a response carries about its endpoint.
    pub(super) fn record_notice(&self, notice: EndpointNotice) {
        let fields = [
            ("leaves", notice.is_leaving),
            ("rest", notice.backoff.is_some()),
        ];
        for (name, _) in fields.into_iter().filter(|(_, is_set)| *is_set) {
            self.notices.with_label_values(&[name]).inc();
        }
    }

    /// Counts an announcement by another box that an endpoint is leaving.
    pub(super) fn record_announced_notice(&self, is_accepted: bool) {
        let notice = if is_accepted { "told" } else { "not_believed" };
        self.notices.with_label_values(&[notice]).inc();
    }

    /// Counts a send that was cancelled before the request was written to the endpoint.
    pub(super) fn record_withheld_send(&self, reason: &str) {
        self.withheld_sends.with_label_values(&[reason]).inc();
    }

    /// Counts the begin or the end of a wait for a silent endpoint.
    pub(super) fn record_silent_send(&self, step: &str) {
        self.silent_sends.with_label_values(&[step]).inc();
    }

    /// Counts a datagram and its size.
    pub(super) fn record_datagram(&self, kind: &str, direction: &str, bytes: usize) {
        let labels = [kind, direction];
        self.datagrams.with_label_values(&labels).inc();
        let counter = self.datagram_bytes.with_label_values(&labels);
        counter.inc_by(bytes as u64);
    }

    /// Records how and after which time the wait for capacity at an endpoint of this box ended.
    pub(super) fn record_wait(&self, service: &str, outcome: WaitOutcome, waited: Duration) {
        let outcomes = self.waits.with_label_values(&[service, outcome.as_str()]);
        outcomes.inc();
        let times = self.wait_times.with_label_values(&[service]);
        times.observe(waited.as_secs_f64());
    }

    /// Counts a request for the state of another box, and records its duration.
    pub(super) fn record_state_request(&self, kind: &str, answered: bool, took: Duration) {
        let outcome = if answered { "answered" } else { "unanswered" };
        let counter = self.state_requests.with_label_values(&[kind, outcome]);
        counter.inc();
        let times = self.state_request_times.with_label_values(&[kind]);
        times.observe(took.as_secs_f64());
    }

    /// Records the time to the first event or complete response.
    pub(super) fn record_first_event(&self, service: &str, after: Duration) {
        self.first_event
            .with_label_values(&[service])
            .observe(after.as_secs_f64());
    }

    /// Counts the tokens of an admitted prompt, of which `uncached` have to be processed.
    pub(super) fn record_admitted_prompt(&self, input: u32, uncached: u32) {
        let tokens = |cached: &str| self.prompt_tokens.with_label_values(&[cached]);
        tokens("no").inc_by(u64::from(uncached));
        tokens("yes").inc_by(u64::from(input.saturating_sub(uncached)));
    }
}
