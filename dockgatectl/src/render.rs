//! Output as tables or JSON.

use crate::args::ShowSubject;
use comfy_table::Table;
use comfy_table::presets::UTF8_FULL_CONDENSED;
use dockgate_core::{ConfigEntry, ConfigPlan, FleetConfig};
use dockgate_proto::QuarantineAnswer;
use dockgate_proto::operator::{ConfirmReply, StatusReply};
use serde::Serialize;

/// Writes replies to standard output.
pub(crate) struct Renderer {
    json: bool,
}

/// Plan and its commit in the same command.
#[derive(Serialize)]
struct CommittedPlan<'a> {
    plan: &'a ConfigPlan,
    confirmed: &'a ConfirmReply,
}

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_FULL_CONDENSED).set_header(header);
    table
}

fn percent(fraction: f64) -> String {
    format!("{:.1} %", fraction * 100.0)
}

impl Renderer {
    /// Creates a renderer that prints JSON if `json` is set, or else tables.
    pub(crate) const fn new(json: bool) -> Self {
        Self { json }
    }

    fn print(&self, value: &impl Serialize, print_tables: impl FnOnce()) {
        match self.json {
            true => println!(
                "{}",
                serde_json::to_string_pretty(value).unwrap_or_default()
            ),
            false => print_tables(),
        }
    }

    /// Shows the requests and parts of prompts in quarantine.
    pub(crate) fn quarantine(&self, answer: &QuarantineAnswer) {
        let seconds = |ms: u64| format!("{:.0} s", ms as f64 / 1_000.0);
        self.print(answer, || {
            let mut table = table(&["print", "kind", "since", "trials", "next trial in", "ended"]);
            for row in &answer.requests {
                let next = row.next_trial_ms;
                table.add_row([
                    row.fingerprint.clone(),
                    row.kind.clone(),
                    seconds(row.age_ms),
                    row.trials.to_string(),
                    next.map_or_else(|| "none".to_owned(), seconds),
                    row.endpoints.join(" "),
                ]);
            }
            println!("{table}");
        });
    }

    /// Shows a plan for review.
    pub(crate) fn plan(&self, plan: &ConfigPlan) {
        self.print(plan, || {
            print_plan(plan);
            if !plan.changes.is_empty() {
                println!("confirm with: dockgatectl confirm {}", plan.id);
            }
        });
    }

    /// Shows a plan and its commit.
    pub(crate) fn plan_confirmed(&self, plan: &ConfigPlan, confirmed: &ConfirmReply) {
        let committed = CommittedPlan { plan, confirmed };
        self.print(&committed, || {
            print_plan(plan);
            print_confirmed(confirmed);
        });
    }

    /// Shows a commit.
    pub(crate) fn confirmed(&self, reply: &ConfirmReply) {
        self.print(reply, || print_confirmed(reply));
    }

    /// Shows the configuration, or one part of it.
    pub(crate) fn show(&self, config: &FleetConfig, subject: Option<ShowSubject>) {
        self.print(config, || {
            println!("version {}", config.version);
            let is_shown = |part| subject.is_none_or(|subject| subject == part);
            if is_shown(ShowSubject::Workspaces) {
                print_workspaces(config);
            }
            if is_shown(ShowSubject::Pools) {
                print_pools(config);
            }
            if is_shown(ShowSubject::Endpoints) {
                print_endpoints(config);
            }
            if is_shown(ShowSubject::Kinds) {
                print_kinds(config);
            }
        });
    }

