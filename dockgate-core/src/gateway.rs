//! Decisions for requests that are routed by host and path to the endpoints of a service.
//!
//! A service is either *plain* (an application with a few places) or a set of *model engines* that
//! batch, cache prompts and serve in order of arrival. Everything here is fed with events and the
//! time; the daemon around it does the I/O.
//!
//! ```
//! use dockgate_core::gateway::{PromptPart, PromptShape};
//!
//! let prompt = PromptShape {
//!     model: "m".to_owned(),
//!     input: 1_210,
//!     output: 60,
//!     max_output: 80,
//!     parts: vec![PromptPart { id: 7, tokens: 800 }, PromptPart { id: 9, tokens: 410 }],
//! };
//! assert_eq!(prompt.shared_tokens(), 800);
//! ```

mod admission_rule;
mod answer_verdict;
mod box_beat;
mod broken_endpoints;
mod decaying_usage;
mod domain_reach;
mod endpoint_book;
mod endpoint_health;
mod endpoint_notice;
mod engine_load;
mod engine_registry;
mod era_book;
mod event_splitter;
mod fair_usage;
mod fleet_view;
mod load_shedder;
mod loop_lag;
mod notice_book;
mod prefill_model;
mod prefix_cache;
mod prefix_history;
mod prompt_shape;
mod rendezvous;
mod request_print;
mod retry_budget;
mod return_time;
mod route_table;
mod share_credit;
mod share_level;
mod share_reports;
mod share_tally;
mod share_tracker;
mod store_duty;
mod store_probe;
mod store_revision;
mod suspect_book;
mod wake_gate;
mod watch_check;

pub use admission_rule::{AdmissionRule, AdmissionVerdict};
pub use answer_verdict::{AnswerAttributes, AnswerOwner, AnswerVerdict};
pub use box_beat::{
    BoxBeat, BoxKnowledge, BoxReport, BoxRow, BoxStanding, DigestScope, DomainKey, FleetDigest,
};
pub use broken_endpoints::{BreakNews, BrokenEndpoints};
pub use decaying_usage::UsageRow;
pub use domain_reach::DomainReach;
pub use endpoint_book::{
    EndpointBook, EndpointChange, EndpointEntry, EndpointNews, ExpiredNews, LearnedNews,
    ReadyEndpoint, RemovedEndpoint, ServiceOutlook, ToldDoubt, ToldEndpoint,
};
pub use endpoint_health::{EndpointHealth, EndpointSign};
pub use endpoint_notice::EndpointNotice;
pub use engine_load::{EngineLoad, EngineRun};
pub use engine_registry::{AdmissionRequest, EngineRegistry, LatencyLimits, RunKey};
pub use era_book::{EraBook, EraNews};
pub use event_splitter::{EventSplitter, SplitEvent};
pub use fleet_view::{BoxNews, FleetView, InformedBox};
pub use load_shedder::LoadShedder;
pub use loop_lag::{LagChange, LoopLag};
pub use notice_book::{NoticeBook, NoticeNews};
pub use prefill_model::{PrefillModel, PrefillSample, PrefillSpeed, PrefillWork};
pub use prefix_cache::PrefixCache;
pub use prefix_history::{PrefixHistory, PrefixReport};
pub use prompt_shape::{PromptPart, PromptShape};
pub use rendezvous::{best_homes, name_hash, owner_of_endpoint, placement_key};
pub use request_print::{BadPrint, PrintSource, RequestPrint};
pub use retry_budget::{RetryBudget, RetryRule};
pub use return_time::{ReturnCause, return_time};
pub use route_table::{
    AnswerForm, EndpointId, EndpointName, EndpointRecord, EndpointState, EngineSpec, GatewayLimits,
    RouteConfig, RouteKey, RouteSpec, RouteTable, ServiceKey, ServiceSpec, ServiceWeight,
    WorkspaceKeys, WorkspaceRef,
};
pub use share_level::ShareLevel;
pub use share_reports::{ShareHeader, ShareScope, ShareSource};
pub use share_tally::{ShareOutcome, ShareTally, TallyRow};
pub use share_tracker::ShareTracker;
pub use store_duty::{OwnReach, StoreDuty, StoreWatchers};
pub use store_probe::{ProbeNews, ProbeRule, StoreProbe};
pub use store_revision::StoreRevision;
pub use suspect_book::{
    Quarantine, QuarantineStage, SuspectBook, SuspectNews, SuspectRow, SuspectSign,
};
pub use wake_gate::WakeGate;
pub use watch_check::WatchCheck;

#[cfg(test)]
mod jump_tests;
