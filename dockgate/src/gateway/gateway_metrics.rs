//! What a gateway counts beside the daemon's own metrics; what it believes is in `gateway_gauges`.

use crate::metrics::METRICS;
use dockgate_core::gateway::EndpointNotice;
use prometheus::{Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts};
use std::sync::LazyLock;
use std::time::Duration;

/// Upper bounds of the buckets of times, in seconds: around the objectives of 0.1 to 1 s, and the
/// 10 ms within which a refusal is usual.
const SECONDS: [f64; 11] = [0.002, 0.005, 0.01, 0.03, 0.1, 0.2, 0.3, 0.6, 1.0, 2.0, 6.0];

/// Every metric of the gateway.
pub(super) struct GatewayMetrics {
    /// Requests that ended, by service and outcome.
    pub(super) outcomes: IntCounterVec,
    /// Time from arrival to the first event, or to a whole answer, by service.
    pub(super) first_event: HistogramVec,
    /// Time from arrival to the decision where a request goes, by service.
    pub(super) decision: HistogramVec,
    /// Tokens of admitted prompts, by whether they were believed to be cached.
    prompt_tokens: IntCounterVec,
    /// Streams that went on at another endpoint.
    pub(super) resumed: IntCounter,
    /// Verdicts that did not come in time.
    pub(super) missed_verdicts: IntCounter,
    /// Prompts that were declined for one engine without asking the box that decides for it.
    pub(super) declined_alone: IntCounter,
    withheld_sends: IntCounterVec,
    /// Lines about requests that were not written, as there were too many.
    pub(super) lines_held_back: IntCounter,
    /// Times that the store came back from an older copy.
    pub(super) store_eras: IntCounter,
    /// Calls to the store, by what is followed and outcome.
    pub(super) store_calls: IntCounterVec,
    /// Questions to other boxes for what they know, by what was asked for and outcome.
    pub(super) state_questions: IntCounterVec,
    /// How long such a question took, by what was asked for.
    pub(super) state_question_times: HistogramVec,
    suspensions: Histogram,
    panics: IntCounterVec,
    quarantines: IntCounterVec,
    unusable_records: IntCounterVec,
    notices: IntCounterVec,
    datagrams: IntCounterVec,
    datagram_bytes: IntCounterVec,
}

/// The gateway's metrics.
pub(super) static GATEWAY_METRICS: LazyLock<GatewayMetrics> = LazyLock::new(GatewayMetrics::new);

fn counter(name: &str, help: &str) -> IntCounter {
    let metric = IntCounter::new(name, help).expect("a constant name is valid");
    METRICS.register(metric.clone());
    metric
}

fn counters(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let metric = IntCounterVec::new(Opts::new(name, help), labels);
    let metric = metric.expect("a constant name is valid");
    METRICS.register(metric.clone());
    metric
}

fn histograms(name: &str, help: &str, labels: &[&str]) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(SECONDS.to_vec());
    let metric = HistogramVec::new(options, labels).expect("a constant name is valid");
    METRICS.register(metric.clone());
    metric
}

fn histogram(name: &str, help: &str) -> Histogram {
    let options = HistogramOpts::new(name, help).buckets(SECONDS.to_vec());
    let metric = Histogram::with_opts(options).expect("a constant name is valid");
    METRICS.register(metric.clone());
    metric
}

