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
//!     most_output: 80,
//!     parts: vec![PromptPart { id: 7, tokens: 800 }, PromptPart { id: 9, tokens: 410 }],
//! };
//! assert_eq!(prompt.shared_tokens(), 800);
//! ```

mod admission;
mod answer_rule;
mod box_beat;
mod broken_endpoints;
mod domain_reach;
mod endpoint_health;
mod endpoint_notice;
mod endpoint_registry;
mod engine_book;
mod engine_load;
mod era_tracker;
mod event_splitter;
mod fair_taking;
mod fleet_view;
mod home_order;
mod loop_lag;
mod notice_book;
mod prefix_cache;
mod prompt_shape;
mod read_log;
mod read_model;
mod request_print;
mod retry_budget;
mod retry_delay;
mod route_table;
mod share_credit;
mod share_level;
mod share_reports;
mod share_sums;
mod share_tally;
mod share_window;
mod store_duty;
mod store_probe;
mod store_revision;
mod suspect_book;
mod wake_gate;
mod watch_check;
mod work_shed;

pub use admission::{AdmissionRule, EngineVerdict};
pub use answer_rule::{AnswerOwner, AnswerSigns, AnswerVerdict};
pub use box_beat::{
    BoxBeat, BoxKnowledge, BoxReport, BoxRow, BoxStanding, DigestScope, DomainKey, FleetDigest,
};
pub use broken_endpoints::{BreakNews, BrokenEndpoints};
pub use domain_reach::DomainReach;
pub use endpoint_health::{EndpointHealth, EndpointSign};
pub use endpoint_notice::EndpointNotice;
pub use endpoint_registry::{
    EndpointChange, EndpointEntry, EndpointRegistry, EndpointUpdate, ExpiryChanges, MergeOutcome,
    ReadyEndpoint, RemovedEndpoint, ReportedEndpoint, ServiceAvailability, UnconfirmedRecord,
};
pub use engine_book::{AskTimes, EngineAsk, EngineBook, RunKey};
pub use engine_load::{EngineLoad, EngineRun};
pub use era_tracker::{EraChange, EraTracker};
pub use event_splitter::{EventSplitter, SplitEvent};
pub use fleet_view::{BoxNews, FleetView, InformedBox};
pub use home_order::{best_homes, home_subject, name_hash, owner_of_endpoint};
pub use loop_lag::{LagChange, LoopLag};
pub use notice_book::{NoticeBook, NoticeNews};
pub use prefix_cache::PrefixCache;
pub use prompt_shape::{PromptPart, PromptShape};
pub use read_log::{DueReads, ReadLog};
pub use read_model::{PromptWork, ReadModel, ReadSample, ReadSpeed};
pub use request_print::{BadPrint, PrintSource, RequestPrint};
pub use retry_budget::{RetryBudget, RetryRule};
pub use retry_delay::{RetryCause, retry_delay};
pub use route_table::{
    AnswerForm, EndpointId, EndpointName, EndpointRecord, EndpointState, EngineSpec, GatewayLimits,
    RouteConfig, RouteKey, RouteSpec, RouteTable, ServiceKey, ServiceSpec, ServiceWeight,
    WorkspaceKeys, WorkspaceRef,
};
pub use share_level::ShareLevel;
pub use share_reports::{ShareScope, ShareSource, ShareTeller};
pub use share_sums::ShareRow;
pub use share_tally::{ShareOutcome, ShareTally, TallyRow};
pub use share_window::ShareWindow;
pub use store_duty::{OwnReach, StoreDuty, StoreWatchers};
pub use store_probe::{ProbeNews, ProbeRule, StoreProbe};
pub use store_revision::StoreRevision;
pub use suspect_book::{
    Quarantine, QuarantineStage, SuspectBook, SuspectNews, SuspectRow, SuspectSign,
};
pub use wake_gate::WakeGate;
pub use watch_check::WatchCheck;
pub use work_shed::WorkShed;

#[cfg(test)]
mod clock_jump_tests;
