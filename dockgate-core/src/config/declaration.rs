//! Declaration files: INI files that describe the whole fleet, for use with version control.
//!
//! ```ini
//! [workspace council]
//! share = 4
//! key = 5d41402abc4b2a76b9719d911017c592…
//!
//! [pool chat]
//! kind = engine
//! models = small, large
//!
//! [endpoint hwt-1]
//! pool = chat
//! domain = half-way-tree
//! address = 127.0.0.1:9001
//! slots = 16
//!
//! [kind changelog-draft]
//! repeatable = no
//! ```

use super::spec::{
    CostRule, EndpointSpec, KindSpec, PRIORITY_RANGE, PoolKind, PoolSpec, QUEUE_LIMIT_RANGE,
    SHARE_RANGE, SLOT_RANGE, WorkspaceSpec,
};
use super::{ConfigChange, FleetConfig, KeyHash, SpecArena};
use crate::config::arena::NamedSpec;
use crate::ids::SpecKey;
use crate::ini::{IniDocument, IniProblems, SectionReader};
use std::net::SocketAddr;

const SECTIONS: &str = "[workspace NAME], [pool NAME], [endpoint NAME] and [kind NAME]";
const ADDRESS: &str =
    "an IP address and a port, such as 10.0.0.7:8000 (host names are not resolved)";
const WEIGHT: &str = "a number from 0 to 1000000";
const DEFAULT_QUEUE_LIMIT: u32 = 256;
const DEFAULT_OUTPUT_WEIGHT: f64 = 1.0;
const DEFAULT_SLOTS: u32 = 16;

/// The specs in a declaration file.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Declaration {
    /// The workspaces.
    pub workspaces: Vec<WorkspaceSpec>,
    /// The pools.
    pub pools: Vec<PoolSpec>,
    /// The endpoints.
    pub endpoints: Vec<EndpointSpec>,
    /// The kinds of request.
    pub kinds: Vec<KindSpec>,
}

/// Parses and validates a declaration; `file` is the file name used in errors.
///
/// # Errors
///
/// Returns every problem found, each with its line and the allowed values.
pub fn parse_declaration(file: &str, text: &str) -> Result<Declaration, IniProblems> {
    let mut document = IniDocument::parse(file, text)?;
    let mut declaration = Declaration::default();
    let mut endpoint_lines = Vec::new();
    for mut section in document.take_sections() {
        match (section.kind.as_str(), section.name.is_empty()) {
            ("workspace", false) => declaration.workspaces.push(read_workspace(&mut section)),
            ("pool", false) => declaration.pools.extend(read_pool(&mut section)),
            ("endpoint", false) => {
                endpoint_lines.push((section.line, section.line_of("pool")));
                match read_endpoint(&mut section) {
                    Some(endpoint) => declaration.endpoints.push(endpoint),
                    None => drop(endpoint_lines.pop()),
                }
            }
            ("kind", false) => declaration.kinds.push(read_kind(&mut section)),
            _ => {
                let header = format!("[{} {}]", section.kind, section.name);
                let message = format!("unknown section {header}; allowed: {SECTIONS}");
                document.report(section.line, message);
                continue;
            }
        }
        document.close_section(section);
    }
    report_unknown_pools(&declaration, &endpoint_lines, &mut document);
    document.finish()?;
    Ok(declaration)
}

fn report_unknown_pools(
    declaration: &Declaration,
    lines: &[(usize, usize)],
    document: &mut IniDocument,
) {
    let names: Vec<&str> = declaration.pools.iter().map(NamedSpec::name).collect();
    for (endpoint, (_, line)) in declaration.endpoints.iter().zip(lines) {
        if !names.contains(&endpoint.pool.as_str()) {
            let allowed = names.join(", ");
            let message = format!("pool {} does not exist; declared: {allowed}", endpoint.pool);
            document.report(*line, message);
        }
    }
}

fn read_workspace(section: &mut SectionReader) -> WorkspaceSpec {
    let key_line = section.line_of("key");
    let mut key_hashes = Vec::new();
    for text in section.take_list("key") {
        match text.parse::<KeyHash>() {
            Ok(hash) => key_hashes.push(hash),
            Err(error) => section.report(key_line, error.to_string()),
        }
    }
    WorkspaceSpec {
        name: section.name.clone(),
        share: section.take_checked("share", 1, "a whole number from 1 to 10000", |share| {
            SHARE_RANGE.contains(share)
        }),
        priority: section.take_checked("priority", 0, "a whole number from 0 to 9", |priority| {
            PRIORITY_RANGE.contains(priority)
        }),
        key_hashes,
        queue_limit: section.take_checked(
            "queue_limit",
            DEFAULT_QUEUE_LIMIT,
            "a whole number from 1 to 100000",
            |limit| QUEUE_LIMIT_RANGE.contains(limit),
        ),
    }
}