    /// Shows the state of a box.
    pub(crate) fn status(&self, status: &StatusReply) {
        self.print(status, || {
            let platform = match status.platform_reachable {
                true => "reachable",
                false => "NOT reachable",
            };
            println!("box {} in {}", status.name, status.domain);
            println!(
                "configuration version {}, platform {platform}",
                status.config_version
            );
            println!(
                "requests: {} waiting, {} running",
                status.waiting, status.running
            );
            println!(
                "schedules {} endpoints, {} slots held",
                status.endpoints, status.held
            );
            println!("invariant violations: {}", status.invariant_violations);
            let mut rows = table(&["peer", "domain", "link", "state"]);
            for peer in &status.peers {
                let link = if peer.linked { "open" } else { "closed" };
                let state = if peer.leaving { "leaving" } else { "live" };
                rows.add_row([&peer.name, &peer.domain, link, state]);
            }
            println!("{rows}");
        });
    }

    /// Shows the history of changes in the given order.
    pub(crate) fn history(&self, entries: &[ConfigEntry]) {
        self.print(&entries, || {
            let mut rows = table(&["version", "author", "plan", "changes"]);
            for entry in entries {
                let version = entry.version.to_string();
                let changes = entry.changes.len().to_string();
                rows.add_row([&version, &entry.author, &entry.plan, &changes]);
            }
            println!("{rows}");
        });
    }
}

fn print_plan(plan: &ConfigPlan) {
    println!("plan {} on version {}", plan.id, plan.base);
    if plan.changes.is_empty() {
        println!("nothing to change");
        return;
    }
    let mut rows = table(&["change", "what", "name"]);
    for change in &plan.changes {
        let verb = match serde_json::to_value(change) {
            Ok(value) if value.to_string().starts_with("{\"retire") => "retire",
            _ => "put",
        };
        rows.add_row([verb, change.subject(), change.name()]);
    }
    println!("{rows}");
    print_effect(plan);
}

fn print_effect(plan: &ConfigPlan) {
    let effect = &plan.effect;
    if !effect.shares.is_empty() {
        let mut rows = table(&["workspace", "share before", "share after"]);
        for share in &effect.shares {
            rows.add_row([
                &share.workspace,
                &percent(share.before),
                &percent(share.after),
            ]);
        }
        println!("{rows}");
    }
    println!("slots: {} before, {} after", effect.slots.0, effect.slots.1);
    for endpoint in &effect.drained {
        println!("drains: {endpoint}");
    }
    for refused in &effect.refused {
        println!("will be refused: {refused}");
    }
}

fn print_confirmed(reply: &ConfirmReply) {
    match reply.already {
        true => println!("version {} was made by this plan before", reply.version),
        false => println!("version {} is accepted", reply.version),
    }
}

fn print_workspaces(config: &FleetConfig) {
    let mut rows = table(&["workspace", "share", "priority", "keys", "queue limit"]);
    for (_, spec) in config.workspaces.iter() {
        rows.add_row([
            spec.name.clone(),
            spec.share.to_string(),
            spec.priority.to_string(),
            spec.key_hashes.len().to_string(),
            spec.queue_limit.to_string(),
        ]);
    }
    println!("{rows}");
}

fn print_pools(config: &FleetConfig) {
    let mut rows = table(&["pool", "kind", "models", "endpoints"]);
    for (key, spec) in config.pools.iter() {
        let kind = format!("{:?}", spec.kind).to_lowercase();
        let endpoints = config.endpoints_of(key).count().to_string();
        rows.add_row([&spec.name, &kind, &spec.models.join(", "), &endpoints]);
    }
    println!("{rows}");
}

fn print_endpoints(config: &FleetConfig) {
    let mut rows = table(&["endpoint", "pool", "domain", "address", "slots"]);
    for (_, spec) in config.endpoints.iter() {
        let (address, slots) = (spec.address.to_string(), spec.slots.to_string());
        rows.add_row([&spec.name, &spec.pool, &spec.domain, &address, &slots]);
    }
    println!("{rows}");
}

fn print_kinds(config: &FleetConfig) {
    let mut rows = table(&["kind", "repeatable"]);
    for (_, spec) in config.kinds.iter() {
        rows.add_row([
            spec.name.as_str(),
            if spec.repeatable { "yes" } else { "no" },
        ]);
    }
    println!("{rows}");
}
