//! Decisions about requests that are routed by host and path to the endpoints of a service.
//!
//! A service is either *plain* (an application with a few slots) or a set of *model engines* that
//! batch requests, cache prompts and serve in order of arrival. This module does no I/O: the daemon
//! passes in events and the current time.
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
mod answer_pool;
mod answer_sizes;
mod answer_verdict;
mod box_heartbeat;
mod decaying_usage;
mod domain_reachability;
mod endpoint_health;
mod endpoint_notice;
mod endpoint_registry;
mod engine_load;
mod engine_registry;
mod engine_weights;
mod era_tracker;
mod evacuation_orders;
mod event_sequence;
mod event_splitter;
mod fair_usage;
mod fleet_view;
mod generation_times;
mod home_weights;
mod interrupted_request;
mod interruption_tracker;
mod load_shedder;
mod loop_lag;
mod memory_budget;
mod notice_registry;
mod overflow_budget;
mod plain_loads;
mod prefill_meter;
mod prefill_model;
mod prefix_cache;
mod prefix_history;
mod prompt_shape;
mod rendezvous;
mod resume_gate;
mod retry_budget;
mod retry_delay;
mod route_table;
mod share_credit;
mod share_level;
mod share_reports;
mod share_tally;
mod share_tracker;
mod software_version;
mod stop_window;
mod store_follower;
mod store_probe;
mod store_revision;
mod store_search;
mod stream_key;
mod stream_log;
mod stream_registry;
mod suspect_key;
mod suspect_registry;
mod version_history;
mod version_ledger;
mod wait_queue;
mod warmup_limit;
mod warmup_tracker;
mod watch_check;

pub use admission_rule::{AdmissionRule, AdmissionVerdict};
pub use answer_pool::AnswerPool;
pub use answer_sizes::{AnswerKey, AnswerSizes};
pub use answer_verdict::{AnswerAttributes, AnswerOwner, AnswerVerdict};
pub use box_heartbeat::{
    BoxHeartbeat, BoxReport, BoxStatus, BoxSummary, DigestScope, DomainKey, FleetDigest, StateKind,
};
pub use decaying_usage::UsageRow;
pub use domain_reachability::DomainReachability;
pub use endpoint_health::{EndpointHealth, EndpointOutcome};
pub use endpoint_notice::EndpointNotice;
pub use endpoint_registry::{
    EndpointChange, EndpointEntry, EndpointObjection, EndpointRegistry, EndpointUpdate,
    ExpiryChanges, MergeOutcome, ReadyEndpoint, RemovedEndpoint, ReportedEndpoint,
    ServiceAvailability, UnconfirmedRecord,
};
pub use engine_load::{EngineLoad, EngineRun};
pub use engine_registry::{AdmissionRequest, EngineRegistry, LatencyLimits, RunKey};
pub use engine_weights::{EngineRate, EngineWeights, RateAudience, ReadyService, WeightChange};
pub use era_tracker::{EraChange, EraTracker};
pub use evacuation_orders::{EvacuationOrder, EvacuationOrders};
pub use event_sequence::{EventFault, EventSequence, EventVerdict};
pub use event_splitter::{EventKind, EventSplitter, SplitEvent};
pub use fleet_view::{BoxChange, FleetView, StateSource};
pub use generation_times::GenerationTimes;
pub use home_weights::HomeWeights;
pub use interrupted_request::InterruptedRequest;
pub use interruption_tracker::{InterruptionStatus, InterruptionTracker};
pub use load_shedder::LoadShedder;
pub use loop_lag::{LagChange, LoopLag};
pub use memory_budget::{AnswerCharge, AnswerGrowth, MemoryBudget, MemoryChange};
pub use notice_registry::{NoticeRegistry, NoticeUpdate};
pub use overflow_budget::OverflowBudget;
pub use plain_loads::PlainLoads;
pub use prefill_meter::{FixedTime, MeterSample, PrefillMeter};
pub use prefill_model::{PrefillModel, PrefillSample, PrefillSpeed, PrefillWork};
pub use prefix_cache::PrefixCache;
pub use prefix_history::{PrefixHistory, PrefixReport};
pub use prompt_shape::{PromptPart, PromptShape};
pub use rendezvous::{
    best_homes, name_hash, owner_of_endpoint, placement_key, tie_break, weighted_homes,
};
pub use resume_gate::ResumeGate;
pub use retry_budget::{RetryBudget, RetryRule};
pub use retry_delay::{RetryCause, retry_delay};
pub use route_table::{
    AnswerForm, EndpointId, EndpointName, EndpointRecord, EndpointState, EngineSpec, GatewayLimits,
    RouteConfig, RouteKey, RouteSpec, RouteTable, ServiceKey, ServiceSpec, ServiceWeight,
    WorkspaceKeys, WorkspaceRef,
};
pub use share_level::ShareLevel;
pub use share_reports::{ShareHeader, ShareScope, ShareSource};
pub use share_tally::{ShareOutcome, ShareTally, TallyRow};
pub use share_tracker::{ShareAllotment, ShareTracker};
pub use software_version::SoftwareVersion;
pub use stop_window::StopWindow;
pub use store_follower::{StoreAccess, StoreFollower, StorePeers};
pub use store_probe::{ProbeChange, ProbeTiming, RevisionAge, StoreProbe};
pub use store_revision::StoreRevision;
pub use store_search::{StandbyTurn, StoreSearch};
pub use stream_key::StreamKey;
pub use stream_log::{LogBatch, LogOutcome, LogStep, SegmentRevision, SegmentWrite, StreamLog};
pub use stream_registry::{StreamRecord, StreamRegistry};
pub use suspect_key::{FingerprintInput, InvalidSuspectKey, SuspectKey, SuspectKind};
pub use suspect_registry::{
    Quarantine, QuarantineChange, QuarantineStage, SuspectEvent, SuspectRegistry, SuspectReport,
};
pub use version_history::{ServiceVersion, VersionHistory};
pub use version_ledger::{LedgerContext, LedgerDuty, LedgerKeeper, VersionLedger, VersionStage};
pub use wait_queue::{
    WaitBudget, WaitOffer, WaitOutcome, WaitQueue, WaitRank, WaitTerms, WaitingRequest,
};
pub use warmup_limit::WarmupLimit;
pub use warmup_tracker::WarmupTracker;
pub use watch_check::WatchCheck;

#[cfg(test)]
mod clock_jump_tests;