fn take_weight(section: &mut SectionReader, key: &str, default: f64) -> f64 {
    section.take_checked(key, default, WEIGHT, |weight| (0.0..=1e6).contains(weight))
}

fn read_pool(section: &mut SectionReader) -> Option<PoolSpec> {
    let line = section.line_of("kind");
    let kind: Option<String> = section.take_required("kind", "engine or service");
    let kind = match kind.as_deref() {
        Some("engine") => Some(PoolKind::Engine),
        Some("service") => Some(PoolKind::Service),
        Some(other) => {
            section.report(line, format!("kind = {other}: must be engine or service"));
            None
        }
        None => None,
    };
    let cost = CostRule {
        input_weight: take_weight(section, "input_weight", 0.0),
        output_weight: take_weight(section, "output_weight", DEFAULT_OUTPUT_WEIGHT),
        slot_ms_weight: take_weight(section, "slot_ms_weight", 1.0),
    };
    let models = section.take_list("models");
    let resumes = take_flag(section, "resumes", false);
    Some(PoolSpec {
        name: section.name.clone(),
        kind: kind?,
        cost,
        models,
        resumes,
    })
}

fn read_endpoint(section: &mut SectionReader) -> Option<EndpointSpec> {
    let pool = section.take_required("pool", "the name of a pool");
    let domain = section.take_required("domain", "the name of a failure domain");
    let address: Option<SocketAddr> = section.take_required("address", ADDRESS);
    let domain_addresses = section.take_prefixed("address.", ADDRESS);
    let slots = section.take_checked(
        "slots",
        DEFAULT_SLOTS,
        "a whole number from 1 to 4096",
        |slots| SLOT_RANGE.contains(slots),
    );
    let honest_refusal = take_flag(section, "honest_refusal", false);
    Some(EndpointSpec {
        name: section.name.clone(),
        pool: pool?,
        domain: domain?,
        address: address?,
        domain_addresses: domain_addresses.into_iter().collect(),
        slots,
        honest_refusal,
    })
}

fn read_kind(section: &mut SectionReader) -> KindSpec {
    KindSpec {
        name: section.name.clone(),
        repeatable: take_flag(section, "repeatable", true),
    }
}

fn take_flag(section: &mut SectionReader, key: &str, default: bool) -> bool {
    let line = section.line_of(key);
    match section.take_text(key).as_deref() {
        None => default,
        Some("yes") => true,
        Some("no") => false,
        Some(other) => {
            section.report(line, format!("{key} = {other}: must be yes or no"));
            default
        }
    }
}

impl Declaration {
    /// Returns the changes that turn `config` into this declaration; undeclared items are retired.
    pub fn changes_from(&self, config: &FleetConfig) -> Vec<ConfigChange> {
        let mut changes = Vec::new();
        put_changed(
            &self.pools,
            &config.pools,
            ConfigChange::PutPool,
            &mut changes,
        );
        put_changed(
            &self.endpoints,
            &config.endpoints,
            ConfigChange::PutEndpoint,
            &mut changes,
        );
        put_changed(
            &self.workspaces,
            &config.workspaces,
            ConfigChange::PutWorkspace,
            &mut changes,
        );
        put_changed(
            &self.kinds,
            &config.kinds,
            ConfigChange::PutKind,
            &mut changes,
        );
        let retire = ConfigChange::RetireEndpoint;
        retire_absent(&self.endpoints, &config.endpoints, retire, &mut changes);
        retire_absent(
            &self.pools,
            &config.pools,
            ConfigChange::RetirePool,
            &mut changes,
        );
        let retire = ConfigChange::RetireWorkspace;
        retire_absent(&self.workspaces, &config.workspaces, retire, &mut changes);
        retire_absent(
            &self.kinds,
            &config.kinds,
            ConfigChange::RetireKind,
            &mut changes,
        );
        changes
    }
}

fn put_changed<K: SpecKey, T: NamedSpec + PartialEq + Clone>(
    declared: &[T],
    arena: &SpecArena<K, T>,
    put: impl Fn(T) -> ConfigChange,
    changes: &mut Vec<ConfigChange>,
) {
    let new = declared
        .iter()
        .filter(|spec| arena.get_by_name(spec.name()) != Some(spec));
    changes.extend(new.cloned().map(put));
}

fn retire_absent<K: SpecKey, T: NamedSpec>(
    declared: &[T],
    arena: &SpecArena<K, T>,
    retire: impl Fn(String) -> ConfigChange,
    changes: &mut Vec<ConfigChange>,
) {
    let gone = arena
        .iter()
        .map(|(_, spec)| spec.name())
        .filter(|name| !declared.iter().any(|spec| spec.name() == *name));
    changes.extend(gone.map(|name| retire(name.to_owned())));
}

#[cfg(test)]
mod tests;