impl GatewayMetrics {
    fn new() -> Self {
        Self {
            outcomes: counters(
                "dockgate_gateway_requests_total",
                "Requests that ended, by service and outcome",
                &["service", "outcome"],
            ),
            first_event: histograms(
                "dockgate_first_event_seconds",
                "Time from arrival to the first event or whole answer, by service",
                &["service"],
            ),
            decision: histograms(
                "dockgate_decision_seconds",
                "Time from arrival to the decision where a request goes, by service",
                &["service"],
            ),
            prompt_tokens: counters(
                "dockgate_prompt_tokens_total",
                "Tokens of admitted prompts, by whether they were believed to be cached",
                &["cached"],
            ),
            resumed: counter(
                "dockgate_streams_resumed_total",
                "Streams that went on at another endpoint",
            ),
            missed_verdicts: counter(
                "dockgate_missed_verdicts_total",
                "Seeks that the deciding box did not answer in time",
            ),
            declined_alone: counter(
                "dockgate_declined_alone_total",
                "Prompts declined for one engine without asking the box that decides",
            ),
            withheld_sends: counters(
                "dockgate_withheld_sends_total",
                "Requests that were not written to an endpoint once that was decided, by reason",
                &["reason"],
            ),
            lines_held_back: counter(
                "dockgate_log_lines_held_back_total",
                "Lines about requests that were not written, as there were too many in a second",
            ),
            store_eras: counter(
                "dockgate_store_eras_total",
                "Times that the store came back from an older copy, as this box heard",
            ),
            store_calls: counters(
                "dockgate_store_calls_total",
                "Calls to the platform's store, by what is followed and outcome",
                &["followed", "outcome"],
            ),
            state_questions: counters(
                "dockgate_state_questions_total",
                "Questions to other boxes for what they know, by what was asked for and outcome",
                &["what", "outcome"],
            ),
            state_question_times: histograms(
                "dockgate_state_question_seconds",
                "How long a question to another box for what it knows took, by what was asked for",
                &["what"],
            ),
            suspensions: histogram(
                "dockgate_suspension_seconds",
                "For how long this box was suspended, each time",
            ),
            panics: counters(
                "dockgate_task_panics_total",
                "Panics of tasks that run for as long as the process, by task",
                &["task"],
            ),
            quarantines: counters(
                "dockgate_quarantine_changes_total",
                "Requests that went into quarantine, and that were released from it, by change",
                &["change"],
            ),
            unusable_records: counters(
                "dockgate_unusable_records_total",
                "Records read from the store that name no endpoint to use, by reason",
                &["reason"],
            ),
            notices: counters(
                "dockgate_endpoint_notices_total",
                "Answers that say of their endpoint that it leaves or wants rest, and words of other boxes, by notice",
                &["notice"],
            ),
            datagrams: counters(
                "dockgate_peer_datagrams_total",
                "Datagrams between boxes, by kind and direction",
                &["kind", "direction"],
            ),
            datagram_bytes: counters(
                "dockgate_peer_datagram_bytes_total",
                "Bytes of datagrams between boxes, by kind and direction",
                &["kind", "direction"],
            ),
        }
    }

    /// Counts a request that ended.
    pub(super) fn note_outcome(&self, service: &str, outcome: &str) {
        self.outcomes.with_label_values(&[service, outcome]).inc();
    }

    /// Counts a time in which this box was suspended.
    pub(super) fn note_suspension(&self, away: Duration) {
        self.suspensions.observe(away.as_secs_f64());
    }

    /// Counts a panic of a task that is begun anew.
    pub(super) fn note_panic(&self, task: &str) {
        self.panics.with_label_values(&[task]).inc();
    }

    /// Counts a request that went into quarantine or was released from it.
    pub(super) fn note_quarantine(&self, change: &str) {
        self.quarantines.with_label_values(&[change]).inc();
    }

    /// Counts a record that names no endpoint to use.
    pub(super) fn note_unusable(&self, reason: &str) {
        self.unusable_records.with_label_values(&[reason]).inc();
    }

    /// Counts an answer that says something of its endpoint.
    pub(super) fn note_notice(&self, notice: EndpointNotice) {
        let said = [
            ("leaves", notice.is_leaving),
            ("rest", notice.backoff.is_some()),
        ];
        for (name, _) in said.into_iter().filter(|(_, is_said)| *is_said) {
            self.notices.with_label_values(&[name]).inc();
        }
    }

    /// Counts another box's word that an endpoint leaves.
    pub(super) fn note_told(&self, is_believed: bool) {
        let notice = if is_believed { "told" } else { "not_believed" };
        self.notices.with_label_values(&[notice]).inc();
    }

    /// Counts a request that was not written to an endpoint.
    pub(super) fn note_withheld(&self, reason: &str) {
        self.withheld_sends.with_label_values(&[reason]).inc();
    }

    /// Counts a datagram of so many bytes.
    pub(super) fn note_datagram(&self, kind: &str, direction: &str, bytes: usize) {
        let labels = [kind, direction];
        self.datagrams.with_label_values(&labels).inc();
        let counter = self.datagram_bytes.with_label_values(&labels);
        counter.inc_by(bytes as u64);
    }

    /// Counts a question to another box.
    pub(super) fn note_question(&self, what: &str, answered: bool, took: Duration) {
        let outcome = if answered { "answered" } else { "unanswered" };
        let counter = self.state_questions.with_label_values(&[what, outcome]);
        counter.inc();
        let times = self.state_question_times.with_label_values(&[what]);
        times.observe(took.as_secs_f64());
    }

    /// Counts the time to a first event or whole answer.
    pub(super) fn note_first_event(&self, service: &str, after: Duration) {
        self.first_event
            .with_label_values(&[service])
            .observe(after.as_secs_f64());
    }

    /// Counts the tokens of a prompt that was admitted, of which so many are to be read.
    pub(super) fn note_admitted(&self, input: u32, unread: u32) {
        let tokens = |cached: &str| self.prompt_tokens.with_label_values(&[cached]);
        tokens("no").inc_by(u64::from(unread));
        tokens("yes").inc_by(u64::from(input.saturating_sub(unread)));
    }
}
